//! The life of a request at an entry and at an agent.
//!
//! - [`assembly`]: the receiving side of an answer.
//! - [`claims`]: calls that may run at most once.
//! - [`frame`]: what travels between entry and agent.
//! - [`gate`]: what an agent lets start, and never twice.
//! - [`life`]: an entry's decisions when an attempt fails.
//! - [`outcome`]: what a caller is told.
//! - [`records`]: where requests run, for retries.
//! - [`spool`]: the sending side of an answer.

pub mod assembly;
pub mod claims;
pub mod frame;
pub mod gate;
pub mod life;
pub mod outcome;
pub mod records;
pub mod spool;

pub use crate::assembly::Assembly;
pub use crate::claims::Claim;
pub use crate::claims::Claimed;
pub use crate::claims::Claims;
pub use crate::frame::Body;
pub use crate::frame::End;
pub use crate::frame::Final;
pub use crate::frame::Frame;
pub use crate::frame::Order;
pub use crate::frame::Refusal;
pub use crate::frame::Work;
pub use crate::gate::Gate;
pub use crate::life::Life;
pub use crate::life::Next;
pub use crate::outcome::NotRun;
pub use crate::outcome::Outcome;
pub use crate::records::Enrolled;
pub use crate::records::Record;
pub use crate::records::Records;
pub use crate::spool::Spool;
