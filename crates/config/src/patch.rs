//! Patches: the difference between two documents.
//!
//! The replicated log and the updates to subscribers contain patches instead of
//! documents, so that their size depends on the change and not on the number of
//! teams.

use std::collections::BTreeMap;

use base::Digest;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::canonical;
use crate::document::Document;
use crate::document::Endpoint;
use crate::document::Model;
use crate::document::Objective;
use crate::document::Route;
use crate::document::Service;
use crate::document::Team;

/// The changed items of one table, by name; `None` removes an item.
pub type TablePatch<T> = BTreeMap<String, Option<T>>;

/// The changes from one document to the next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// The number of the resulting document.
    pub number: u64,
    /// The number of the document that it applies to.
    pub follows: u64,
    /// The new objective, if it differs.
    pub objective: Option<Objective>,
    /// The teams that differ.
    pub teams: TablePatch<Team>,
    /// The models that differ.
    pub models: TablePatch<Model>,
    /// The routes that differ.
    pub routes: TablePatch<Route>,
    /// The services that differ.
    pub services: TablePatch<Service>,
    /// The endpoints that differ.
    pub endpoints: TablePatch<Endpoint>,
}

/// The reason why a patch cannot be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PatchError {
    /// The patch applies to another document.
    #[error("the patch follows number {expected}, the document has {found}")]
    WrongBase {
        /// The number that the patch follows.
        expected: u64,
        /// The document's number.
        found: u64,
    },
    /// The result does not have the expected digest.
    #[error("the patched document has another digest")]
    DigestMismatch,
}

fn diff_tables<T: Clone + PartialEq>(
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
) -> TablePatch<T> {
    let mut table = TablePatch::new();
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

fn apply_table<T: Clone>(into: &mut BTreeMap<String, T>, table: &TablePatch<T>) {
    for (name, item) in table {
        match item {
            Some(item) => into.insert(name.clone(), item.clone()),
            None => into.remove(name),
        };
    }
}

impl Patch {
    /// Returns the patch from `old` to `new`.
    #[must_use]
    pub fn between(old: &Document, new: &Document) -> Self {
        Self {
            number: new.number,
            follows: old.number,
            objective: (old.objective != new.objective).then_some(new.objective),
            teams: diff_tables(&old.teams, &new.teams),
            models: diff_tables(&old.models, &new.models),
            routes: diff_tables(&old.routes, &new.routes),
            services: diff_tables(&old.services, &new.services),
            endpoints: diff_tables(&old.endpoints, &new.endpoints),
        }
    }

    /// Applies the patch.
    ///
    /// # Errors
    ///
    /// Fails if the patch applies to another document number.
    pub fn apply(&self, old: &Document) -> Result<Document, PatchError> {
        if old.number != self.follows {
            return Err(PatchError::WrongBase {
                expected: self.follows,
                found: old.number,
            });
        }
        let mut new = old.clone();
        new.number = self.number;
        new.follows = self.follows;
        new.objective = self.objective.unwrap_or(old.objective);
        apply_table(&mut new.teams, &self.teams);
        apply_table(&mut new.models, &self.models);
        apply_table(&mut new.routes, &self.routes);
        apply_table(&mut new.services, &self.services);
        apply_table(&mut new.endpoints, &self.endpoints);
        Ok(new)
    }

    /// Applies the patch and verifies the digest of the result.
    ///
    /// # Errors
    ///
    /// Fails if the patch applies to another document number or if the digest of the
    /// result differs.
    pub fn apply_verified(&self, old: &Document, digest: &Digest) -> Result<Document, PatchError> {
        let new = self.apply(old)?;
        if canonical::digest(&new) == *digest {
            Ok(new)
        } else {
            Err(PatchError::DigestMismatch)
        }
    }

    /// Returns one line for each changed item: `+` for set, `-` for removed, `~` for the
    /// objective.
    #[must_use]
    pub fn summary_lines(&self) -> Vec<String> {
        fn list<T>(out: &mut Vec<String>, kind: &str, table: &TablePatch<T>) {
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
