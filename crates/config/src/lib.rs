//! The operators' document: reading, checking, writing.
