//! The configuration of a gateway that forwards requests unchanged.
//!
//! A [`Site`] is validated as a whole; [`SiteIndex`] provides the lookups needed for
//! each request.

use base::Map;
use thiserror::Error;

/// How often a route's requests may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// A request may run any number of times.
    Idempotent,
    /// A stream may resume at another endpoint after its last complete event.
    ResumeStream,
    /// A request runs at most once.
    AtMostOnce,
}

/// A weighted target service of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service's name.
    pub service: String,
    /// Its weight in the distribution of the route's requests.
    pub weight: u64,
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host name to match, in any letter case.
    pub host: String,
    /// The path prefix to match, with a slash at both ends.
    pub prefix: String,
    /// Whether answers are event streams.
    pub is_streaming: bool,
    /// How often a request may run.
    pub retry_policy: RetryPolicy,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Latency target within which an answer gets full credit, in milliseconds; zero if
    /// unknown.
    pub target_ms: u64,
    /// Maximum gap between two events, in milliseconds; zero if unknown.
    pub event_gap_ms: u64,
    /// Priority of its requests; zero is the most urgent.
    pub priority: u8,
    /// The target services.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub allows_anonymous: bool,
    /// Whether requests identify the prefix that their prompts share.
    pub prefix_hints: bool,
    /// The regions in which requests may run; any region if there are none.
    pub homes: Vec<String>,
}

/// Capacity of a service's model engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Memory capacity, in tokens.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
}

/// How the endpoints of a service warm up after their start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// How long an endpoint stays cold, in milliseconds.
    pub duration_ms: u64,
    /// The requests per second that a cold endpoint bears.
    pub rate: f64,
}

// A rate is never NaN: it's decoded from JSON.
impl Eq for WarmUp {}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// The path of the endpoints' health check.
    pub health_path: String,
    /// Maximum number of connections to one endpoint.
    pub max_connections: u32,
    /// Capacity of its model engines; `None` for plain services.
    pub backend: Option<Backend>,
    /// How its endpoints warm up; `None` if a cold one bears as much as a warm one.
    pub warm_up: Option<WarmUp>,
}

/// Limits on what a caller may send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's header, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a header, in milliseconds.
    pub header_ms: u64,
    /// Idle timeout between two requests, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 4 << 20,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// A team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// Its bearer keys.
    pub keys: Vec<String>,
    /// Priority of its requests, which overrides the route's.
    pub priority: Option<u8>,
    /// Total tokens that it may use; `None` for no limit.
    pub budget: Option<u64>,
    /// The regions in which its requests may run; any region if there are none.
    pub homes: Vec<String>,
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Site {
    /// Its version; the highest version is in effect.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// Limits on requests.
    pub limits: Limits,
    /// The teams, or `None` if requests need no key.
    pub teams: Option<Vec<Team>>,
}

/// A validation error in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SiteFault {
    /// A route refers to an unknown service.
    #[error("routes[{0}]: the service {1} is unknown")]
    UnknownService(usize, String),
    /// The weights of a route's targets add up to zero.
    #[error("routes[{0}]: the weights add up to zero")]
    ZeroWeight(usize),
    /// A route has a timeout of zero.
    #[error("routes[{0}]: the timeout is zero")]
    ZeroTimeout(usize),
    /// A route's prefix does not begin and end with a slash.
    #[error("routes[{0}]: the prefix must begin and end with a slash")]
    InvalidPrefix(usize),
    /// Two routes have the same host and prefix.
    #[error("routes[{0}]: the host and prefix are those of routes[{1}]")]
    DuplicateRoute(usize, usize),
    /// Two teams have the same key.
    #[error("teams[{0}]: a key is that of teams[{1}]")]
    DuplicateKey(usize, usize),
}

impl Site {
    /// Returns every fault; empty if the configuration is valid.
    #[must_use]
    pub fn check(&self) -> Vec<SiteFault> {
        let mut faults = Vec::new();
        let mut keys = Map::default();
        for (index, route) in self.routes.iter().enumerate() {
            for target in &route.targets {
                if !self.services.iter().any(|s| s.name == target.service) {
                    let name = target.service.clone();
                    faults.push(SiteFault::UnknownService(index, name));
                }
            }
            if route.targets.iter().all(|target| target.weight == 0) {
                faults.push(SiteFault::ZeroWeight(index));
            }
            if route.timeout_ms == 0 {
                faults.push(SiteFault::ZeroTimeout(index));
            }
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                faults.push(SiteFault::InvalidPrefix(index));
            }
            let key = (route.host.to_ascii_lowercase(), &route.prefix);
            if let Some(first) = keys.insert(key, index) {
                faults.push(SiteFault::DuplicateRoute(index, first));
            }
        }
        self.check_keys(&mut faults);
        faults
    }

    fn check_keys(&self, faults: &mut Vec<SiteFault>) {
        let mut holders: Map<&str, usize> = Map::default();
        for (i, team) in self.teams.iter().flatten().enumerate() {
            for key in &team.keys {
                match holders.insert(key, i) {
                    Some(other) if other != i => faults.push(SiteFault::DuplicateKey(i, other)),
                    _ => {}
                }
            }
        }
    }
}

/// A configuration with indexes for lookups.
#[derive(Clone, Debug)]
pub struct SiteIndex {
    site: Site,
    /// Indexes of routes by lower-case host, longest prefix first.
    hosts: Map<String, Vec<usize>>,
    keys: Map<String, usize>,
    services: Map<String, usize>,
}

impl SiteIndex {
    /// Returns an index of `site`.
    #[must_use]
    pub fn new(site: Site) -> Self {
        let mut hosts: Map<String, Vec<usize>> = Map::default();
        for (index, route) in site.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(index);
        }
        for indexes in hosts.values_mut() {
            indexes.sort_by_key(|&index| std::cmp::Reverse(site.routes[index].prefix.len()));
        }
        let mut keys = Map::default();
        for (index, team) in site.teams.iter().flatten().enumerate() {
            for key in &team.keys {
                keys.insert(key.clone(), index);
            }
        }
        let names = site.services.iter().enumerate();
        let services = names.map(|(index, s)| (s.name.clone(), index)).collect();
        Self {
            site,
            hosts,
            keys,
            services,
        }
    }

    /// Returns the configuration.
    #[must_use]
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let indexes = self.hosts.get(&host.to_ascii_lowercase())?;
        let found = indexes
            .iter()
            .find(|&&index| path.starts_with(&self.site.routes[index].prefix));
        found.map(|&index| &self.site.routes[index])
    }

    /// Returns the team that owns `key`.
    #[must_use]
    pub fn team(&self, key: &str) -> Option<&Team> {
        let index = *self.keys.get(key)?;
        self.site.teams.as_ref()?.get(index)
    }

    /// Returns whether requests need keys, except on routes without them.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        self.site.teams.is_some()
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services
            .get(name)
            .map(|&index| &self.site.services[index])
    }
}

impl Route {
    /// Returns the name of a target service picked by weight, or `None` if all weights
    /// are zero. `random` is a uniformly distributed random number.
    #[must_use]
    pub fn pick_target(&self, random: u64) -> Option<&str> {
        let weights = self.targets.iter().map(|target| u128::from(target.weight));
        let mut offset = u128::from(random).checked_rem(weights.sum())?;
        for target in &self.targets {
            match offset.checked_sub(target.weight.into()) {
                Some(rest) => offset = rest,
                None => return Some(&target.service),
            }
        }
        None
    }
}
