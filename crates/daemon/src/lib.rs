//! The roles of the daemon and their settings.
