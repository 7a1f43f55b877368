//! The HTTP interface towards callers.
