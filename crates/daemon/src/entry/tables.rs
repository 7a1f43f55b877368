//! The shared tables and their lock order.
//!
//! Lock order: `flows`, then `endpoints`, then `document`. No lock is held over
//! an await.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_channel::Sender;
use base::AgentId;
use base::Digest;
use base::EndpointId;
use base::EntryId;
use base::Map;
use base::RequestId;
use base::Span;
use base::TeamId;
use base::Time;
use caller::CallerError;
use config::Document;
use config::document::Priority;
use routing::EndpointAnnouncement;
use routing::EndpointChoice;
use routing::EndpointInfo;
use routing::EndpointQuery;
use routing::EndpointTable;
use routing::LoadReport;
use routing::Queue;
use routing::RetryBudget;
use routing::Slot;

use super::flow::Ending;
use super::flow::Flow;

/// Finished answers that are kept for callers that ask again.
const KEPT: Span = Span::secs(120);

/// Most finished answers kept.
const MOST_KEPT: usize = 4_096;

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the digest of a name of a model, service or domain.
#[must_use]
pub fn named(name: &str) -> u64 {
    EndpointId::from_name(name).0
}

/// A team as requests need it.
#[derive(Clone, Debug)]
pub struct Member {
    /// The team.
    pub id: TeamId,
    /// The team's name.
    pub name: Arc<str>,
    /// Urgency; zero is the most urgent.
    pub priority: u8,
    /// The weight against other teams.
    pub weight: u32,
}

/// The document in force with its index of keys.
#[derive(Clone, Debug, Default)]
struct Rules {
    document: Arc<Document>,
    holders: Arc<Map<Digest, Member>>,
}

/// A request that waits for an endpoint.
pub(crate) struct Waiting {
    pub(crate) wake: Sender<()>,
    pub(crate) serves: u64,
    pub(crate) prefix: Option<u64>,
}

/// The endpoints, the queue for them and the budget for retries.
pub(crate) struct Endpoints {
    pub(crate) table: EndpointTable,
    pub(crate) agents: Map<EndpointId, (AgentId, SocketAddr)>,
    pub(crate) queue: Queue<Waiting>,
    pub(crate) retries: RetryBudget,
    /// A running mean of how long a request takes.
    pub(crate) mean: Span,
}

struct Flows {
    open: Map<RequestId, Arc<Flow>>,
    done: Vec<(RequestId, Time)>,
}

/// The tables of one entry.
pub struct Tables {
    id: EntryId,
    domain: u64,
    flows: Mutex<Flows>,
    endpoints: Mutex<Endpoints>,
    rules: Mutex<Rules>,
}

impl Tables {
    /// Returns the empty tables of the entry `id` in `domain`.
    #[must_use]
    pub fn new(id: EntryId, domain: &str) -> Self {
        Self {
            id,
            domain: named(domain),
            flows: Mutex::new(Flows {
                open: Map::default(),
                done: Vec::new(),
            }),
            endpoints: Mutex::new(Endpoints {
                table: EndpointTable::new(id.0),
                agents: Map::default(),
                queue: Queue::default(),
                retries: RetryBudget::default(),
                mean: Span::millis(500),
            }),
            rules: Mutex::default(),
        }
    }

    /// Returns the entry's identifier.
    #[must_use]
    pub fn id(&self) -> EntryId {
        self.id
    }

    /// Returns the document in force.
    #[must_use]
    pub fn document(&self) -> Arc<Document> {
        Arc::clone(&lock(&self.rules).document)
    }

    /// Puts a document in force unless it's older; returns whether it was.
    pub fn set_document(&self, document: Document) -> bool {
        let number = document.number;
        if number <= self.document().number {
            return false;
        }
        let holders = index(&document);
        let mut rules = lock(&self.rules);
        if number <= rules.document.number {
            return false;
        }
        *rules = Rules {
            document: Arc::new(document),
            holders: Arc::new(holders),
        };
        true
    }

    /// Returns the team that holds a bearer key.
    ///
    /// Only digests are looked up, so the time says nothing of the key.
    #[must_use]
    pub fn holder(&self, key: &Digest) -> Option<Member> {
        let holders = Arc::clone(&lock(&self.rules).holders);
        holders.get(key).cloned()
    }

    /// Returns the answer under way for a request, or starts one.
    pub fn flow(
        &self,
        request: RequestId,
        start: impl FnOnce() -> Flow,
        now: Time,
    ) -> (Arc<Flow>, bool) {
        let mut flows = lock(&self.flows);
        flows.sweep(now);
        if let Some(flow) = flows.open.get(&request) {
            return (Arc::clone(flow), false);
        }
        let flow = Arc::new(start());
        flows.open.insert(request, Arc::clone(&flow));
        (flow, true)
    }

    /// Returns the answer of a request.
    #[must_use]
    pub fn find(&self, request: RequestId) -> Option<Arc<Flow>> {
        lock(&self.flows).open.get(&request).cloned()
    }

    /// Notes that an answer is over; one that isn't `kept` is forgotten at once.
    pub fn over(&self, request: RequestId, kept: bool, now: Time) {
        let mut flows = lock(&self.flows);
        if kept {
            flows.done.push((request, now));
        } else {
            flows.open.remove(&request);
        }
    }

    /// Gives up all answers under way, as a lost process would.
    pub fn abandon(&self) {
        let flows: Vec<Arc<Flow>> = lock(&self.flows).open.values().cloned().collect();
        for flow in flows {
            flow.end(Ending::Error(CallerError::OutcomeUnknown));
        }
    }

    /// Returns the number of answers under way.
    #[must_use]
    pub fn open(&self) -> usize {
        let flows = lock(&self.flows);
        flows.open.len().saturating_sub(flows.done.len())
    }

    /// Returns the endpoints that can be chosen.
    #[must_use]
    pub fn usable(&self, now: Time) -> usize {
        self.endpoints().table.usable_count(now)
    }

    pub(crate) fn endpoints(&self) -> MutexGuard<'_, Endpoints> {
        lock(&self.endpoints)
    }

    /// Takes in what a keeper says of an endpoint.
    pub fn report(&self, announce: &EndpointAnnouncement, now: Time) {
        let info = EndpointInfo {
            id: announce.agent.endpoint,
            domain: named(&announce.domain),
            services: announce
                .service_names
                .iter()
                .map(|name| named(name))
                .collect(),
            max_requests: announce.max_requests,
            draining: announce.draining,
        };
        let load = LoadReport {
            active_requests: announce.active_requests,
            age: announce.load_age,
        };
        let mut endpoints = self.endpoints();
        endpoints.table.apply_report(&info, load, now);
        let agent = (announce.agent, announce.address);
        endpoints.agents.insert(info.id, agent);
    }

    /// Notes that an endpoint is gone.
    pub fn gone(&self, endpoint: EndpointId) {
        self.endpoints().table.mark_absent(endpoint);
    }

    /// Chooses an endpoint and counts the request there.
    ///
    /// # Errors
    ///
    /// Fails with the reason why none can be chosen.
    pub fn choose(
        &self,
        serves: &str,
        prefix: Option<u64>,
        avoid: &[EndpointId],
        now: Time,
    ) -> Result<Chosen, EndpointChoice> {
        let mut endpoints = self.endpoints();
        let wish = EndpointQuery {
            service: named(serves),
            prefix,
            domain: self.domain,
            excluded_endpoints: avoid,
        };
        match endpoints.table.choose(&wish, now) {
            EndpointChoice::Endpoint(slot, _) => {
                let id = endpoints.table.endpoint_id(slot);
                let Some(&(agent, address)) = endpoints.agents.get(&id) else {
                    return Err(EndpointChoice::Unavailable);
                };
                endpoints.table.record_dispatch(slot, prefix, now);
                Ok(Chosen {
                    slot,
                    agent,
                    address,
                })
            }
            none => Err(none),
        }
    }

    /// Returns where the process beside an endpoint takes orders.
    #[must_use]
    pub fn address(&self, agent: AgentId) -> Option<SocketAddr> {
        let endpoints = self.endpoints();
        let (known, address) = endpoints.agents.get(&agent.endpoint)?;
        (*known == agent).then_some(*address)
    }
}

/// A chosen endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Chosen {
    /// Its slot in the table.
    pub slot: Slot,
    /// The process beside it.
    pub agent: AgentId,
    /// Where that process takes orders.
    pub address: SocketAddr,
}

impl Flows {
    /// Forgets answers that ended long ago, or the oldest where there are many.
    fn sweep(&mut self, now: Time) {
        let many = self.done.len().saturating_sub(MOST_KEPT);
        let old = self
            .done
            .iter()
            .take_while(|(_, at)| now.since(*at) >= KEPT);
        let count = old.count().max(many);
        for (request, _) in self.done.drain(..count) {
            self.open.remove(&request);
        }
    }
}

fn index(document: &Document) -> Map<Digest, Member> {
    let mut holders = Map::default();
    for (name, team) in &document.teams {
        let member = Member {
            id: TeamId::from_name(name),
            name: name.as_str().into(),
            priority: match team.priority {
                Priority::High => 0,
                Priority::Normal => 1,
                Priority::Low => 2,
            },
            weight: team.weight,
        };
        for key in &team.keys {
            if let Some(digest) = parse_digest(key) {
                holders.insert(digest, member.clone());
            }
        }
    }
    holders
}

fn parse_digest(hex: &str) -> Option<Digest> {
    let hash = blake3::Hash::from_hex(hex).ok()?;
    Some(Digest(*hash.as_bytes()))
}
