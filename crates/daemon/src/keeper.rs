//! The keeper role: a consensus replica with a data folder, which holds the ledger, the
//! document, the claims and a share of the budgets, and grants leases to entries.
//!
//! - [`console`]: the backend of the operators' HTTP interface.
//! - [`core`]: the keeper's state machine.
//! - [`driver`]: the thread that runs the core and syncs its writes in groups.
//! - [`state`]: the replicated state.
//! - [`storage`]: the journals in the data folder.

pub mod console;
pub mod core;
pub mod driver;
pub mod state;
pub mod storage;

pub use self::driver::Keeper;
pub use self::driver::KeeperError;
