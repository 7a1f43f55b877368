//! The operators' document and its items, as serialized to JSON.

use std::collections::BTreeMap;

use base::Digest;
use base::TeamId;
use base::Tokens;
use serde::Deserialize;
use serde::Serialize;

/// The JSON Schema of the document.
pub const SCHEMA: &str = include_str!("document.schema.json");

/// The priority of a team's requests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Scheduled before all others.
    High,
    /// Scheduled as capacity allows.
    #[default]
    Normal,
    /// Scheduled when nothing else waits.
    Low,
}

/// A team and its prepaid budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Digests of the team's bearer keys, in hexadecimal.
    pub keys: Vec<String>,
    /// All tokens prepaid through the document.
    pub budget: Tokens,
    /// The priority of the team's requests.
    pub priority: Priority,
    /// The team's weight against other teams when capacity is scarce.
    pub weight: u32,
}

/// A model that engines can serve.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Maximum tokens of a prompt and its answer together.
    pub context: u32,
    /// Maximum tokens of an answer.
    pub answer: u32,
}

/// A route: the models that may answer requests for a public name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The models in order of preference.
    pub models: Vec<String>,
}

/// A call that a plain service offers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The HTTP method.
    pub method: String,
    /// The path, starting with `/`.
    pub path: String,
    /// Whether the call is idempotent and may run more than once.
    pub repeatable: bool,
    /// Tokens charged for a call.
    pub price: Tokens,
}

/// A plain HTTP service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Timeout of a call, in milliseconds.
    pub timeout_ms: u64,
    /// The calls by name.
    pub calls: BTreeMap<String, Call>,
}

/// The planned state of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Plan {
    /// The endpoint accepts requests.
    #[default]
    Serve,
    /// The endpoint drains: it finishes running requests and accepts no more.
    Stop,
}

/// A planned change of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The planned state.
    pub plan: Plan,
    /// Models that the endpoint has to load.
    pub load: Vec<String>,
}

/// The service-level objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// Requests per thousand that have to be answered completely, exactly once and in
    /// time.
    pub per_mille: u32,
    /// Maximum time to the first token, in milliseconds.
    pub first_ms: u64,
    /// Maximum time to the complete answer, in milliseconds.
    pub whole_ms: u64,
}

impl Default for Objective {
    fn default() -> Self {
        Self {
            per_mille: 995,
            first_ms: 360,
            whole_ms: 60_000,
        }
    }
}

/// The operators' document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The document's number.
    pub number: u64,
    /// The number of the document that it replaces.
    pub follows: u64,
    /// The service-level objective.
    pub objective: Objective,
    /// The teams by name.
    pub teams: BTreeMap<String, Team>,
    /// The models by name.
    pub models: BTreeMap<String, Model>,
    /// The routes by public name.
    pub routes: BTreeMap<String, Route>,
    /// The plain services by name.
    pub services: BTreeMap<String, Service>,
    /// Planned changes by the endpoint's name.
    pub endpoints: BTreeMap<String, Endpoint>,
}

impl Document {
    /// Returns the team with `id` and its name.
    #[must_use]
    pub fn team_by_id(&self, id: TeamId) -> Option<(&str, &Team)> {
        let mut teams = self.teams.iter();
        teams
            .find(|(name, _)| TeamId::from_name(name) == id)
            .map(|(name, team)| (name.as_str(), team))
    }

    /// Returns the team that owns the bearer key with this digest, and its name.
    ///
    /// Only the digest is compared, never the key. The search is linear: callers that
    /// look up often keep an index.
    #[must_use]
    pub fn team_by_key(&self, key: &Digest) -> Option<(&str, &Team)> {
        let hex = key.to_hex();
        let mut teams = self.teams.iter();
        teams
            .find(|(_, team)| team.keys.contains(&hex))
            .map(|(name, team)| (name.as_str(), team))
    }

    /// Returns whether the endpoint is planned to stop.
    #[must_use]
    pub fn is_stopping(&self, endpoint: &str) -> bool {
        let item = self.endpoints.get(endpoint);
        item.is_some_and(|item| item.plan == Plan::Stop)
    }
}
