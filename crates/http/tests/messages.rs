//! Heads and bodies: what is read, and what is refused for being ambiguous.

use http::Body;
use http::Framing;
use http::HeadError;
use http::RequestHead;
use http::ResponseHead;
use http::event;
use http::write::chunk;
use http::write::last_chunk;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const MOST: usize = 4_096;

fn request(text: &str) -> Result<Option<(RequestHead, usize)>, HeadError> {
    RequestHead::read(text.as_bytes(), MOST)
}

#[test]
fn a_request_is_read_as_sent() {
    let text = "POST /a/b?c=d HTTP/1.1\r\nHost: one.example:80\r\nContent-Length: 5\r\n\r\nhello";
    let (head, used) = request(text).unwrap().unwrap();
    assert_eq!(head.method, "POST");
    assert_eq!(head.target, "/a/b?c=d");
    assert_eq!((head.path(), head.host()), ("/a/b", "one.example"));
    assert_eq!(head.framing, Framing::Length(5));
    assert_eq!(&text[used..], "hello");
}

#[test]
fn ambiguous_framing_is_refused() {
    let heads = [
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Content-Length: 5\r\nContent-Length: 6",
        "Content-Length: +5",
        "Content-Length: 5, 5",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
        "Host: a\r\nHost: b",
    ];
    for lines in heads {
        let text = format!("POST / HTTP/1.1\r\n{lines}\r\n\r\n");
        assert_eq!(request(&text), Err(HeadError::Framing), "{lines}");
    }
    let spaced = "GET / HTTP/1.1\r\nContent-Length : 5\r\n\r\n";
    assert_eq!(request(spaced), Err(HeadError::Syntax));
}

#[test]
fn long_heads_are_refused_before_they_end() {
    let text = format!("GET / HTTP/1.1\r\nA: {}", "x".repeat(MOST));
    assert_eq!(request(&text), Err(HeadError::TooLong));
    assert_eq!(request("GET / HTTP/1.1\r\nA: b"), Ok(None));
}

#[test]
fn headers_of_one_connection_stay_there() {
    let text =
        "GET / HTTP/1.1\r\nConnection: keep-alive, X-Own\r\nX-Own: 1\r\nTE: x\r\nB: 2\r\n\r\n";
    let (head, _) = request(text).unwrap().unwrap();
    let left: Vec<(&str, &str)> = head.headers.end_to_end().collect();
    assert_eq!(left, [("B", "2")]);
}

#[test]
fn a_response_without_length_ends_with_its_connection() {
    let text = b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n";
    let (head, _) = ResponseHead::read(text, MOST, "GET").unwrap().unwrap();
    assert_eq!(head.framing, Framing::Close);
    assert!(head.closes);
    assert!(Body::new(head.framing).ends_with_connection());
    assert!(!Body::new(Framing::Length(3)).ends_with_connection());
    let (head, _) = ResponseHead::read(text, MOST, "HEAD").unwrap().unwrap();
    assert_eq!(head.framing, Framing::None);
}

#[test]
fn bytes_after_a_body_are_left() {
    let mut out = Vec::new();
    let mut body = Body::new(Framing::Length(3));
    assert_eq!(body.read(b"abcHTTP/1.1", &mut out), Ok(3));
    assert!(body.done());
    let mut body = Body::new(Framing::Chunked);
    assert_eq!(body.read(b"1\r\na\r\n0\r\n\r\nrest", &mut out), Ok(11));
    assert!(body.done());
    assert_eq!(out, b"abca");
}

#[test]
fn broken_chunks_are_refused() {
    for bytes in [&b"x\r\n"[..], b"2\r\nabXX", b"-1\r\n"] {
        let mut body = Body::new(Framing::Chunked);
        let done = body.read(bytes, &mut Vec::new());
        assert_eq!(done, Err(HeadError::Framing), "{bytes:?}");
    }
}

/// Chunks cut anywhere give the content back.
#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn chunks_round_trip(parts: Vec<Vec<u8>>, cut: usize) -> bool {
    let mut wire = Vec::new();
    for part in &parts {
        chunk(&mut wire, part);
    }
    last_chunk(&mut wire);
    let mut body = Body::new(Framing::Chunked);
    let mut out = Vec::new();
    let mut held: Vec<u8> = Vec::new();
    for piece in wire.chunks(cut % 7 + 1) {
        held.extend_from_slice(piece);
        let used = body.read(&held, &mut out).unwrap();
        held.drain(..used);
    }
    body.done() && held.is_empty() && out == parts.concat()
}

#[test]
fn chunks_cut_anywhere_give_the_content_back() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .tests(500)
        .quickcheck(chunks_round_trip as fn(Vec<Vec<u8>>, usize) -> bool);
}

#[test]
fn only_whole_events_are_passed_on() {
    assert_eq!(event::whole(b"id: 1\ndata: a\n\nid: 2\nda"), 15);
    assert_eq!(event::whole(b"id: 1\r\ndata: a\r\n\r\nid"), 18);
    assert_eq!(event::whole(b"id: 1\ndata: a\n"), 0);
    let (count, id) = event::last(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert_eq!((count, id), (2, Some("2")));
}
