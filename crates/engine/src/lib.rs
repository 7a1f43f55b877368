//! The HTTP interface towards model engines.
