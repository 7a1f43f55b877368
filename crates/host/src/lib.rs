//! What a process needs of its host.
//!
//! - [`health`]: answers for the balancer.
//! - [`http`]: serving HTTP with bounds on bodies, times and connections.
//! - [`logs`]: structured logs with a prefix for each part.
//! - [`metrics`]: the Prometheus page.
//! - [`pool`]: the worker pool.
//! - [`signals`]: orders to stop.
//! - [`stall`]: noticing that a stream has fallen silent.

pub mod health;
pub mod http;
pub mod logs;
pub mod metrics;
pub mod pool;
pub mod signals;
pub mod stall;

pub use crate::health::Health;
pub use crate::pool::Pool;
