//! Encodes and decodes length-prefixed messages on a stream.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::FleetError;

/// Bounds the encoded length of a message.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Bounds the memory allocated before more of a message has arrived.
const READ_CHUNK_BYTES: usize = 1 << 20;

/// Encodes `message` with a length prefix (four bytes, little-endian).
///
/// # Errors
///
/// Fails if the message is too long.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, FleetError> {
    let bytes = postcard::to_extend(message, vec![0; 4])?;
    let length = bytes.len() - 4;
    if length > MAX_MESSAGE_BYTES {
        return Err(FleetError::TooLong(length));
    }
    let mut bytes = bytes;
    let prefix = u32::try_from(length).unwrap_or(u32::MAX);
    bytes[..4].copy_from_slice(&prefix.to_le_bytes());
    Ok(bytes)
}

/// Reads one message, or `None` at the end of the stream.
///
/// Memory is allocated as bytes arrive, so a length prefix alone costs at most one chunk.
///
/// # Errors
///
/// Fails if the stream breaks, or the message is too long or can't be decoded.
pub async fn read<T: DeserializeOwned>(
    stream: &mut quinn::RecvStream,
) -> Result<Option<T>, FleetError> {
    let mut prefix = [0; 4];
    match stream.read_exact(&mut prefix).await {
        Ok(()) => {}
        Err(quinn::ReadExactError::FinishedEarly(0)) => return Ok(None),
        Err(error) => return Err(FleetError::ConnectionLost(error.to_string())),
    }
    let length = u32::from_le_bytes(prefix) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(FleetError::TooLong(length));
    }
    let mut bytes = Vec::new();
    while bytes.len() < length {
        let start = bytes.len();
        bytes.resize(length.min(start + READ_CHUNK_BYTES), 0);
        let rest = stream.read_exact(&mut bytes[start..]).await;
        rest.map_err(|error| FleetError::ConnectionLost(error.to_string()))?;
    }
    Ok(Some(postcard::from_bytes(&bytes)?))
}

/// Writes one message.
///
/// # Errors
///
/// Fails if the message is too long or the stream breaks.
pub async fn write<T: Serialize>(
    stream: &mut quinn::SendStream,
    message: &T,
) -> Result<(), FleetError> {
    let bytes = encode(message)?;
    let done = stream.write_all(&bytes).await;
    done.map_err(|error| FleetError::ConnectionLost(error.to_string()))
}
