//! The console: a page of forms in which an operator edits the document.

/// The console page, which loads no other file.
pub const CONSOLE_HTML: &str = include_str!("console.html");
