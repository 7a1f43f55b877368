//! Journal segments and snapshots in one data folder.
