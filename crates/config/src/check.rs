//! The verifier: every fault of a document, by path.

use std::collections::BTreeMap;

use base::TeamId;
use base::Tokens;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::document::Document;
use crate::document::Plan;

/// Longest name of an item, in bytes.
pub const MAX_NAME: usize = 64;

/// Length of a key's digest in hexadecimal.
const KEY_DIGITS: usize = 64;

/// A fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{path}: {reason}")]
pub struct Fault {
    /// Where the fault is, as names joined by dots.
    pub path: String,
    /// What is wrong.
    pub reason: Reason,
}

impl Fault {
    /// Returns the fault at `path`.
    #[must_use]
    pub fn new(path: &str, reason: Reason) -> Self {
        Self {
            path: path.to_owned(),
            reason,
        }
    }
}

/// What is wrong at a path.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Reason {
    /// The text is neither YAML nor JSON.
    #[error("not readable: {0}")]
    Syntax(String),
    /// The text is too long.
    #[error("longer than {0} bytes")]
    TooLong(usize),
    /// The field isn't known.
    #[error("unknown field")]
    UnknownField,
    /// The field is required.
    #[error("missing")]
    Missing,
    /// The value has the wrong form.
    #[error("expected {0}")]
    Expected(Form),
    /// The name has the wrong form.
    #[error("a name takes 1 to {MAX_NAME} lower-case letters, digits, '-', '_' and '.'")]
    BadName,
    /// Two names share an identifier.
    #[error("shares its identifier with '{0}'")]
    SameId(String),
    /// The key isn't a digest in hexadecimal.
    #[error("expected the digest of a key, {KEY_DIGITS} hexadecimal digits")]
    BadKey,
    /// Another team holds the same key.
    #[error("the key is also held by '{0}'")]
    SameKey(String),
    /// An item is named that isn't there.
    #[error("no {kind} is named '{name}'")]
    Unknown {
        /// The kind of item.
        kind: Kind,
        /// The name.
        name: String,
    },
    /// A number is out of range.
    #[error("must be {least} to {most}")]
    Range {
        /// The least value.
        least: u64,
        /// The largest value.
        most: u64,
    },
    /// The document doesn't follow by one.
    #[error("must be one more than 'follows'")]
    NotNext,
    /// The answer doesn't fit the context.
    #[error("must not exceed the context")]
    AnswerTooLong,
    /// A path must start with a slash.
    #[error("must start with '/'")]
    BadPath,
    /// A method isn't supported.
    #[error("expected GET, POST, PUT, PATCH or DELETE")]
    BadMethod,
    /// A planned stop would leave a model without an endpoint.
    #[error("would leave model '{0}' without an endpoint")]
    LastEndpoint(String),
    /// The budget is lowered under what is spent or held.
    #[error("lowered by {lowered} tokens, but only {free} are free")]
    Spent {
        /// By how much the budget is lowered.
        lowered: Tokens,
        /// What is free.
        free: Tokens,
    },
    /// The item can't be removed while the team holds tokens.
    #[error("the team can't be removed while {0} of its tokens are unspent")]
    Unspent(Tokens),
}

/// A kind of item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A model.
    Model,
}

impl std::fmt::Display for Kind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Model => f.write_str("model"),
        }
    }
}

/// A form that a value can have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Form {
    /// An object.
    #[error("an object")]
    Object,
    /// Names that are text.
    #[error("names that are text")]
    TextNames,
    /// High, normal or low.
    #[error("high, normal or low")]
    Priority,
    /// Serve or stop.
    #[error("serve or stop")]
    Plan,
    /// A whole number of at least 0.
    #[error("a whole number of at least 0")]
    Whole,
    /// A number below 4294967296.
    #[error("a number below 4294967296")]
    Small,
    /// Text.
    #[error("text")]
    Text,
    /// A list.
    #[error("a list")]
    List,
    /// True or false.
    #[error("true or false")]
    Flag,
    /// Engine or service.
    #[error("engine or service")]
    EndpointKind,
    /// Viewer or editor.
    #[error("viewer or editor")]
    OperatorRole,
    /// An IP address with a port.
    #[error("an IP address with a port")]
    Address,
}

/// What the verifier needs to know of the world besides the document.
#[derive(Clone, Debug, Default)]
pub struct World {
    /// Free tokens by team.
    pub free: BTreeMap<TeamId, Tokens>,
    /// Unspent tokens by team.
    pub unspent: BTreeMap<TeamId, Tokens>,
    /// The models that each known endpoint serves, by the endpoint's name.
    pub serving: BTreeMap<String, Vec<String>>,
}

fn good_name(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME && name.chars().all(plain)
}

/// Returns every fault of `document` by itself.
#[must_use]
pub fn document(document: &Document) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_head(document, &mut faults);
    check_names(document, &mut faults);
    check_teams(document, &mut faults);
    check_models(document, &mut faults);
    check_services(document, &mut faults);
    faults
}

fn check_head(document: &Document, faults: &mut Vec<Fault>) {
    if document.number != document.follows + 1 {
        faults.push(Fault::new("number", Reason::NotNext));
    }
    let range = |path: &str, value: u64, least, most, faults: &mut Vec<Fault>| {
        if value < least || value > most {
            faults.push(Fault::new(path, Reason::Range { least, most }));
        }
    };
    let aim = &document.objective;
    let per_mille = u64::from(aim.per_mille);
    range("objective.per_mille", per_mille, 1, 999, faults);
    range("objective.first_ms", aim.first_ms, 1, 3_600_000, faults);
    range("objective.whole_ms", aim.whole_ms, 1, 3_600_000, faults);
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
            if !good_name(name) {
                let path = format!("{table}.{name}");
                faults.push(Fault::new(&path, Reason::BadName));
            }
        }
    }
}

fn check_teams(document: &Document, faults: &mut Vec<Fault>) {
    let mut ids: BTreeMap<TeamId, &str> = BTreeMap::new();
    let mut keys: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, team) in &document.teams {
        let path = format!("teams.{name}");
        if let Some(other) = ids.insert(TeamId::named(name), name) {
            faults.push(Fault::new(&path, Reason::SameId(other.to_owned())));
        }
        if team.weight == 0 || team.weight > 1_000 {
            let reason = Reason::Range {
                least: 1,
                most: 1_000,
            };
            faults.push(Fault::new(&format!("{path}.weight"), reason));
        }
        for (place, key) in team.keys.iter().enumerate() {
            let path = format!("{path}.keys[{place}]");
            let digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
            if key.len() != KEY_DIGITS || !key.chars().all(digit) {
                faults.push(Fault::new(&path, Reason::BadKey));
            } else if let Some(other) = keys.insert(key, name) {
                faults.push(Fault::new(&path, Reason::SameKey(other.to_owned())));
            }
        }
    }
}

fn check_models(document: &Document, faults: &mut Vec<Fault>) {
    for (name, model) in &document.models {
        let path = format!("models.{name}");
        for (field, value) in [("context", model.context), ("answer", model.answer)] {
            if value == 0 {
                let reason = Reason::Range {
                    least: 1,
                    most: u64::from(u32::MAX),
                };
                faults.push(Fault::new(&format!("{path}.{field}"), reason));
            }
        }
        if model.answer > model.context {
            let path = format!("{path}.answer");
            faults.push(Fault::new(&path, Reason::AnswerTooLong));
        }
    }
    for (name, route) in &document.routes {
        if route.models.is_empty() {
            let path = format!("routes.{name}.models");
            faults.push(Fault::new(&path, Reason::Missing));
        }
        check_known(
            document,
            &format!("routes.{name}.models"),
            &route.models,
            faults,
        );
    }
    for (name, endpoint) in &document.endpoints {
        check_known(
            document,
            &format!("endpoints.{name}.load"),
            &endpoint.load,
            faults,
        );
    }
}

fn check_known(document: &Document, path: &str, models: &[String], faults: &mut Vec<Fault>) {
    for (place, model) in models.iter().enumerate() {
        if !document.models.contains_key(model) {
            let reason = Reason::Unknown {
                kind: Kind::Model,
                name: model.clone(),
            };
            faults.push(Fault::new(&format!("{path}[{place}]"), reason));
        }
    }
}

fn check_services(document: &Document, faults: &mut Vec<Fault>) {
    for (name, service) in &document.services {
        let path = format!("services.{name}");
        if service.timeout_ms == 0 || service.timeout_ms > 3_600_000 {
            let reason = Reason::Range {
                least: 1,
                most: 3_600_000,
            };
            faults.push(Fault::new(&format!("{path}.timeout_ms"), reason));
        }
        for (call, item) in &service.calls {
            let path = format!("{path}.calls.{call}");
            if !good_name(call) {
                faults.push(Fault::new(&path, Reason::BadName));
            }
            if !item.path.starts_with('/') {
                faults.push(Fault::new(&format!("{path}.path"), Reason::BadPath));
            }
            let methods = ["GET", "POST", "PUT", "PATCH", "DELETE"];
            if !methods.contains(&item.method.as_str()) {
                faults.push(Fault::new(&format!("{path}.method"), Reason::BadMethod));
            }
        }
    }
}

/// Returns every fault of replacing `old` by `new` in `world`.
#[must_use]
pub fn change(old: &Document, new: &Document, world: &World) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (name, before) in &old.teams {
        let id = TeamId::named(name);
        let free = world.free.get(&id).copied().unwrap_or_default();
        match new.teams.get(name) {
            Some(after) if after.budget < before.budget => {
                let lowered = before.budget.less(after.budget);
                if lowered > free {
                    let path = format!("teams.{name}.budget");
                    faults.push(Fault::new(&path, Reason::Spent { lowered, free }));
                }
            }
            Some(_) => {}
            None => {
                let unspent = world.unspent.get(&id).copied().unwrap_or_default();
                if !unspent.is_zero() {
                    let path = format!("teams.{name}");
                    faults.push(Fault::new(&path, Reason::Unspent(unspent)));
                }
            }
        }
    }
    check_stops(old, new, world, &mut faults);
    faults
}

/// Checks that planned stops leave an endpoint to each model that has one.
fn check_stops(old: &Document, new: &Document, world: &World, faults: &mut Vec<Fault>) {
    for (name, endpoint) in &new.endpoints {
        if endpoint.plan != Plan::Stop || old.stops(name) {
            continue;
        }
        let Some(models) = world.serving.get(name) else {
            continue;
        };
        for model in models {
            let mut others = world.serving.iter();
            let left = others.any(|(other, serves)| !new.stops(other) && serves.contains(model));
            if !left {
                let path = format!("endpoints.{name}.plan");
                faults.push(Fault::new(&path, Reason::LastEndpoint(model.clone())));
            }
        }
    }
}
