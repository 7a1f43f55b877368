//! Prepaid token budgets as state machines without input or output.
//!
//! Tokens move down four levels, and each level passes on only tokens that it holds:
//!
//! ```text
//! credits = unallocated in the ledger + shares + grants + reservations + settled
//! ```
//!
//! - [`accounts`]: the replicated [`Ledger`], changed by committed [`Command`]s.
//! - [`allowance`]: one total for each team, granted to entries under leases.
//! - [`cost`]: what a request costs, from what is known of its work.
//! - [`dedup`]: the deduplication window of billed requests.
//! - [`grants`]: an entry's grants for each team and its charges.
//! - [`lease_budget`]: an entry's [`LeaseBudget`] of grants and reservations.
//! - [`quorum`]: the witnesses that must record and that prove a spend limit.
//! - [`refill`]: when an entry draws tokens.
//! - [`reclaim`]: reclamation of the unspent tokens of ended leases.
//! - [`share`]: a keeper's [`Share`], changed by journaled [`Event`]s.
//! - [`text`]: the canonical text form of commands, for files and dumps.
//! - [`topup`]: identities of top-ups and the one acceptor of each.
//! - [`verify`]: checks of the conservation law.

pub mod accounts;
pub mod allowance;
pub mod cost;
pub mod dedup;
pub mod grants;
pub mod lease_budget;
pub mod quorum;
pub mod reclaim;
pub mod refill;
pub mod share;
pub mod text;
pub mod topup;
pub mod verify;

pub use crate::accounts::Account;
pub use crate::accounts::Batch;
pub use crate::accounts::Command;
pub use crate::accounts::Ledger;
pub use crate::accounts::Outcome;
pub use crate::accounts::Posting;
pub use crate::allowance::Allowances;
pub use crate::cost::RequestTokens;
pub use crate::cost::Work;
pub use crate::grants::Grants;
pub use crate::lease_budget::LeaseBudget;
pub use crate::reclaim::LeaseHolders;
pub use crate::share::BillingOutcome;
pub use crate::share::Event;
pub use crate::share::Receipt;
pub use crate::share::Share;
pub use crate::topup::Acceptor;
pub use crate::topup::TopUp;
