//! The configuration of a site whose requests are forwarded as they are.
//!
//! A [`Site`] is checked as a whole; [`Table`] answers the questions that each
//! request asks of it.

use base::Map;
use thiserror::Error;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// A request may run any number of times.
    Free,
    /// A stream may go on at another endpoint after its last whole event.
    Resume,
    /// A request runs at most once.
    Never,
}

/// A service that a route leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service's name.
    pub service: String,
    /// Its share of the route's requests.
    pub weight: u64,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host that it serves.
    pub host: String,
    /// How its paths begin.
    pub prefix: String,
    /// Whether answers are streams of events.
    pub streams: bool,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Longest time that a request may be kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time in which an answer counts in full, in milliseconds; zero where unknown.
    pub target_ms: u64,
    /// Longest pause between two events, in milliseconds; zero where unknown.
    pub pause_ms: u64,
    /// Rank of its requests; zero is the most urgent.
    pub urgency: u8,
    /// The services that it leads to.
    pub targets: Vec<Target>,
    /// Most endpoints that one request may be sent to.
    pub attempts: u32,
    /// Whether no key is asked for.
    pub open: bool,
    /// Whether requests say what their prompts share.
    pub shares: bool,
}

/// What a service's model engines can hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens in memory.
    pub memory: u64,
    /// Tokens of one event of a stream.
    pub stride: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// Where its endpoints answer for their health.
    pub health: String,
    /// Most connections that an endpoint takes.
    pub connections: u32,
    /// What its model engines can hold; `None` for plain services.
    pub backend: Option<Backend>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head, in bytes.
    pub header_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Longest wait for a head, in milliseconds.
    pub header_ms: u64,
    /// Longest wait for the next request, in milliseconds.
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
    /// Its keys.
    pub keys: Vec<String>,
    /// Rank of its requests, which goes before the route's.
    pub urgency: Option<u8>,
    /// Tokens that it may use in all; `None` where nothing is prepaid.
    pub budget: Option<u64>,
}

/// A whole configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Site {
    /// Its number; the highest is in force.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// Bounds on callers.
    pub limits: Limits,
    /// The teams, or `None` where no key is asked for.
    pub teams: Option<Vec<Team>>,
}

/// What is wrong with a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SiteFault {
    /// A route leads to a service that isn't there.
    #[error("routes[{0}]: the service {1} is unknown")]
    UnknownService(usize, String),
    /// A route leads nowhere.
    #[error("routes[{0}]: the weights add up to zero")]
    NoWeight(usize),
    /// A route has no time to answer in.
    #[error("routes[{0}]: the timeout is zero")]
    NoTimeout(usize),
    /// A prefix doesn't begin and end with a slash.
    #[error("routes[{0}]: the prefix must begin and end with a slash")]
    Prefix(usize),
    /// Two routes serve the same place.
    #[error("routes[{0}]: the host and prefix are those of routes[{1}]")]
    SamePlace(usize, usize),
    /// Two teams share a key.
    #[error("teams[{0}]: a key is that of teams[{1}]")]
    SharedKey(usize, usize),
}

impl Site {
    /// Returns everything that is wrong; empty where the configuration is valid.
    #[must_use]
    pub fn check(&self) -> Vec<SiteFault> {
        let mut faults = Vec::new();
        let mut places = Map::default();
        for (at, route) in self.routes.iter().enumerate() {
            for target in &route.targets {
                if !self.services.iter().any(|s| s.name == target.service) {
                    let name = target.service.clone();
                    faults.push(SiteFault::UnknownService(at, name));
                }
            }
            if route.targets.iter().all(|target| target.weight == 0) {
                faults.push(SiteFault::NoWeight(at));
            }
            if route.timeout_ms == 0 {
                faults.push(SiteFault::NoTimeout(at));
            }
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                faults.push(SiteFault::Prefix(at));
            }
            let place = (route.host.to_ascii_lowercase(), &route.prefix);
            if let Some(first) = places.insert(place, at) {
                faults.push(SiteFault::SamePlace(at, first));
            }
        }
        self.check_keys(&mut faults);
        faults
    }

    fn check_keys(&self, faults: &mut Vec<SiteFault>) {
        let mut holders: Map<&str, usize> = Map::default();
        for (at, team) in self.teams.iter().flatten().enumerate() {
            for key in &team.keys {
                match holders.insert(key, at) {
                    Some(first) if first != at => faults.push(SiteFault::SharedKey(at, first)),
                    _ => {}
                }
            }
        }
    }
}

/// A configuration made ready for lookups.
#[derive(Clone, Debug)]
pub struct Table {
    site: Site,
    /// Routes of each host, those with longer prefixes first.
    hosts: Map<String, Vec<usize>>,
    keys: Map<String, usize>,
    services: Map<String, usize>,
}

impl Table {
    /// Returns the lookups of `site`.
    #[must_use]
    pub fn new(site: Site) -> Self {
        let mut hosts: Map<String, Vec<usize>> = Map::default();
        for (at, route) in site.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(at);
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|&at| std::cmp::Reverse(site.routes[at].prefix.len()));
        }
        let mut keys = Map::default();
        for (at, team) in site.teams.iter().flatten().enumerate() {
            for key in &team.keys {
                keys.insert(key.clone(), at);
            }
        }
        let names = site.services.iter().enumerate();
        let services = names.map(|(at, s)| (s.name.clone(), at)).collect();
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

    /// Returns the route of the longest prefix that begins `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let list = self.hosts.get(&host.to_ascii_lowercase())?;
        let found = list
            .iter()
            .find(|&&at| path.starts_with(&self.site.routes[at].prefix));
        found.map(|&at| &self.site.routes[at])
    }

    /// Returns the team that holds `key`.
    #[must_use]
    pub fn team(&self, key: &str) -> Option<&Team> {
        let at = *self.keys.get(key)?;
        self.site.teams.as_ref()?.get(at)
    }

    /// Returns whether routes ask for keys.
    #[must_use]
    pub fn keyed(&self) -> bool {
        self.site.teams.is_some()
    }

    /// Returns the service `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|&at| &self.site.services[at])
    }
}

impl Route {
    /// Returns the service at `draw`, a number that is spread evenly.
    #[must_use]
    pub fn target(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw.checked_rem(total)?;
        for target in &self.targets {
            match left.checked_sub(target.weight) {
                Some(rest) => left = rest,
                None => return Some(&target.service),
            }
        }
        None
    }
}
