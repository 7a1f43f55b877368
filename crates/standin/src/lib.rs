//! Stand-ins of a model engine and a plain service, over real sockets.
//!
//! - [`engine`]: a model engine with continuous batching and a prefix cache.
//! - [`faults`]: what a stand-in does wrong on purpose.
//! - [`service`]: a plain service that counts how often each call ran.

pub mod engine;
pub mod faults;
pub mod service;

pub use crate::engine::Engine;
pub use crate::engine::Pace;
pub use crate::faults::Faults;
pub use crate::service::Desk;
