//! Commands of operators.
