//! Event boundaries and identifiers in the bytes of a `text/event-stream` body.

/// Returns the length in bytes of the complete events at the start of `bytes`.
#[must_use]
pub fn complete_len(bytes: &[u8]) -> usize {
    let mut end = bytes.len();
    while let Some(at) = bytes[..end].iter().rposition(|&b| b == b'\n') {
        if bytes[..at].ends_with(b"\n") || bytes[..at].ends_with(b"\n\r") {
            return at + 1;
        }
        end = at;
    }
    0
}

/// Returns whether the bytes after the last complete event begin another one.
#[must_use]
pub fn ends_inside_event(bytes: &[u8]) -> bool {
    let rest = &bytes[complete_len(bytes)..];
    let mut lines = rest.split(|&b| b == b'\n');
    lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// Returns the number of complete events in `bytes` and the identifier of the last
/// event that has one.
#[must_use]
pub fn count_and_last_id(bytes: &[u8]) -> (usize, Option<&str>) {
    let mut count = 0;
    let mut id = None;
    let mut in_event = false;
    for line in bytes.split(|&b| b == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            count += usize::from(in_event);
            in_event = false;
            continue;
        }
        // A line that begins with a colon is a comment.
        in_event |= !line.starts_with(b":");
        if let Some(value) = line.strip_prefix(b"id:") {
            id = std::str::from_utf8(value).ok().map(str::trim);
        }
    }
    (count, id)
}

/// Returns the identifier of the first event in `bytes`, if it has one.
#[must_use]
pub fn first_id(bytes: &[u8]) -> Option<&str> {
    let lines = bytes.split(|&b| b == b'\n');
    let lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    // Comments and blank lines may precede the event.
    let mut event = lines
        .skip_while(|line| line.is_empty() || line.starts_with(b":"))
        .take_while(|line| !line.is_empty());
    let value = event.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok().map(str::trim)
}

/// Returns whether the event `id` comes after the event `last`. Identifiers that aren't numbers
/// have no order; they only differ.
#[must_use]
pub fn is_later(id: &str, last: &str) -> bool {
    match (id.parse::<u64>(), last.parse::<u64>()) {
        (Ok(id), Ok(last)) => id > last,
        _ => id != last,
    }
}
