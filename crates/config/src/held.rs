//! The configuration that a process holds, and what it knows of newer ones.

use std::collections::VecDeque;

use base::Digest;
use base::Span;
use base::Time;

use crate::packed::PackedConfig;
use crate::transfer::ConfigPart;
use crate::transfer::MAX_PART_BYTES;

/// Maximum number of missing versions of which the time of the news is kept; the last one
/// then stands for all newer ones.
const MAX_MISSING_VERSIONS: usize = 64;

/// An accepted configuration in its compressed form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredConfig {
    /// Its version.
    pub version: u64,
    /// The digest of its compressed form.
    pub digest: Digest,
    /// Its compressed form.
    pub body: PackedConfig,
}

impl StoredConfig {
    /// Returns a configuration with its digest.
    #[must_use]
    pub fn new(version: u64, body: PackedConfig) -> Self {
        Self {
            version,
            digest: body.digest(),
            body,
        }
    }

    fn part(&self, offset: u64) -> ConfigPart {
        let bytes = self.body.as_bytes();
        let start = usize::try_from(offset).map_or(bytes.len(), |start| start.min(bytes.len()));
        let end = bytes.len().min(start + MAX_PART_BYTES);
        ConfigPart {
            version: self.version,
            digest: self.digest,
            length: bytes.len() as u64,
            offset,
            bytes: bytes[start..end].to_vec(),
        }
    }
}

/// The configuration in force at a process, and the newest version that it has heard of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldConfig {
    present: Option<StoredConfig>,
    /// The one before, for peers that are about to receive it.
    earlier: Option<StoredConfig>,
    /// Versions heard of and not in force here, ascending, with the time of the news.
    missing: VecDeque<(u64, Time)>,
    confirmed: bool,
}

impl HeldConfig {
    /// Returns the version in force; zero if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.present.as_ref().map_or(0, |config| config.version)
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn present(&self) -> Option<&StoredConfig> {
        self.present.as_ref()
    }

    /// Puts a configuration in force; returns false, and changes nothing, if it isn't newer
    /// than the one in force.
    pub fn install(&mut self, config: StoredConfig) -> bool {
        let version = config.version;
        if version <= self.version() {
            return false;
        }
        self.earlier = self.present.replace(config);
        self.missing.retain(|(missing, _)| *missing > version);
        true
    }

    /// Records that `version` has been accepted; returns whether it is news.
    pub fn record_version(&mut self, version: u64, now: Time) -> bool {
        if version <= self.newest_version() {
            return false;
        }
        let full = self.missing.len() >= MAX_MISSING_VERSIONS;
        match self.missing.back_mut().filter(|_| full) {
            Some(last) => last.0 = version,
            None => self.missing.push_back((version, now)),
        }
        true
    }

    /// Returns the newest version heard of, if it isn't in force here.
    #[must_use]
    pub fn missing_version(&self) -> Option<u64> {
        self.missing.back().map(|(version, _)| *version)
    }

    /// Returns the newest version heard of, in force or not.
    #[must_use]
    pub fn newest_version(&self) -> u64 {
        self.missing_version().unwrap_or(self.version())
    }

    /// Records that the group has confirmed `version` as the latest one since the start of
    /// the process. It counts once that version is in force here.
    pub fn confirm(&mut self, version: u64) -> bool {
        self.confirmed |= self.version() >= version;
        self.confirmed
    }

    /// Returns whether the group has confirmed the configuration since the start.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Returns whether no newer configuration is known to exist and the group has confirmed
    /// that at least once. Only then may a request be denied for what the configuration lacks.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.confirmed && self.missing_version().is_none()
    }

    /// Returns for how long the version has been known that follows the one in force.
    #[must_use]
    pub fn time_behind(&self, now: Time) -> Span {
        self.missing
            .front()
            .map_or(Span(0), |(_, heard_at)| heard_at.until(now))
    }

    /// Returns the part of `version` at `offset`, or the first part of the configuration in
    /// force if that version isn't held; `None` if only older ones are.
    #[must_use]
    pub fn part(&self, version: u64, offset: u64) -> Option<ConfigPart> {
        let held = [&self.present, &self.earlier].into_iter().flatten();
        let exact = held.clone().find(|config| config.version == version);
        match exact {
            Some(config) => Some(config.part(offset)),
            None => self
                .present
                .as_ref()
                .filter(|config| config.version > version)
                .map(|config| config.part(0)),
        }
    }
}
