//! The document and its items.

use std::collections::BTreeMap;

use base::Digest;
use base::TeamId;
use base::Tokens;
use serde::Deserialize;
use serde::Serialize;

/// The schema of the document, as JSON Schema.
pub const SCHEMA: &str = include_str!("document.schema.json");

/// How urgent a team's requests are.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Served before all others.
    High,
    /// Served as capacity allows.
    #[default]
    Normal,
    /// Served when nothing else waits.
    Low,
}

/// A team and its prepaid budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Digests of the team's bearer keys, in hexadecimal.
    pub keys: Vec<String>,
    /// All tokens prepaid through the document.
    pub budget: Tokens,
    /// The urgency of the team's requests.
    pub priority: Priority,
    /// The team's share of scarce capacity against other teams.
    pub weight: u32,
}

/// A model that engines serve.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Most tokens of a prompt and its answer together.
    pub context: u32,
    /// Most tokens of an answer.
    pub answer: u32,
}

/// A public name and the models that may answer for it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The models, the preferred one first.
    pub models: Vec<String>,
}

/// A call of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The HTTP method.
    pub method: String,
    /// The path, starting with `/`.
    pub path: String,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Tokens that a call costs.
    pub price: Tokens,
}

/// A plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// How long a call may take, in milliseconds.
    pub timeout_ms: u64,
    /// The calls by name.
    pub calls: BTreeMap<String, Call>,
}

/// What is planned for an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Plan {
    /// The endpoint takes work.
    #[default]
    Serve,
    /// The endpoint finishes its work and takes no more.
    Stop,
}

/// A planned change of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// What is planned.
    pub plan: Plan,
    /// Models that the endpoint is ordered to load.
    pub load: Vec<String>,
}

/// What the operators aim for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// Requests of a thousand that are answered whole, once and in time.
    pub per_mille: u32,
    /// The longest wait for the first token, in milliseconds.
    pub first_ms: u64,
    /// The longest time for a whole answer, in milliseconds.
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
    /// What the operators aim for.
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
    /// Returns the name and item of the team with `id`.
    #[must_use]
    pub fn team(&self, id: TeamId) -> Option<(&str, &Team)> {
        let mut teams = self.teams.iter();
        teams
            .find(|(name, _)| TeamId::named(name) == id)
            .map(|(name, team)| (name.as_str(), team))
    }

    /// Returns the team that holds the bearer key with this digest.
    ///
    /// The digest is compared, never the key; callers keep an index where they
    /// look up often.
    #[must_use]
    pub fn holder(&self, key: &Digest) -> Option<(&str, &Team)> {
        let hex = key.hex();
        let mut teams = self.teams.iter();
        teams
            .find(|(_, team)| team.keys.contains(&hex))
            .map(|(name, team)| (name.as_str(), team))
    }

    /// Returns whether the endpoint is planned to stop.
    #[must_use]
    pub fn stops(&self, endpoint: &str) -> bool {
        let item = self.endpoints.get(endpoint);
        item.is_some_and(|item| item.plan == Plan::Stop)
    }
}
