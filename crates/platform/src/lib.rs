//! Signals, health answers and metrics for the platform.
