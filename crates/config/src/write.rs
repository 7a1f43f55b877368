//! The canonical form: JSON with two spaces, members in a fixed order.

use base::Digest;

use crate::document::Document;

/// Returns the canonical form of `document`, ending with a line feed.
///
/// # Panics
///
/// Panics where the document can't be encoded, which no document can cause.
#[must_use]
pub fn write(document: &Document) -> String {
    let mut text = serde_json::to_string_pretty(document).expect("a document has string keys");
    text.push('\n');
    text
}

/// Returns the digest of the canonical form.
#[must_use]
pub fn digest(document: &Document) -> Digest {
    Digest::of(write(document).as_bytes())
}
