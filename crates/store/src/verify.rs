//! A read-only check of a journal's folder that reports every error.

use std::fs;
use std::path::Path;

use crate::error::Corruption;
use crate::error::StoreError;
use crate::journal::list_segments;
use crate::journal::read_checkpoint;
use crate::record;

/// The result of a check.
#[derive(Debug, Default)]
pub struct CheckReport {
    /// Readable records in the segments, without sync markers.
    pub record_count: u64,
    /// Bytes of all segments.
    pub segment_bytes: u64,
    /// Bytes at the end of the last segment that may be a torn write.
    pub torn_bytes: u64,
    /// Whether there is a readable checkpoint.
    pub has_checkpoint: bool,
    /// All errors found.
    pub errors: Vec<StoreError>,
}

/// Checks all segments and the checkpoint of a journal's folder.
///
/// # Errors
///
/// Fails where the folder itself can't be read.
pub fn check_journal(folder: &Path) -> Result<CheckReport, StoreError> {
    let mut report = CheckReport::default();
    match read_checkpoint(folder) {
        Ok(checkpoint) => report.has_checkpoint = checkpoint.is_some(),
        Err(error) => report.errors.push(error),
    }
    let segments = list_segments(folder)?;
    let count = segments.len();
    for (index, (_, path)) in segments.iter().enumerate() {
        let bytes = match fs::read(path) {
            Ok(bytes) => bytes,
            Err(e) => {
                report.errors.push(StoreError::io(path, e));
                continue;
            }
        };
        report.segment_bytes += bytes.len() as u64;
        check_segment(path, &bytes, index + 1 == count, &mut report);
    }
    Ok(report)
}

fn check_segment(path: &Path, bytes: &[u8], is_last: bool, report: &mut CheckReport) {
    let corrupt = |offset, reason| StoreError::Corrupt {
        path: path.to_owned(),
        offset,
        reason,
    };
    let scan = match record::scan_segment(bytes) {
        Ok(scan) => scan,
        Err(_) if is_last && bytes.len() < record::SEGMENT_HEADER_BYTES => return,
        Err(reason) => {
            report.errors.push(corrupt(0, reason));
            return;
        }
    };
    let nonempty = scan
        .records
        .iter()
        .filter(|record| !record.content.is_empty());
    report.record_count += nonempty.count() as u64;
    let Some(reason) = scan.corruption else {
        return;
    };
    let offset = scan.valid_end as u64;
    if scan.tail_synced {
        report
            .errors
            .push(corrupt(offset, Corruption::SyncedRecord));
    } else if is_last {
        report.torn_bytes += bytes.len() as u64 - offset;
    } else {
        report.errors.push(corrupt(offset, reason));
    }
}
