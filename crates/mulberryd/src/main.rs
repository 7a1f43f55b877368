//! Placeholder while the workspace is set up.
fn main() {}
