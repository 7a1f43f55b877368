//! The transfer of a configuration in parts.
//!
//! A receiver asks for one part at a time, so that a transfer takes little of a link at once,
//! and goes on where it stopped, at any peer that holds the same version.

use base::Digest;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::held::StoredConfig;
use crate::packed::PackedConfig;

/// Maximum length of a part, in bytes: 25 ms on a link of 22 Mbit/s.
pub const MAX_PART_BYTES: usize = 64 << 10;

/// Maximum length of a compressed configuration, in bytes.
const MAX_PACKED_BYTES: u64 = 24 << 20;

/// A part of a compressed configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPart {
    /// The configuration's version.
    pub version: u64,
    /// The digest of its compressed form.
    pub digest: Digest,
    /// The length of its compressed form, in bytes.
    pub length: u64,
    /// Where the part begins, in bytes.
    pub offset: u64,
    /// The part.
    pub bytes: Vec<u8>,
}

/// Why a part isn't accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TransferError {
    /// The part isn't the next one, or is of an older version.
    #[error("a part at {offset} of version {version} isn't the next one")]
    Unexpected {
        /// The part's version.
        version: u64,
        /// The part's offset.
        offset: u64,
    },
    /// The part is empty or longer than what is missing.
    #[error("a part has an invalid length")]
    InvalidLength,
    /// All parts have arrived, but not with the stated digest.
    #[error("the parts don't have the digest of their configuration")]
    WrongDigest,
}

/// A configuration of which parts have arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Download {
    version: u64,
    digest: Option<Digest>,
    length: u64,
    bytes: Vec<u8>,
}

impl Download {
    /// Returns the version to ask for next, and the offset of its next part; `newest` is the
    /// newest version known.
    ///
    /// A transfer that has begun is completed, so that a process makes progress while new
    /// versions arrive faster than they can be transferred.
    #[must_use]
    pub fn next(&self, newest: u64) -> (u64, u64) {
        match self.digest {
            Some(_) => (self.version, self.bytes.len() as u64),
            None => (newest, 0),
        }
    }

    /// Drops what has arrived of `version` or an older one, which is in force already.
    pub fn drop_older(&mut self, version: u64) {
        if self.version <= version {
            *self = Self::default();
        }
    }

    /// Adds a part; returns the configuration once it is complete.
    ///
    /// The first part of a newer version replaces what has arrived of an older one: its
    /// holders have moved on.
    ///
    /// # Errors
    ///
    /// Fails if the part isn't the next one or can't belong to its configuration.
    pub fn receive(&mut self, part: &ConfigPart) -> Result<Option<StoredConfig>, TransferError> {
        if part.offset == 0 && part.version > self.version {
            if part.length > MAX_PACKED_BYTES {
                return Err(TransferError::InvalidLength);
            }
            *self = Self {
                version: part.version,
                digest: Some(part.digest),
                length: part.length,
                bytes: Vec::new(),
            };
        }
        let received = self.bytes.len() as u64;
        let is_next = part.version == self.version
            && self.digest == Some(part.digest)
            && part.offset == received;
        if !is_next {
            return Err(TransferError::Unexpected {
                version: part.version,
                offset: part.offset,
            });
        }
        if part.bytes.is_empty() || part.bytes.len() as u64 > self.length - received {
            return Err(TransferError::InvalidLength);
        }
        self.bytes.extend_from_slice(&part.bytes);
        if (self.bytes.len() as u64) < self.length {
            return Ok(None);
        }
        let version = self.version;
        let body = PackedConfig::from_bytes(std::mem::take(self).bytes);
        if body.digest() != part.digest {
            return Err(TransferError::WrongDigest);
        }
        Ok(Some(StoredConfig::new(version, body)))
    }
}
