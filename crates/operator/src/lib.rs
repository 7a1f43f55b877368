//! The HTTP interface towards operators.
