//! The processing of a request at an entry and at an agent.
//!
//! - [`admission`]: which requests an agent starts, each at most once.
//! - [`assembly`]: assembly of an answer at the receiving entry.
//! - [`claims`]: claims on calls that may run at most once.
//! - [`frame`]: messages between entry and agent.
//! - [`outcome`]: the outcome reported to a caller.
//! - [`records`]: which agent runs a request, for retries.
//! - [`replay`]: the buffer of an answer at the sending agent.
//! - [`retry`]: an entry's decisions when an attempt fails.
//! - [`submissions`]: entries that wait before they send a request.

pub mod admission;
pub mod assembly;
pub mod claims;
pub mod frame;
pub mod outcome;
pub mod records;
pub mod replay;
pub mod retry;
pub mod submissions;

pub use crate::admission::AdmissionControl;
pub use crate::assembly::Assembly;
pub use crate::claims::Claim;
pub use crate::claims::ClaimResult;
pub use crate::claims::Claims;
pub use crate::frame::FinalEvent;
pub use crate::frame::FinishReason;
pub use crate::frame::Frame;
pub use crate::frame::FrameBody;
pub use crate::frame::Order;
pub use crate::frame::Refusal;
pub use crate::frame::Work;
pub use crate::outcome::NotRun;
pub use crate::outcome::Outcome;
pub use crate::records::InsertResult;
pub use crate::records::Record;
pub use crate::records::Records;
pub use crate::replay::ReplayBuffer;
pub use crate::retry::RetryDecision;
pub use crate::retry::RetryState;
pub use crate::submissions::Submissions;
