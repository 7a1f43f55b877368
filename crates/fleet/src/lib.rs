//! Messages and transport (mutual TLS over QUIC) between the processes of a deployment.
//!
//! - [`changes`]: what a process knows, in the order in which it learned it.
//! - [`codec`]: length-prefixed messages on a stream.
//! - [`error`]: transport errors.
//! - [`credentials`]: the certificate authority and the certificates of processes.
//! - [`liveness`]: whether a connection is alive while requests wait on it.
//! - [`mesh`]: messages between gateway processes.
//! - [`node`]: the connections of a process.
//! - [`overlay`]: which processes a process is linked to.
//! - [`peers`]: the other processes, and the updates to them.
//! - [`runtime`]: the adapter from the QUIC library to the worker pool.
//! - [`view`]: whether what a process knows of engines may be acted on.
//! - [`wire`]: messages between entries, agents, keepers and operators.

pub mod changes;
pub mod codec;
pub mod credentials;
pub mod error;
mod liveness;
pub mod mesh;
pub mod node;
pub mod overlay;
pub mod peers;
pub mod runtime;
pub mod view;
pub mod wire;

pub use crate::credentials::TlsCredentials;
pub use crate::error::FleetError;
pub use crate::node::FrameReceiver;
pub use crate::node::Node;
pub use crate::node::Service;
pub use crate::wire::PeerRequest;
pub use crate::wire::PeerResponse;
