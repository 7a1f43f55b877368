//! A check of a folder that names every fault and changes nothing.

use std::fs;
use std::path::Path;

use crate::error::Damage;
use crate::error::StoreError;
use crate::journal::checkpoint;
use crate::journal::segments;
use crate::record;

/// What a check found.
#[derive(Debug, Default)]
pub struct Report {
    /// Whole records in the segments.
    pub records: u64,
    /// Bytes of all segments.
    pub bytes: u64,
    /// Bytes at the end that look like a torn write.
    pub torn: u64,
    /// Whether there is a checkpoint.
    pub checkpoint: bool,
    /// Every fault.
    pub faults: Vec<StoreError>,
}

/// Checks all segments and the checkpoint of a journal's folder.
///
/// # Errors
///
/// Fails where the folder itself can't be read.
pub fn check(folder: &Path) -> Result<Report, StoreError> {
    let mut report = Report::default();
    match checkpoint(folder) {
        Ok(found) => report.checkpoint = found.is_some(),
        Err(fault) => report.faults.push(fault),
    }
    let found = segments(folder)?;
    let count = found.len();
    for (place, (_, path)) in found.iter().enumerate() {
        let bytes = match fs::read(path) {
            Ok(bytes) => bytes,
            Err(e) => {
                report.faults.push(StoreError::io(path, e));
                continue;
            }
        };
        report.bytes += bytes.len() as u64;
        check_segment(path, &bytes, place + 1 == count, &mut report);
    }
    Ok(report)
}

fn check_segment(path: &Path, bytes: &[u8], last: bool, report: &mut Report) {
    let damaged = |offset, reason| StoreError::Damaged {
        path: path.to_owned(),
        offset,
        reason,
    };
    let scan = match record::scan(bytes) {
        Ok(scan) => scan,
        Err(_) if last && bytes.len() < record::HEADER_BYTES => return,
        Err(reason) => {
            report.faults.push(damaged(0, reason));
            return;
        }
    };
    let full = scan
        .records
        .iter()
        .filter(|found| !found.content.is_empty());
    report.records += full.count() as u64;
    let Some(reason) = scan.fault else { return };
    let offset = scan.end as u64;
    if scan.synced {
        report.faults.push(damaged(offset, Damage::Hole));
    } else if last {
        report.torn += bytes.len() as u64 - offset;
    } else {
        report.faults.push(damaged(offset, reason));
    }
}
