//! Identities, roles and their keys.
//!
//! Keys are kept as digests and compared in constant time.

use std::collections::BTreeMap;

use base::Digest;
use serde::Deserialize;
use serde::Serialize;
use subtle::ConstantTimeEq as _;

/// What an operator may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Sees everything and changes nothing.
    Viewer,
    /// Submits documents and tops budgets up.
    Editor,
}

/// One operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The digest of the operator's key.
    pub key: Digest,
    /// What the operator may do.
    pub role: Role,
}

/// The operators by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Identities {
    table: BTreeMap<String, Identity>,
}

impl Identities {
    /// Returns the identities of `table`.
    #[must_use]
    pub fn new(table: BTreeMap<String, Identity>) -> Self {
        Self { table }
    }

    /// Returns the operator that holds `key`.
    ///
    /// All identities are compared, so the time says nothing of which one fits.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<(&str, Role)> {
        let digest = Digest::of(key.as_bytes());
        let mut found = None;
        for (name, identity) in &self.table {
            if bool::from(identity.key.0.ct_eq(&digest.0)) {
                found = Some((name.as_str(), identity.role));
            }
        }
        found
    }
}
