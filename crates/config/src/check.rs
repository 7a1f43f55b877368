//! Validates a document, alone and as a replacement for the current one.
//!
//! Reports every fault with the path of the offending field.

use std::collections::BTreeMap;

use base::TeamId;
use base::Tokens;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::document::Document;
use crate::document::Plan;

/// Maximum length of an item's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Length of a key's digest, in hexadecimal digits.
const KEY_HEX_DIGITS: usize = 64;

/// A validation error in a document.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{path}: {reason}")]
pub struct Fault {
    /// The path of the offending field, as names joined by dots.
    pub path: String,
    /// The kind of fault.
    pub reason: FaultKind,
}

impl Fault {
    /// Returns a fault at `path`.
    #[must_use]
    pub fn new(path: &str, reason: FaultKind) -> Self {
        Self {
            path: path.to_owned(),
            reason,
        }
    }
}

/// The kind of a fault.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum FaultKind {
    /// The text is neither YAML nor JSON.
    #[error("not readable: {0}")]
    Syntax(String),
    /// The text exceeds this number of bytes.
    #[error("longer than {0} bytes")]
    TooLong(usize),
    /// The field is not part of the schema.
    #[error("unknown field")]
    UnknownField,
    /// A required field is missing.
    #[error("missing")]
    Missing,
    /// The value has the wrong type.
    #[error("expected {0}")]
    WrongType(ValueType),
    /// The name is empty, too long or contains other characters.
    #[error("a name takes 1 to {MAX_NAME_BYTES} lower-case letters, digits, '-', '_' and '.'")]
    InvalidName,
    /// The name hashes to the same identifier as this other name.
    #[error("shares its identifier with '{0}'")]
    DuplicateId(String),
    /// The key is not a digest in hexadecimal.
    #[error("expected the digest of a key, {KEY_HEX_DIGITS} hexadecimal digits")]
    InvalidKey,
    /// This other team has the same key.
    #[error("the key is also held by '{0}'")]
    DuplicateKey(String),
    /// The field refers to an item that does not exist.
    #[error("no {kind} is named '{name}'")]
    UnknownItem {
        /// The kind of the item.
        kind: ItemKind,
        /// The name of the item.
        name: String,
    },
    /// The number is out of range.
    #[error("must be {min} to {max}")]
    OutOfRange {
        /// The smallest allowed value.
        min: u64,
        /// The largest allowed value.
        max: u64,
    },
    /// The document's number is not one more than the number it follows.
    #[error("must be one more than 'follows'")]
    NotConsecutive,
    /// The model's answer limit exceeds its context.
    #[error("must not exceed the context")]
    AnswerTooLong,
    /// The path does not start with a slash.
    #[error("must start with '/'")]
    InvalidPath,
    /// The HTTP method is not supported.
    #[error("expected GET, POST, PUT, PATCH or DELETE")]
    InvalidMethod,
    /// A planned stop would leave this model without an endpoint.
    #[error("would leave model '{0}' without an endpoint")]
    LastEndpoint(String),
    /// The budget is reduced below what is spent or reserved.
    #[error("lowered by {reduction} tokens, but only {available} are free")]
    BudgetInUse {
        /// The reduction of the budget.
        reduction: Tokens,
        /// The tokens that are neither spent nor reserved.
        available: Tokens,
    },
    /// The team cannot be removed while it has this many unspent tokens.
    #[error("the team can't be removed while {0} of its tokens are unspent")]
    UnspentTokens(Tokens),
}

/// A kind of item that fields refer to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemKind {
    /// A model.
    Model,
}

impl std::fmt::Display for ItemKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Model => f.write_str("model"),
        }
    }
}

/// A type or a set of values that a field accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum ValueType {
    /// An object.
    #[error("an object")]
    Object,
    /// An object whose keys are strings.
    #[error("names that are text")]
    StringKeys,
    /// A priority: high, normal or low.
    #[error("high, normal or low")]
    Priority,
    /// A plan: serve or stop.
    #[error("serve or stop")]
    Plan,
    /// An unsigned 64-bit integer.
    #[error("a whole number of at least 0")]
    UnsignedInteger,
    /// An unsigned 32-bit integer.
    #[error("a number below 4294967296")]
    Unsigned32,
    /// A string.
    #[error("text")]
    String,
    /// A list.
    #[error("a list")]
    List,
    /// A Boolean.
    #[error("true or false")]
    Boolean,
    /// A kind of endpoint: engine or service.
    #[error("engine or service")]
    EndpointKind,
    /// An operator's role: viewer or editor.
    #[error("viewer or editor")]
    OperatorRole,
    /// An IP address with a port.
    #[error("an IP address with a port")]
    SocketAddress,
}

/// The state of the cluster that validation takes into account besides the document.
#[derive(Clone, Debug, Default)]
pub struct ClusterState {
    /// Tokens neither spent nor reserved, by team.
    pub free_tokens: BTreeMap<TeamId, Tokens>,
    /// Unspent tokens by team.
    pub unspent_tokens: BTreeMap<TeamId, Tokens>,
    /// Models served by each known endpoint, by the endpoint's name.
    pub served_models: BTreeMap<String, Vec<String>>,
}

fn is_valid_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed)
}

/// Returns every fault of `document` on its own.
#[must_use]
pub fn check_document(document: &Document) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_header(document, &mut faults);
    check_names(document, &mut faults);
    check_teams(document, &mut faults);
    check_models(document, &mut faults);
    check_services(document, &mut faults);
    faults
}

fn check_header(document: &Document, faults: &mut Vec<Fault>) {
    if document.number != document.follows + 1 {
        faults.push(Fault::new("number", FaultKind::NotConsecutive));
    }
    let check_range = |path: &str, value: u64, min, max, faults: &mut Vec<Fault>| {
        if value < min || value > max {
            faults.push(Fault::new(path, FaultKind::OutOfRange { min, max }));
        }
    };
    let objective = &document.objective;
    let per_mille = u64::from(objective.per_mille);
    check_range("objective.per_mille", per_mille, 1, 999, faults);
    check_range(
        "objective.first_ms",
        objective.first_ms,
        1,
        3_600_000,
        faults,
    );
    check_range(
        "objective.whole_ms",
        objective.whole_ms,
        1,
        3_600_000,
        faults,
    );
}

fn check_names(document: &Document, faults: &mut Vec<Fault>) {
    let tables: [(&str, Vec<&String>); 5] = [
        ("teams", document.teams.keys().collect()),
        ("models", document.models.keys().collect()),
        ("routes", document.routes.keys().collect()),
        ("services", document.services.keys().collect()),
        ("endpoints", document.endpoints.keys().collect()),
    ];
    for (table, names) in tables {
        for name in names {
            if !is_valid_name(name) {
                let path = format!("{table}.{name}");
                faults.push(Fault::new(&path, FaultKind::InvalidName));
            }
        }
    }
}

fn check_teams(document: &Document, faults: &mut Vec<Fault>) {
    let mut ids: BTreeMap<TeamId, &str> = BTreeMap::new();
    let mut keys: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, team) in &document.teams {
        let path = format!("teams.{name}");
        if let Some(other) = ids.insert(TeamId::from_name(name), name) {
            faults.push(Fault::new(&path, FaultKind::DuplicateId(other.to_owned())));
        }
        if team.weight == 0 || team.weight > 1_000 {
            let reason = FaultKind::OutOfRange { min: 1, max: 1_000 };
            faults.push(Fault::new(&format!("{path}.weight"), reason));
        }
        for (index, key) in team.keys.iter().enumerate() {
            let path = format!("{path}.keys[{index}]");
            let is_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
            if key.len() != KEY_HEX_DIGITS || !key.chars().all(is_digit) {
                faults.push(Fault::new(&path, FaultKind::InvalidKey));
            } else if let Some(other) = keys.insert(key, name) {
                faults.push(Fault::new(&path, FaultKind::DuplicateKey(other.to_owned())));
            }
        }
    }
}

fn check_models(document: &Document, faults: &mut Vec<Fault>) {
    for (name, model) in &document.models {
        let path = format!("models.{name}");
        for (field, value) in [("context", model.context), ("answer", model.answer)] {
            if value == 0 {
                let reason = FaultKind::OutOfRange {
                    min: 1,
                    max: u64::from(u32::MAX),
                };
                faults.push(Fault::new(&format!("{path}.{field}"), reason));
            }
        }
        if model.answer > model.context {
            let path = format!("{path}.answer");
            faults.push(Fault::new(&path, FaultKind::AnswerTooLong));
        }
    }
    for (name, route) in &document.routes {
        if route.models.is_empty() {
            let path = format!("routes.{name}.models");
            faults.push(Fault::new(&path, FaultKind::Missing));
        }
        check_models_exist(
            document,
            &format!("routes.{name}.models"),
            &route.models,
            faults,
        );
    }
    for (name, endpoint) in &document.endpoints {
        check_models_exist(
            document,
            &format!("endpoints.{name}.load"),
            &endpoint.load,
            faults,
        );
    }
}

fn check_models_exist(document: &Document, path: &str, models: &[String], faults: &mut Vec<Fault>) {
    for (index, model) in models.iter().enumerate() {
        if !document.models.contains_key(model) {
            let reason = FaultKind::UnknownItem {
                kind: ItemKind::Model,
                name: model.clone(),
            };
            faults.push(Fault::new(&format!("{path}[{index}]"), reason));
        }
    }
}

fn check_services(document: &Document, faults: &mut Vec<Fault>) {
    for (name, service) in &document.services {
        let path = format!("services.{name}");
        if service.timeout_ms == 0 || service.timeout_ms > 3_600_000 {
            let reason = FaultKind::OutOfRange {
                min: 1,
                max: 3_600_000,
            };
            faults.push(Fault::new(&format!("{path}.timeout_ms"), reason));
        }
        for (call, item) in &service.calls {
            let path = format!("{path}.calls.{call}");
            if !is_valid_name(call) {
                faults.push(Fault::new(&path, FaultKind::InvalidName));
            }
            if !item.path.starts_with('/') {
                faults.push(Fault::new(&format!("{path}.path"), FaultKind::InvalidPath));
            }
            let methods = ["GET", "POST", "PUT", "PATCH", "DELETE"];
            if !methods.contains(&item.method.as_str()) {
                faults.push(Fault::new(
                    &format!("{path}.method"),
                    FaultKind::InvalidMethod,
                ));
            }
        }
    }
}

/// Returns every fault of replacing `old` by `new` in the cluster state `cluster`.
#[must_use]
pub fn check_change(old: &Document, new: &Document, cluster: &ClusterState) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (name, before) in &old.teams {
        let id = TeamId::from_name(name);
        let available = cluster.free_tokens.get(&id).copied().unwrap_or_default();
        match new.teams.get(name) {
            Some(after) if after.budget < before.budget => {
                let reduction = before.budget.saturating_sub(after.budget);
                if reduction > available {
                    let path = format!("teams.{name}.budget");
                    faults.push(Fault::new(
                        &path,
                        FaultKind::BudgetInUse {
                            reduction,
                            available,
                        },
                    ));
                }
            }
            Some(_) => {}
            None => {
                let unspent = cluster.unspent_tokens.get(&id).copied().unwrap_or_default();
                if !unspent.is_zero() {
                    let path = format!("teams.{name}");
                    faults.push(Fault::new(&path, FaultKind::UnspentTokens(unspent)));
                }
            }
        }
    }
    check_planned_stops(old, new, cluster, &mut faults);
    faults
}

/// Checks that newly planned stops leave at least one endpoint for each model that
/// an endpoint serves now.
fn check_planned_stops(
    old: &Document,
    new: &Document,
    cluster: &ClusterState,
    faults: &mut Vec<Fault>,
) {
    for (name, endpoint) in &new.endpoints {
        if endpoint.plan != Plan::Stop || old.is_stopping(name) {
            continue;
        }
        let Some(models) = cluster.served_models.get(name) else {
            continue;
        };
        for model in models {
            let mut others = cluster.served_models.iter();
            let has_other =
                others.any(|(other, serves)| !new.is_stopping(other) && serves.contains(model));
            if !has_other {
                let path = format!("endpoints.{name}.plan");
                faults.push(Fault::new(&path, FaultKind::LastEndpoint(model.clone())));
            }
        }
    }
}
