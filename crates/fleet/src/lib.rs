//! Messages and transport between processes of the fleet.
