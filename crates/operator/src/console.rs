//! The page of forms, whose only output is the document.

/// The page; it needs no other file.
pub const PAGE: &str = include_str!("console.html");
