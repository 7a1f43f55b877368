//! Stand-ins of a model engine and a plain service.
