//! Loads and experiments, as JSON.
