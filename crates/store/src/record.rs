//! Record encoding and segment scans, on the bytes of a segment or checkpoint.
//!
//! ```text
//! segment: magic (8) | number of the first record (8) | checksum (4)
//! record:  magic (4) | length (4) | synced (8) | checksum (4) | content
//! ```
//!
//! Numbers are little-endian, lengths in bytes. `synced` is the offset up to which the
//! segment had been synced when the record was written. An unreadable record below a
//! later record's `synced` offset had been acknowledged, so it is corruption. One above
//! it may be a torn write.

use crate::error::Corruption;

/// Length in bytes of a segment's header.
pub const SEGMENT_HEADER_BYTES: usize = 20;

/// Length in bytes of a record without its content.
pub const RECORD_HEADER_BYTES: usize = 20;

/// Largest content of a record, in bytes.
pub const MAX_CONTENT_BYTES: usize = 64 << 20;

const SEGMENT_MAGIC: &[u8; 8] = b"mtseg\0\0\x01";
const RECORD_MAGIC: &[u8; 4] = b"\xa7rec";

/// A record read from a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    /// The offset of the record in bytes.
    pub offset: usize,
    /// The offset that had been synced when the record was written.
    pub synced_offset: u64,
    /// The content; empty for a sync marker, which only states `synced_offset`.
    pub content: &'a [u8],
}

/// The result of scanning a segment.
#[derive(Clone, Debug)]
pub struct SegmentScan<'a> {
    /// The number of the first record.
    pub first_record: u64,
    /// The records up to the end or to the first one that can't be read.
    pub records: Vec<Record<'a>>,
    /// The offset in bytes after the last readable record.
    pub valid_end: usize,
    /// The corruption at `valid_end`, unless the segment ends there.
    pub corruption: Option<Corruption>,
    /// Whether a later record states that the bytes at `valid_end` were synced.
    pub tail_synced: bool,
}

/// Returns the header of a segment whose first record has the number `first_record`.
#[must_use]
pub fn segment_header(first_record: u64) -> [u8; SEGMENT_HEADER_BYTES] {
    let mut out = [0; SEGMENT_HEADER_BYTES];
    out[..8].copy_from_slice(SEGMENT_MAGIC);
    out[8..16].copy_from_slice(&first_record.to_le_bytes());
    let sum = crc32fast::hash(&out[..16]);
    out[16..].copy_from_slice(&sum.to_le_bytes());
    out
}

/// Returns the header of a record with this content.
#[must_use]
pub fn record_header(synced_offset: u64, content: &[u8]) -> [u8; RECORD_HEADER_BYTES] {
    let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
    let mut out = [0; RECORD_HEADER_BYTES];
    out[..4].copy_from_slice(RECORD_MAGIC);
    out[4..8].copy_from_slice(&length.to_le_bytes());
    out[8..16].copy_from_slice(&synced_offset.to_le_bytes());
    let sum = checksum(length, synced_offset, content);
    out[16..].copy_from_slice(&sum.to_le_bytes());
    out
}

/// Appends the encoded record to `out`.
pub fn encode(out: &mut Vec<u8>, synced_offset: u64, content: &[u8]) {
    out.extend_from_slice(&record_header(synced_offset, content));
    out.extend_from_slice(content);
}

fn checksum(length: u32, synced_offset: u64, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(&synced_offset.to_le_bytes());
    hasher.update(content);
    hasher.finalize()
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}

fn read_u64(bytes: &[u8], offset: usize) -> Option<u64> {
    let field = bytes.get(offset..offset + 8)?;
    Some(u64::from_le_bytes(field.try_into().ok()?))
}

/// Reads the record at `offset`.
///
/// # Errors
///
/// Fails where there is no valid record at `offset`.
pub fn decode(bytes: &[u8], offset: usize) -> Result<Record<'_>, Corruption> {
    let rest = bytes.get(offset..).ok_or(Corruption::Truncated)?;
    let magic = rest.get(..4).ok_or(Corruption::Truncated)?;
    if magic != RECORD_MAGIC {
        return Err(Corruption::Header);
    }
    let length = read_u32(rest, 4).ok_or(Corruption::Truncated)?;
    let synced_offset = read_u64(rest, 8).ok_or(Corruption::Truncated)?;
    let sum = read_u32(rest, 16).ok_or(Corruption::Truncated)?;
    let size = length as usize;
    if size > MAX_CONTENT_BYTES {
        return Err(Corruption::Header);
    }
    let content = rest
        .get(RECORD_HEADER_BYTES..RECORD_HEADER_BYTES + size)
        .ok_or(Corruption::Truncated)?;
    if checksum(length, synced_offset, content) != sum {
        return Err(Corruption::Checksum);
    }
    Ok(Record {
        offset,
        synced_offset,
        content,
    })
}

/// Scans a segment up to its end or the first record that can't be read.
///
/// # Errors
///
/// Fails where the segment's header is invalid.
pub fn scan_segment(bytes: &[u8]) -> Result<SegmentScan<'_>, Corruption> {
    let header = bytes
        .get(..SEGMENT_HEADER_BYTES)
        .ok_or(Corruption::Truncated)?;
    let first_record = read_u64(header, 8).ok_or(Corruption::Truncated)?;
    if header != segment_header(first_record) {
        return Err(Corruption::Header);
    }
    let mut scan = SegmentScan {
        first_record,
        records: Vec::new(),
        valid_end: SEGMENT_HEADER_BYTES,
        corruption: None,
        tail_synced: false,
    };
    while scan.valid_end < bytes.len() {
        match decode(bytes, scan.valid_end) {
            Ok(record) => {
                scan.valid_end += RECORD_HEADER_BYTES + record.content.len();
                scan.records.push(record);
            }
            Err(corruption) => {
                scan.corruption = Some(corruption);
                scan.tail_synced = is_synced_tail(bytes, scan.valid_end);
                break;
            }
        }
    }
    Ok(scan)
}

/// Returns whether a readable record after `offset` states that the byte at `offset`
/// was synced.
fn is_synced_tail(bytes: &[u8], offset: usize) -> bool {
    let mut at = offset + 1;
    while at + RECORD_HEADER_BYTES <= bytes.len() {
        if let Ok(record) = decode(bytes, at)
            && record.synced_offset > offset as u64
        {
            return true;
        }
        at += 1;
    }
    false
}
