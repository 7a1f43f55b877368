//! The events of a `text/event-stream` body.

/// Returns the length of the whole events at the start of `bytes`.
#[must_use]
pub fn whole(bytes: &[u8]) -> usize {
    let mut from = bytes.len();
    while let Some(at) = bytes[..from].iter().rposition(|&b| b == b'\n') {
        if bytes[..at].ends_with(b"\n") || bytes[..at].ends_with(b"\n\r") {
            return at + 1;
        }
        from = at;
    }
    0
}

/// Returns the number of whole events in `bytes` and the identifier of the last
/// one that has an identifier.
#[must_use]
pub fn last(bytes: &[u8]) -> (usize, Option<&str>) {
    let mut count = 0;
    let mut id = None;
    let mut filled = false;
    for line in bytes.split(|&b| b == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            count += usize::from(filled);
            filled = false;
            continue;
        }
        filled = true;
        if let Some(value) = line.strip_prefix(b"id:") {
            id = std::str::from_utf8(value).ok().map(str::trim);
        }
    }
    (count, id)
}
