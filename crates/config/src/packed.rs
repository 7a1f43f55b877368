//! The compressed form in which processes store and exchange a configuration.
//!
//! Configurations of thousands of routes repeat themselves; the compressed form has a
//! fraction of their bytes.

use std::sync::Arc;

use base::Digest;
use thiserror::Error;

/// First byte of the compressed form. No JSON text begins with it, so that an uncompressed
/// text, as earlier builds stored it, can be told apart.
const COMPRESSED: u8 = 1;

/// Maximum length of a configuration's text, in bytes.
pub const MAX_TEXT_BYTES: usize = 16 << 20;

/// Why a compressed configuration can't be decompressed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UnpackError {
    /// The compressed form is corrupt.
    #[error("the compressed configuration is corrupt: {0}")]
    Corrupt(String),
    /// The text is longer than [`MAX_TEXT_BYTES`].
    #[error("a configuration of {0} bytes is too long")]
    TooLong(usize),
}

/// A configuration as it was submitted, compressed; clones share the bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackedConfig(Arc<[u8]>);

impl PackedConfig {
    /// Compresses the text of a configuration.
    #[must_use]
    pub fn pack(text: &[u8]) -> Self {
        let mut bytes = vec![COMPRESSED];
        bytes.extend(lz4_flex::compress_prepend_size(text));
        Self(bytes.into())
    }

    /// Takes a form that [`Self::as_bytes`] returned, or an uncompressed text.
    #[must_use]
    pub fn from_bytes(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }

    /// Returns the compressed form.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the digest of the compressed form.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&self.0)
    }

    /// Returns the text.
    ///
    /// # Errors
    ///
    /// Fails if the compressed form is corrupt or the text too long.
    pub fn unpack(&self) -> Result<Vec<u8>, UnpackError> {
        let Some((&COMPRESSED, rest)) = self.0.split_first() else {
            return Ok(self.0.to_vec());
        };
        let sized = lz4_flex::block::uncompressed_size(rest);
        let (length, block) = sized.map_err(|error| UnpackError::Corrupt(error.to_string()))?;
        if length > MAX_TEXT_BYTES {
            return Err(UnpackError::TooLong(length));
        }
        let text = lz4_flex::decompress(block, length);
        text.map_err(|error| UnpackError::Corrupt(error.to_string()))
    }
}
