//! Engines that send bytes without end, or close inside an answer. A request must fail soon,
//! and the bytes must not be kept.

use std::fs;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use engine::ChatRequest;
use engine::ChatStream;
use engine::EngineError;
use engine::control;
use futures_lite::future::block_on;

/// Timeout between two events. What is sent without end within it would take gigabytes.
const TIMEOUT: Duration = Duration::from_secs(8);

/// Memory that the test process may gain, in pages of 4 KiB.
const MAX_GROWTH_PAGES: u64 = 16 << 10;

/// Starts an engine that answers each request with `start` and then, again and again until
/// the connection is closed, with `rest`; without `rest` it closes the connection.
fn engine(start: String, rest: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let (start, rest) = (start.clone(), rest.clone());
            thread::spawn(move || {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request);
                let mut sent = stream.write_all(start.as_bytes());
                while sent.is_ok() && !rest.is_empty() {
                    sent = stream.write_all(rest.as_bytes());
                }
            });
        }
    });
    address
}

fn resident_pages() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").expect("the memory in use");
    let pages = text.split(' ').nth(1).expect("resident pages");
    pages.parse().expect("a number")
}

fn chat() -> ChatRequest {
    ChatRequest {
        id: "r1".to_owned(),
        model: "m".to_owned(),
        messages: serde_json::json!([]),
        max_tokens: 10,
        prefix: String::new(),
        priority: 0,
        stream: true,
    }
}

/// Returns the error of a stream that never gives an event.
fn stream_error(start: &str, rest: &str) -> EngineError {
    let address = engine(start.to_owned(), rest.to_owned());
    let before = resident_pages();
    let result = block_on(async {
        let mut stream = ChatStream::open(address, &chat(), TIMEOUT).await?;
        stream.next().await
    });
    let growth = resident_pages().saturating_sub(before);
    assert!(growth < MAX_GROWTH_PAGES, "{start}: {growth} pages");
    result.expect_err(start)
}

const OK: &str = "HTTP/1.1 200 OK\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Guards against a process that keeps all that an engine sends until its memory is used up:
/// the length of a head and of a line was only checked at its end.
#[test]
fn answers_without_end_fail_and_are_not_kept() {
    let y = "y".repeat(4_096);
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    for (start, rest) in [
        (format!("{OK}X: "), y.clone()),
        (OK.to_owned(), "X: y\r\n".repeat(600)),
        (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(100)),
        (format!("{OK}\r\ndata: "), y.clone()),
        (CHUNKED.to_owned(), chunk(&y)),
        (format!("{CHUNKED}5;"), y),
    ] {
        let error = stream_error(&start, &rest);
        assert!(!matches!(error, EngineError::Stalled), "{start}: {error}");
    }
}

/// Guards against a request that never ends: lines without an event counted as progress.
#[test]
fn streams_of_lines_without_events_fail() {
    for rest in ["\n".repeat(4_096), ": nothing\n\n".repeat(400)] {
        let chunk = format!("{:x}\r\n{rest}\r\n", rest.len());
        stream_error(CHUNKED, &chunk);
    }
}

#[test]
fn control_answers_without_end_fail_and_are_not_kept() {
    let address = engine(format!("{OK}\r\n"), " ".repeat(4_096));
    let before = resident_pages();
    assert!(block_on(control::fetch_load(address)).is_err());
    let growth = resident_pages().saturating_sub(before);
    assert!(growth < MAX_GROWTH_PAGES, "{growth} pages");
}

#[test]
fn answers_that_end_inside_their_head_are_errors() {
    let body = r#"{"busy":1,"room":2,"serves":[]}"#;
    let reply = format!("{OK}Content-Length: {}\r\n\r\n{body}", body.len());
    for length in 0..reply.len() {
        let address = engine(reply[..length].to_owned(), String::new());
        assert!(block_on(control::fetch_load(address)).is_err(), "{length}");
    }
    let address = engine(reply, String::new());
    assert!(block_on(control::fetch_load(address)).is_ok());
}
