//! The operators' identities: names, roles and keys.
//!
//! Only digests of the keys are stored, and they are compared in constant time.

use std::collections::BTreeMap;

use base::Digest;
use serde::Deserialize;
use serde::Serialize;
use subtle::ConstantTimeEq as _;

/// The permissions of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// May read everything and change nothing.
    Viewer,
    /// May also submit documents and top up budgets.
    Editor,
}

/// An operator's key and role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The digest of the operator's key.
    pub key: Digest,
    /// The operator's role.
    pub role: Role,
}

/// The identities of all operators, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Identities {
    by_name: BTreeMap<String, Identity>,
}

impl Identities {
    /// Returns the identities of `table`.
    #[must_use]
    pub fn new(table: BTreeMap<String, Identity>) -> Self {
        Self { by_name: table }
    }

    /// Returns the name and role of the operator with `key`.
    ///
    /// All identities are compared, so the time taken doesn't reveal which one matches.
    #[must_use]
    pub fn authenticate(&self, key: &str) -> Option<(&str, Role)> {
        let digest = Digest::of(key.as_bytes());
        let mut found = None;
        for (name, identity) in &self.by_name {
            if bool::from(identity.key.0.ct_eq(&digest.0)) {
                found = Some((name.as_str(), identity.role));
            }
        }
        found
    }
}
