//! The command line tool of operators and maintainers.
//!
//! - [`bench`]: benchmarks that print JSON.
//! - [`client`]: an HTTP client that verifies the answers of entries.
//! - [`command`]: the subcommands and their options.
//! - [`demo`]: a small site in one process, with traffic.
//! - [`init`]: the files of a site of several processes.
//! - [`operate`]: the operators' commands, sent to keepers.
//! - [`report`]: the report on service-level burn.
//! - [`site`]: a site on loopback with fake engines and services as its endpoints.
//! - [`soak_tool`]: soak runs of real processes with faults drawn from seeds.
//! - [`store_tool`]: checks and dumps of a keeper's data folder.

pub mod bench;
pub mod client;
pub mod command;
pub mod demo;
pub mod init;
pub mod operate;
pub mod report;
pub mod site;
pub mod soak_tool;
pub mod store_tool;
