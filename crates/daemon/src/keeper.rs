//! The instance with a disk: ledger, document, claims, membership and a share.
//!
//! - [`console`]: what operators' pages ask.
//! - [`core`]: the keeper's decisions over its tables.
//! - [`disk`]: the two journals.
//! - [`driver`]: the thread that owns the core and syncs in groups.
//! - [`site`]: the replicated state.

pub mod console;
pub mod core;
pub mod disk;
pub mod driver;
pub mod site;

pub use self::driver::Keeper;
pub use self::driver::KeeperError;
