//! The difference between two documents.
//!
//! The log and the subscribers carry patches: a change of one team costs its own
//! size and not that of all teams.

use std::collections::BTreeMap;

use base::Digest;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::document::Document;
use crate::document::Endpoint;
use crate::document::Model;
use crate::document::Objective;
use crate::document::Route;
use crate::document::Service;
use crate::document::Team;
use crate::write;

/// The items of one table that differ; `None` removes an item.
pub type Table<T> = BTreeMap<String, Option<T>>;

/// What turns one document into the next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// The number of the resulting document.
    pub number: u64,
    /// The number of the document that it applies to.
    pub follows: u64,
    /// The new objective.
    pub objective: Option<Objective>,
    /// The teams that differ.
    pub teams: Table<Team>,
    /// The models that differ.
    pub models: Table<Model>,
    /// The routes that differ.
    pub routes: Table<Route>,
    /// The services that differ.
    pub services: Table<Service>,
    /// The endpoints that differ.
    pub endpoints: Table<Endpoint>,
}

/// Why a patch can't be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PatchError {
    /// The patch applies to another document.
    #[error("the patch follows number {expected}, the document has {found}")]
    OtherBase {
        /// The number that the patch follows.
        expected: u64,
        /// The document's number.
        found: u64,
    },
    /// The result isn't the document that was meant.
    #[error("the patched document has another digest")]
    OtherResult,
}

fn differ<T: Clone + PartialEq>(old: &BTreeMap<String, T>, new: &BTreeMap<String, T>) -> Table<T> {
    let mut table = Table::new();
    for (name, item) in new {
        if old.get(name) != Some(item) {
            table.insert(name.clone(), Some(item.clone()));
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        table.insert(name.clone(), None);
    }
    table
}

fn merge<T: Clone>(into: &mut BTreeMap<String, T>, table: &Table<T>) {
    for (name, item) in table {
        match item {
            Some(item) => into.insert(name.clone(), item.clone()),
            None => into.remove(name),
        };
    }
}

impl Patch {
    /// Returns what turns `old` into `new`.
    #[must_use]
    pub fn between(old: &Document, new: &Document) -> Self {
        Self {
            number: new.number,
            follows: old.number,
            objective: (old.objective != new.objective).then_some(new.objective),
            teams: differ(&old.teams, &new.teams),
            models: differ(&old.models, &new.models),
            routes: differ(&old.routes, &new.routes),
            services: differ(&old.services, &new.services),
            endpoints: differ(&old.endpoints, &new.endpoints),
        }
    }

    /// Applies the patch.
    ///
    /// # Errors
    ///
    /// Fails where the patch follows another number.
    pub fn apply(&self, old: &Document) -> Result<Document, PatchError> {
        if old.number != self.follows {
            return Err(PatchError::OtherBase {
                expected: self.follows,
                found: old.number,
            });
        }
        let mut new = old.clone();
        new.number = self.number;
        new.follows = self.follows;
        new.objective = self.objective.unwrap_or(old.objective);
        merge(&mut new.teams, &self.teams);
        merge(&mut new.models, &self.models);
        merge(&mut new.routes, &self.routes);
        merge(&mut new.services, &self.services);
        merge(&mut new.endpoints, &self.endpoints);
        Ok(new)
    }

    /// Applies the patch and checks the result's digest.
    ///
    /// # Errors
    ///
    /// Fails where the patch follows another number or yields another document.
    pub fn apply_exact(&self, old: &Document, digest: &Digest) -> Result<Document, PatchError> {
        let new = self.apply(old)?;
        if write::digest(&new) == *digest {
            Ok(new)
        } else {
            Err(PatchError::OtherResult)
        }
    }

    /// Returns a line for each item that differs.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        fn list<T>(out: &mut Vec<String>, kind: &str, table: &Table<T>) {
            for (name, item) in table {
                let sign = match item {
                    None => '-',
                    Some(_) => '+',
                };
                out.push(format!("{sign} {kind}.{name}"));
            }
        }
        let mut out = Vec::new();
        if self.objective.is_some() {
            out.push("~ objective".to_owned());
        }
        list(&mut out, "teams", &self.teams);
        list(&mut out, "models", &self.models);
        list(&mut out, "routes", &self.routes);
        list(&mut out, "services", &self.services);
        list(&mut out, "endpoints", &self.endpoints);
        out
    }
}
