//! The state machine of the replicated log: the accepted configuration, the teams'
//! allowances, the address of each replica, the evacuated failure domains, the numbers of
//! entries and the engines that leave. Its inputs are committed commands.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::KeeperId;
use ledger::Allowances;
use ledger::allowance::Demand;
use ledger::allowance::GrantReply;
use ledger::allowance::Lease;
use routing::Departures;
use routing::directory::EngineAnnouncement;
use routing::evacuation::EvacuationSet;
use serde::Deserialize;
use serde::Serialize;

/// A command in an entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Accepts a configuration if its version is higher than the present one.
    AcceptConfig {
        /// Its version.
        version: u64,
        /// The configuration as it was submitted, in compressed form.
        body: Vec<u8>,
        /// The total of each team with a budget, in tokens.
        budgets: Vec<(String, u64)>,
    },
    /// Closes an ended lease.
    CloseLease {
        /// The lease.
        lease: u64,
        /// The upper bound of what was opened of each team's grants, from its witnesses;
        /// `None` if a witness's disk is lost.
        opened: Option<Vec<(String, u64)>>,
    },
    /// Records the address of a replica.
    RecordAddress {
        /// The replica.
        replica: KeeperId,
        /// Its process's address for messages of peers.
        address: SocketAddr,
    },
    /// Grants tokens to an entry.
    Draw {
        /// The entry's lease.
        lease: Lease,
        /// The entry's demands.
        demands: Vec<Demand>,
    },
    /// Orders to evacuate a failure domain, or withdraws the order.
    SetEvacuation {
        /// The domain.
        domain: String,
        /// Whether it is evacuated.
        evacuated: bool,
    },
    /// Assigns a number to the entry at an address, unless it has one.
    NumberEntry {
        /// Its process's address for messages of peers.
        address: SocketAddr,
    },
    /// Records that an engine leaves.
    RecordDeparture(EngineAnnouncement),
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The highest accepted version of the configuration.
    ConfigAccepted(u64),
    /// The lease is closed. Contains, for each team, the tokens that now count as spent
    /// beyond what its entry had reported.
    LeaseClosed(Vec<(String, u64)>),
    /// The address is recorded.
    AddressRecorded,
    /// The tokens granted; `None` if the lease has ended.
    Granted(Option<Vec<GrantReply>>),
    /// The evacuated domains after the order.
    EvacuationSet(EvacuationSet),
    /// The number of the entry.
    EntryNumbered(u32),
    /// Whether the departure is recorded.
    DepartureRecorded(bool),
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The version of the configuration; zero if there is none.
    pub config_version: u64,
    /// The configuration as it was submitted, in compressed form.
    pub config_body: Vec<u8>,
    /// The teams' allowances.
    pub allowances: Allowances,
    /// The replica at each process's address.
    pub replica_addresses: BTreeMap<SocketAddr, KeeperId>,
    /// The evacuated failure domains.
    pub evacuations: EvacuationSet,
    /// The number of the entry at each address. A process that restarts keeps its number.
    pub entry_numbers: BTreeMap<SocketAddr, u32>,
    /// The engines that leave.
    pub departures: Departures,
}

/// The replicated state of builds that knew no evacuations.
#[derive(Deserialize)]
struct FirstState {
    config_version: u64,
    config_body: Vec<u8>,
    allowances: Allowances,
    replica_addresses: BTreeMap<SocketAddr, KeeperId>,
}

impl ReplicatedState {
    /// Decodes a snapshot, also of an earlier build.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (first, rest) = postcard::take_from_bytes::<FirstState>(bytes)?;
        let ((evacuations, entry_numbers), rest) = if rest.is_empty() {
            (Default::default(), rest)
        } else {
            postcard::take_from_bytes(rest)?
        };
        let departures = if rest.is_empty() {
            Departures::default()
        } else {
            postcard::from_bytes(rest)?
        };
        Ok(Self {
            config_version: first.config_version,
            config_body: first.config_body,
            allowances: first.allowances,
            replica_addresses: first.replica_addresses,
            evacuations,
            entry_numbers,
            departures,
        })
    }

    /// Returns the replica at `address` that `replica` replaces. A process has one disk,
    /// so the disk of the earlier replica is lost.
    #[must_use]
    pub fn displaced_replica(&self, replica: KeeperId, address: SocketAddr) -> Option<KeeperId> {
        let known = self.replica_addresses.get(&address).copied();
        known.filter(|&id| id != replica)
    }

    /// Applies a command at log time `at`, in milliseconds.
    pub fn apply(&mut self, command: Command, at: u64) -> Outcome {
        match command {
            Command::AcceptConfig {
                version,
                body,
                budgets,
            } => {
                if version > self.config_version {
                    self.config_version = version;
                    self.config_body = body;
                    for (team, total) in budgets {
                        self.allowances.set_total(&team, total);
                    }
                }
                Outcome::ConfigAccepted(self.config_version)
            }
            Command::CloseLease { lease, opened } => {
                Outcome::LeaseClosed(self.allowances.close(lease, opened.as_deref(), at))
            }
            Command::RecordAddress { replica, address } => {
                self.replica_addresses.insert(address, replica);
                Outcome::AddressRecorded
            }
            Command::Draw { lease, demands } => {
                Outcome::Granted(self.allowances.draw(&lease, &demands, at))
            }
            Command::SetEvacuation { domain, evacuated } => {
                self.evacuations.apply_order(&domain, evacuated);
                Outcome::EvacuationSet(self.evacuations.clone())
            }
            Command::NumberEntry { address } => {
                let next = u32::try_from(self.entry_numbers.len()).unwrap_or(u32::MAX);
                let number = self.entry_numbers.entry(address).or_insert(next);
                Outcome::EntryNumbered(*number)
            }
            Command::RecordDeparture(announcement) => {
                Outcome::DepartureRecorded(self.departures.record(announcement, at))
            }
        }
    }
}
