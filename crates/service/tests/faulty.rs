//! Plain services whose answers are broken off, endless, slow or without a length.

use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use engine::EngineError;
use futures_lite::future::block_on;
use service::ServiceRequest;
use service::ServiceResponse;

/// Starts a service that answers each request with `start` and then, again and again until
/// the connection is closed, with `rest`; without `rest` it closes the connection.
fn service(start: String, rest: &'static str, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request);
            let mut sent = stream.write_all(start.as_bytes());
            while sent.is_ok() && !rest.is_empty() {
                thread::sleep(pause);
                sent = stream.write_all(rest.as_bytes());
            }
        }
    });
    address
}

fn call(address: SocketAddr, timeout: Duration) -> Result<ServiceResponse, EngineError> {
    call_with_body(address, b"x", timeout)
}

fn call_with_body(
    address: SocketAddr,
    body: &[u8],
    timeout: Duration,
) -> Result<ServiceResponse, EngineError> {
    let request = ServiceRequest {
        method: "POST",
        path: "/book",
        media_type: "text/plain",
        body,
    };
    block_on(service::call(address, &request, timeout))
}

/// Longer than any of these services takes.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Longer than what the buffers of two sockets hold.
const LONG_BODY_BYTES: usize = 24 << 20;

const OK: &str = "HTTP/1.1 200 OK\r\n";

/// Guards against a success with an empty or short body, framed as whole.
#[test]
fn answers_that_are_broken_off_are_no_success() {
    for framed in [
        format!("{OK}Content-Length: 4\r\n\r\nokay"),
        format!("{OK}Transfer-Encoding: chunked\r\n\r\n4\r\nokay\r\n0\r\n\r\n"),
    ] {
        for length in 0..framed.len() {
            let address = service(framed[..length].to_owned(), "", Duration::ZERO);
            let result = call(address, TIMEOUT);
            assert!(result.is_err(), "{}: {result:?}", &framed[..length]);
        }
        let address = service(framed, "", Duration::ZERO);
        assert_eq!(call(address, TIMEOUT).expect("whole").body, b"okay");
    }
}

/// Guards against an empty body in place of one that ends with its connection.
#[test]
fn bodies_without_a_length_arrive_whole() {
    let address = service(format!("{OK}\r\nokay"), "", Duration::ZERO);
    assert_eq!(call(address, TIMEOUT).expect("whole").body, b"okay");
    let address = service(format!("{OK}\r\n"), "", Duration::ZERO);
    assert!(call(address, TIMEOUT).is_err(), "nothing shows its end");
}

/// Guards against bytes of another protocol that are read as the answer: nothing in a request
/// asks for one.
#[test]
fn nothing_that_follows_a_switch_of_protocols_is_an_answer() {
    let switch = "HTTP/1.1 101 Switching Protocols\r\n\r\n";
    let answer = format!("{switch}{OK}Content-Length: 4\r\n\r\nokay");
    let result = call(service(answer, "", Duration::ZERO), TIMEOUT);
    assert!(result.is_err(), "{result:?}");
}

/// A body without a length that ends with a reset isn't whole, whether the reset comes after
/// the request was sent or while it is being sent.
#[test]
fn bodies_that_end_with_a_reset_are_not_whole() {
    for length in [1_000, LONG_BODY_BYTES] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let service = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            stream.read_exact(&mut [0; 8]).expect("a request");
            let reply = format!("{OK}\r\npart");
            stream.write_all(reply.as_bytes()).expect("sent");
            // A connection that is closed with unread bytes is reset.
            thread::sleep(Duration::from_millis(150));
        });
        let result = call_with_body(address, &vec![b'x'; length], TIMEOUT);
        assert!(result.is_err(), "{length}: {result:?}");
        service.join().expect("ended");
    }
}

/// Guards against calls that never end: only the head of an answer had a timeout.
#[test]
fn slow_and_endless_bodies_fail() {
    let slow = service(
        format!("{OK}Content-Length: 9000\r\n\r\n"),
        "x",
        Duration::from_millis(40),
    );
    let result = call(slow, Duration::from_millis(400));
    assert!(matches!(result, Err(EngineError::Stalled)), "{result:?}");
    let endless = service(format!("{OK}\r\n"), "xxxxxxxxxxxxxxxx", Duration::ZERO);
    assert!(call(endless, TIMEOUT).is_err());
}
