//! The encoding of one record and the scan of a segment.
//!
//! ```text
//! segment: magic (8) | number of the first record (8) | checksum (4)
//! record:  marker (4) | length (4) | synced (8) | checksum (4) | bytes
//! ```
//!
//! `synced` is the offset up to which the segment had been synced when the
//! record was written. A damaged record below a later record's `synced` had been
//! acknowledged: that is damage. One above it may be a torn write.

use crate::error::Damage;

/// Length in bytes of a segment's header.
pub const HEADER_BYTES: usize = 20;

/// Length in bytes of a record without its content.
pub const FRAME_BYTES: usize = 20;

/// Largest content of a record, in bytes.
pub const MAX_CONTENT: usize = 64 << 20;

const MAGIC: &[u8; 8] = b"mtseg\0\0\x01";
const MARKER: &[u8; 4] = b"\xa7rec";

/// A record found in a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Found<'a> {
    /// The offset of the record in bytes.
    pub offset: usize,
    /// The offset that had been synced when the record was written.
    pub synced: u64,
    /// The content; empty for a mark that only states `synced`.
    pub content: &'a [u8],
}

/// What a segment holds.
#[derive(Clone, Debug)]
pub struct Scan<'a> {
    /// The number of the first record.
    pub first: u64,
    /// The records up to the end or the first one that can't be read.
    pub records: Vec<Found<'a>>,
    /// The offset after the last whole record.
    pub end: usize,
    /// What is wrong at `end`, where the segment doesn't end there.
    pub fault: Option<Damage>,
    /// Whether what is at `end` had been synced.
    pub synced: bool,
}

/// Returns a segment's header.
#[must_use]
pub fn header(first: u64) -> [u8; HEADER_BYTES] {
    let mut out = [0; HEADER_BYTES];
    out[..8].copy_from_slice(MAGIC);
    out[8..16].copy_from_slice(&first.to_le_bytes());
    let sum = crc32fast::hash(&out[..16]);
    out[16..].copy_from_slice(&sum.to_le_bytes());
    out
}

/// Appends a record to `out`.
pub fn encode(out: &mut Vec<u8>, synced: u64, content: &[u8]) {
    let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
    out.extend_from_slice(MARKER);
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&synced.to_le_bytes());
    out.extend_from_slice(&checksum(length, synced, content).to_le_bytes());
    out.extend_from_slice(content);
}

fn checksum(length: u32, synced: u64, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(&synced.to_le_bytes());
    hasher.update(content);
    hasher.finalize()
}

fn word32(bytes: &[u8], at: usize) -> Option<u32> {
    let part = bytes.get(at..at + 4)?;
    Some(u32::from_le_bytes(part.try_into().ok()?))
}

fn word64(bytes: &[u8], at: usize) -> Option<u64> {
    let part = bytes.get(at..at + 8)?;
    Some(u64::from_le_bytes(part.try_into().ok()?))
}

/// Reads the record at `offset`.
///
/// # Errors
///
/// Fails where no whole record stands there.
pub fn decode(bytes: &[u8], offset: usize) -> Result<Found<'_>, Damage> {
    let rest = bytes.get(offset..).ok_or(Damage::Short)?;
    let marker = rest.get(..4).ok_or(Damage::Short)?;
    if marker != MARKER {
        return Err(Damage::Header);
    }
    let length = word32(rest, 4).ok_or(Damage::Short)?;
    let synced = word64(rest, 8).ok_or(Damage::Short)?;
    let sum = word32(rest, 16).ok_or(Damage::Short)?;
    let size = length as usize;
    if size > MAX_CONTENT {
        return Err(Damage::Header);
    }
    let content = rest
        .get(FRAME_BYTES..FRAME_BYTES + size)
        .ok_or(Damage::Short)?;
    if checksum(length, synced, content) != sum {
        return Err(Damage::Checksum);
    }
    Ok(Found {
        offset,
        synced,
        content,
    })
}

/// Reads a segment.
///
/// # Errors
///
/// Fails where the header is wrong.
pub fn scan(bytes: &[u8]) -> Result<Scan<'_>, Damage> {
    let head = bytes.get(..HEADER_BYTES).ok_or(Damage::Short)?;
    let first = word64(head, 8).ok_or(Damage::Short)?;
    if head != header(first) {
        return Err(Damage::Header);
    }
    let mut scan = Scan {
        first,
        records: Vec::new(),
        end: HEADER_BYTES,
        fault: None,
        synced: false,
    };
    while scan.end < bytes.len() {
        match decode(bytes, scan.end) {
            Ok(found) => {
                scan.end += FRAME_BYTES + found.content.len();
                scan.records.push(found);
            }
            Err(fault) => {
                scan.fault = Some(fault);
                scan.synced = synced_beyond(bytes, scan.end);
                break;
            }
        }
    }
    Ok(scan)
}

/// Returns whether a whole record after `offset` says that `offset` was synced.
fn synced_beyond(bytes: &[u8], offset: usize) -> bool {
    let mut at = offset + 1;
    while at + FRAME_BYTES <= bytes.len() {
        if let Ok(found) = decode(bytes, at)
            && found.synced > offset as u64
        {
            return true;
        }
        at += 1;
    }
    false
}
