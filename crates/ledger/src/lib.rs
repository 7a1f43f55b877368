//! Prepaid budgets as pure state machines.
//!
//! Tokens move down four levels and each level hands on only what it holds:
//!
//! ```text
//! credits = free in the ledger + shares + grants + reservations + settled
//! ```
//!
//! - [`allowance`]: one total for each team, handed out to entries in grants.
//! - [`central`]: the replicated [`Ledger`], changed by committed [`Command`]s.
//! - [`dedup`]: the window of requests that have been billed.
//! - [`grants`]: an entry's grants for each team and its charges.
//! - [`reclaim`]: when a lease's rest may be taken back.
//! - [`share`]: a keeper's [`Share`], changed by journaled [`Event`]s.
//! - [`text`]: the canonical text form of commands, for files and dumps.
//! - [`topup`]: identities of top-ups and the one acceptor of each.
//! - [`verify`]: checks of the conservation law.
//! - [`wallet`]: an entry's [`Wallet`] of grants and reservations.

pub mod allowance;
pub mod central;
pub mod dedup;
pub mod grants;
pub mod reclaim;
pub mod share;
pub mod text;
pub mod topup;
pub mod verify;
pub mod wallet;

pub use crate::allowance::Allowances;
pub use crate::central::Account;
pub use crate::central::Batch;
pub use crate::central::Command;
pub use crate::central::Ledger;
pub use crate::central::Move;
pub use crate::central::Outcome;
pub use crate::grants::Grants;
pub use crate::reclaim::Tenancies;
pub use crate::share::Bill;
pub use crate::share::Event;
pub use crate::share::Receipt;
pub use crate::share::Share;
pub use crate::topup::Home;
pub use crate::topup::TopUp;
pub use crate::wallet::Wallet;
