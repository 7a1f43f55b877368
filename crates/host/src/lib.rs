//! Process infrastructure: worker pool, HTTP server, logs, metrics and signals.
//!
//! - [`health`]: readiness as the load balancer sees it.
//! - [`http`]: an HTTP server with bounds on body size, time and connections.
//! - [`logs`]: structured logs with a prefix for each component.
//! - [`metrics`]: metrics in the Prometheus text format.
//! - [`pool`]: the worker thread pool.
//! - [`signals`]: signals to stop and to reload the settings.
//! - [`stall`]: detection of streams that make no progress.
//! - [`watchdog`]: a bound on the duration of a planned stop.

pub mod health;
pub mod http;
pub mod logs;
pub mod metrics;
pub mod pool;
pub mod signals;
pub mod stall;
pub mod watchdog;

pub use crate::health::Health;
pub use crate::pool::Pool;
