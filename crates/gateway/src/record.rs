//! The replicated state: the accepted configuration, the teams' allowances, and where
//! each replica has its disk.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::KeeperId;
use ledger::Allowances;
use ledger::allowance::Demand;
use ledger::allowance::GrantReply;
use ledger::allowance::Lease;
use serde::Deserialize;
use serde::Serialize;

/// A change of the state, as an entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Accepts a configuration where its number is higher than the present one.
    Accept {
        /// Its number.
        version: u64,
        /// The configuration as it was sent.
        body: Vec<u8>,
        /// Totals of the teams that it names.
        budgets: Vec<(String, u64)>,
    },
    /// Closes the lease of a dead entry.
    Close {
        /// The lease.
        lease: u64,
        /// What its disk says was opened of each team's grants, at most.
        opened: Option<Vec<(String, u64)>>,
    },
    /// Notes where a replica has its disk.
    Place {
        /// The replica.
        replica: KeeperId,
        /// Where its process takes messages.
        address: SocketAddr,
    },
    /// Grants an entry tokens.
    Draw {
        /// The entry's lease.
        lease: Lease,
        /// What it asks for.
        demands: Vec<Demand>,
    },
}

/// What a command did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// This configuration number is now the highest.
    Accepted(u64),
    /// The lease is closed; so many tokens count as spent that its entry had not said
    /// to be.
    Closed(u64),
    /// The place is noted.
    Placed,
    /// What was granted, or `None` where the lease was closed.
    Granted(Option<Vec<GrantReply>>),
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The configuration's number; zero where there is none.
    pub version: u64,
    /// The configuration as it was sent.
    pub body: Vec<u8>,
    /// The teams' allowances.
    pub allowances: Allowances,
    /// The replica whose disk is at each place.
    pub places: BTreeMap<SocketAddr, KeeperId>,
}

impl Record {
    /// Returns the replica whose disk was at `address` before that of `replica`: one
    /// process has one disk, so the earlier one is lost.
    #[must_use]
    pub fn displaced(&self, replica: KeeperId, address: SocketAddr) -> Option<KeeperId> {
        let known = self.places.get(&address).copied();
        known.filter(|&id| id != replica)
    }

    /// Carries out a command at log time `at`, in milliseconds.
    pub fn apply(&mut self, command: Command, at: u64) -> Outcome {
        match command {
            Command::Accept {
                version,
                body,
                budgets,
            } => {
                if version > self.version {
                    self.version = version;
                    self.body = body;
                    for (team, total) in budgets {
                        self.allowances.set_total(&team, total);
                    }
                }
                Outcome::Accepted(self.version)
            }
            Command::Close { lease, opened } => {
                Outcome::Closed(self.allowances.close(lease, opened.as_deref(), at))
            }
            Command::Place { replica, address } => {
                self.places.insert(address, replica);
                Outcome::Placed
            }
            Command::Draw { lease, demands } => {
                Outcome::Granted(self.allowances.draw(&lease, &demands, at))
            }
        }
    }
}
