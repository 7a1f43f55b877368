//! The life of a request at an entry and at an agent.
