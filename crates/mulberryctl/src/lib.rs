//! The operators' and maintainers' tool.
//!
//! - [`bench`]: loads and experiments, as JSON.
//! - [`client`]: a caller that checks what it gets.
//! - [`command`]: the subcommands and their options.
//! - [`demo`]: a small site in one process.
//! - [`init`]: the files of a site of several processes.
//! - [`operate`]: commands of operators.
//! - [`report`]: the report on service-level burn.
//! - [`site`]: a site on loopback with stand-ins.
//! - [`soak_tool`]: runs of real processes under seeded faults.
//! - [`store_tool`]: checks and dumps of a data folder.

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
