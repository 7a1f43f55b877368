//! The files of a site of several processes.
