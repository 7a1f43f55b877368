//! Checks the address that peers use instead of the bound one.

use std::net::SocketAddrV4;
use std::str::FromStr as _;

use thiserror::Error;

/// Why an address can't be advertised to peers.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum AdvertiseError {
    /// The text is no address with a port.
    #[error("{0:?} is no IPv4 address with a port")]
    Syntax(String),
    /// Peers can't send to the address.
    #[error("peers can't send to {0}")]
    Unreachable(SocketAddrV4),
}

/// Parses the address that peers use.
///
/// # Errors
///
/// Fails if `text` isn't IP:PORT, or if the address is unspecified, broadcast or multicast
/// or the port is 0.
pub fn parse_advertised(text: &str) -> Result<SocketAddrV4, AdvertiseError> {
    let address =
        SocketAddrV4::from_str(text).map_err(|_| AdvertiseError::Syntax(text.to_owned()))?;
    let ip = address.ip();
    if address.port() == 0 || ip.is_unspecified() || ip.is_broadcast() || ip.is_multicast() {
        return Err(AdvertiseError::Unreachable(address));
    }
    Ok(address)
}
