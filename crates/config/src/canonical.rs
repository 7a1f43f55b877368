//! The canonical form of a document: JSON indented by two spaces, with members in a
//! fixed order.

use base::Digest;

use crate::document::Document;

/// Returns the canonical form of `document`, ending with a line feed.
///
/// # Panics
///
/// Panics if the document cannot be encoded, which cannot happen: all its maps have
/// string keys.
#[must_use]
pub fn to_canonical_json(document: &Document) -> String {
    let mut text = serde_json::to_string_pretty(document).expect("a document has string keys");
    text.push('\n');
    text
}

/// Returns the digest of the canonical form of `document`.
#[must_use]
pub fn digest(document: &Document) -> Digest {
    Digest::of(to_canonical_json(document).as_bytes())
}
