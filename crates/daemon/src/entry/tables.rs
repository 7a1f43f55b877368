//! The shared tables and their lock order.
//!
//! Lock order: `answers`, then `endpoints`, then `active` (the document in force). No
//! lock is held across an await.

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

use super::answer::AnswerOutcome;
use super::answer::SharedAnswer;

/// Time for which finished answers are kept for callers that ask again.
const FINISHED_ANSWER_RETENTION: Span = Span::secs(120);

/// Maximum number of finished answers kept.
const MAX_FINISHED_ANSWERS: usize = 4_096;

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the digest of the name of a model, service or failure domain.
#[must_use]
pub fn name_digest(name: &str) -> u64 {
    EndpointId::from_name(name).0
}

/// The properties of a team that its requests depend on.
#[derive(Clone, Debug)]
pub struct TeamInfo {
    /// The identifier of the team.
    pub id: TeamId,
    /// The team's name.
    pub name: Arc<str>,
    /// The priority; zero is the highest.
    pub priority: u8,
    /// The weight in the fair queue.
    pub weight: u32,
}

/// The document in force and its teams, by the digest of their bearer keys.
#[derive(Clone, Debug, Default)]
struct ActiveDocument {
    document: Arc<Document>,
    teams: Arc<Map<Digest, TeamInfo>>,
}

/// A request in the queue for an endpoint.
pub(crate) struct QueuedRequest {
    pub(crate) wake: Sender<()>,
    pub(crate) service: u64,
    pub(crate) prefix: Option<u64>,
}

/// The endpoints, the queue for them and the retry budget.
pub(crate) struct Endpoints {
    pub(crate) table: EndpointTable,
    pub(crate) agents: Map<EndpointId, (AgentId, SocketAddr)>,
    pub(crate) queue: Queue<QueuedRequest>,
    pub(crate) retry_budget: RetryBudget,
    /// The running mean of the duration of a request.
    pub(crate) mean_duration: Span,
}

struct Answers {
    by_request: Map<RequestId, Arc<SharedAnswer>>,
    finished: Vec<(RequestId, Time)>,
}

/// The shared tables of one entry.
pub struct Tables {
    id: EntryId,
    domain: u64,
    answers: Mutex<Answers>,
    endpoints: Mutex<Endpoints>,
    active: Mutex<ActiveDocument>,
}

impl Tables {
    /// Returns empty tables of the entry `id` in the failure domain `domain`.
    #[must_use]
    pub fn new(id: EntryId, domain: &str) -> Self {
        Self {
            id,
            domain: name_digest(domain),
            answers: Mutex::new(Answers {
                by_request: Map::default(),
                finished: Vec::new(),
            }),
            endpoints: Mutex::new(Endpoints {
                table: EndpointTable::new(id.0),
                agents: Map::default(),
                queue: Queue::default(),
                retry_budget: RetryBudget::default(),
                mean_duration: Span::millis(500),
            }),
            active: Mutex::default(),
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
        Arc::clone(&lock(&self.active).document)
    }

    /// Puts a document in force if its number is higher; returns whether it was.
    pub fn set_document(&self, document: Document) -> bool {
        let number = document.number;
        if number <= self.document().number {
            return false;
        }
        let teams = index_teams(&document);
        let mut active = lock(&self.active);
        if number <= active.document.number {
            return false;
        }
        *active = ActiveDocument {
            document: Arc::new(document),
            teams: Arc::new(teams),
        };
        true
    }

    /// Returns the team of the bearer key with this digest.
    ///
    /// Only digests are compared, so the time taken reveals nothing about the key.
    #[must_use]
    pub fn find_team(&self, key: &Digest) -> Option<TeamInfo> {
        let teams = Arc::clone(&lock(&self.active).teams);
        teams.get(key).cloned()
    }

    /// Returns the answer to a request and whether it was created by `start`.
    pub fn get_or_start(
        &self,
        request: RequestId,
        start: impl FnOnce() -> SharedAnswer,
        now: Time,
    ) -> (Arc<SharedAnswer>, bool) {
        let mut answers = lock(&self.answers);
        answers.evict_finished(now);
        if let Some(answer) = answers.by_request.get(&request) {
            return (Arc::clone(answer), false);
        }
        let answer = Arc::new(start());
        answers.by_request.insert(request, Arc::clone(&answer));
        (answer, true)
    }

    /// Returns the answer to a request, in progress or finished.
    #[must_use]
    pub fn find_answer(&self, request: RequestId) -> Option<Arc<SharedAnswer>> {
        lock(&self.answers).by_request.get(&request).cloned()
    }

    /// Records that an answer has finished. It is removed at once unless `retain` is set.
    pub fn finish_answer(&self, request: RequestId, retain: bool, now: Time) {
        let mut answers = lock(&self.answers);
        if retain {
            answers.finished.push((request, now));
        } else {
            answers.by_request.remove(&request);
        }
    }

    /// Ends all answers in progress with an unknown outcome, as a crash would.
    pub fn fail_answers(&self) {
        let answers: Vec<Arc<SharedAnswer>> =
            lock(&self.answers).by_request.values().cloned().collect();
        for answer in answers {
            answer.finish(AnswerOutcome::Failed(CallerError::OutcomeUnknown));
        }
    }

    /// Returns the number of answers in progress.
    #[must_use]
    pub fn open_answers(&self) -> usize {
        let answers = lock(&self.answers);
        answers
            .by_request
            .len()
            .saturating_sub(answers.finished.len())
    }

    /// Returns the number of endpoints that can be selected.
    #[must_use]
    pub fn usable_endpoints(&self, now: Time) -> usize {
        self.endpoints().table.usable_count(now)
    }

    pub(crate) fn endpoints(&self) -> MutexGuard<'_, Endpoints> {
        lock(&self.endpoints)
    }

    /// Applies an endpoint's announcement, as a keeper reports it.
    pub fn apply_announcement(&self, announcement: &EndpointAnnouncement, now: Time) {
        let info = EndpointInfo {
            id: announcement.agent.endpoint,
            domain: name_digest(&announcement.domain),
            services: announcement
                .service_names
                .iter()
                .map(|name| name_digest(name))
                .collect(),
            max_requests: announcement.max_requests,
            draining: announcement.draining,
        };
        let load = LoadReport {
            active_requests: announcement.active_requests,
            age: announcement.load_age,
        };
        let mut endpoints = self.endpoints();
        endpoints.table.apply_report(&info, load, now);
        let agent = (announcement.agent, announcement.address);
        endpoints.agents.insert(info.id, agent);
    }

    /// Records that an endpoint has left.
    pub fn remove_endpoint(&self, endpoint: EndpointId) {
        self.endpoints().table.mark_absent(endpoint);
    }

    /// Selects an endpoint and counts the request there.
    ///
    /// # Errors
    ///
    /// Fails with the reason if no endpoint can be selected.
    pub fn choose_endpoint(
        &self,
        service: &str,
        prefix: Option<u64>,
        excluded: &[EndpointId],
        now: Time,
    ) -> Result<ChosenEndpoint, EndpointChoice> {
        let mut endpoints = self.endpoints();
        let query = EndpointQuery {
            service: name_digest(service),
            prefix,
            domain: self.domain,
            excluded_endpoints: excluded,
        };
        match endpoints.table.choose(&query, now) {
            EndpointChoice::Endpoint(slot, _) => {
                let id = endpoints.table.endpoint_id(slot);
                let Some(&(agent, address)) = endpoints.agents.get(&id) else {
                    return Err(EndpointChoice::Unavailable);
                };
                endpoints.table.record_dispatch(slot, prefix, now);
                Ok(ChosenEndpoint {
                    slot,
                    agent,
                    address,
                })
            }
            none => Err(none),
        }
    }

    /// Returns the address at which `agent` accepts orders, unless another process has
    /// replaced it.
    #[must_use]
    pub fn agent_address(&self, agent: AgentId) -> Option<SocketAddr> {
        let endpoints = self.endpoints();
        let (current_agent, address) = endpoints.agents.get(&agent.endpoint)?;
        (*current_agent == agent).then_some(*address)
    }
}

/// A selected endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ChosenEndpoint {
    /// The slot of the endpoint in the table.
    pub slot: Slot,
    /// The agent process of the endpoint.
    pub agent: AgentId,
    /// The address at which the agent accepts orders.
    pub address: SocketAddr,
}

impl Answers {
    /// Removes finished answers whose retention has passed, and the oldest above the limit.
    fn evict_finished(&mut self, now: Time) {
        let excess = self.finished.len().saturating_sub(MAX_FINISHED_ANSWERS);
        let expired = self
            .finished
            .iter()
            .take_while(|(_, finished_at)| now.since(*finished_at) >= FINISHED_ANSWER_RETENTION);
        let count = expired.count().max(excess);
        for (request, _) in self.finished.drain(..count) {
            self.by_request.remove(&request);
        }
    }
}

fn index_teams(document: &Document) -> Map<Digest, TeamInfo> {
    let mut teams = Map::default();
    for (name, team) in &document.teams {
        let info = TeamInfo {
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
                teams.insert(digest, info.clone());
            }
        }
    }
    teams
}

fn parse_digest(hex: &str) -> Option<Digest> {
    let hash = blake3::Hash::from_hex(hex).ok()?;
    Some(Digest(*hash.as_bytes()))
}
