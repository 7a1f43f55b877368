//! A fake model engine and a fake plain service for tests, over real sockets.
//!
//! - [`engine`]: a fake model engine with continuous batching and a prefix cache.
//! - [`faults`]: faults that the engine injects.
//! - [`service`]: a fake plain service that counts how often each request ran.

pub mod engine;
pub mod faults;
pub mod service;

pub use crate::engine::EngineProfile;
pub use crate::engine::FakeEngine;
pub use crate::faults::Faults;
pub use crate::service::FakeService;
