//! The HTTP interface towards plain services.
