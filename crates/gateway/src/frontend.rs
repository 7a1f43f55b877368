//! The HTTP server for callers: accepts connections, reads requests and passes them on to
//! [`forwarding`].

use std::io;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use base::Span;
use base::Time;
use config::site::Limits;
use futures_lite::FutureExt as _;
use http::Framing;
use http::HeadError;
use http::RequestHead;
use platform::headers;
use platform::headers::Rejection;
use routing::intake::Phase;

use crate::conn::Conn;
use crate::forwarding;
use crate::forwarding::Request;
use crate::forwarding::RequestOutcome;
use crate::intake;
use crate::intake::Place;
use crate::intake::ReceiveError;
use crate::state::ProcessContext;

/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time to read and discard what a caller still sends before a connection closes.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay after a failure to accept a connection, for example without free descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Added to the operators' idle timeout, because callers reuse connections until that
/// timeout.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);

/// Time after which a request that found no room may return: stalled ones have given way or were
/// answered by then.
const NO_ROOM_RETRY_MS: u64 = 500;

const NO_ROOM: &str = "too many large requests; the request did not run\n";

const TOO_SLOW: &str = "the request came too slowly; it did not run\n";

/// Interval at which an idle connection checks whether the process is shutting down.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the start of shutdown in which idle connections stay open: the load
/// balancer needs two health checks, one second apart, to stop sending requests.
pub const SHUTDOWN_IDLE_TIMEOUT: Span = Span::millis(2_600);

/// Binds `address` and serves callers on it.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn bind(shared: &Arc<ProcessContext>, address: SocketAddrV4) -> io::Result<()> {
    let listener = Async::<TcpListener>::bind(address)?;
    shared.pool.spawn(accept_loop(Arc::clone(shared), listener));
    Ok(())
}

async fn accept_loop(shared: Arc<ProcessContext>, listener: Async<TcpListener>) {
    loop {
        let closing = shared.close_event.listen();
        if shared.refuses_callers() {
            return;
        }
        let accepted = async { Some(listener.accept().await) };
        let closing = async {
            closing.await;
            None
        };
        match accepted.or(closing).await {
            None => return,
            Some(Ok((stream, _))) => {
                // Without a place, the connection closes unread.
                if let Some(place) = shared.caller_intake.open() {
                    let conn = Conn::new(stream);
                    shared
                        .pool
                        .spawn(serve_connection(Arc::clone(&shared), conn, place));
                }
            }
            Some(Err(error)) => {
                log::warn!("front: event=accept outcome=failed reason=\"{error}\"");
                Timer::after(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// The outcome of reading a request.
enum ReadOutcome {
    /// A complete request.
    Request(Box<Request>),
    /// The request is rejected with this status and reason.
    Rejected(u16, &'static str),
    /// The connection has ended.
    Closed,
}

/// Counts a connection as busy from the first byte of a request to the end of its
/// response, so that shutdown waits for it.
struct ActiveRequest<'a>(&'a ProcessContext);

impl<'a> ActiveRequest<'a> {
    fn new(shared: &'a ProcessContext) -> Self {
        shared.active_requests.fetch_add(1, Ordering::Relaxed);
        Self(shared)
    }
}

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        self.0.active_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection(shared: Arc<ProcessContext>, mut conn: Conn, place: Place) {
    while place.set_phase(Phase::Idle) {
        let (limits, is_stopping) = {
            let state = shared.state();
            let index = state.site_index.as_ref();
            let limits = index.map_or_else(Limits::default, |index| index.site().limits.clone());
            (limits, shared.health.is_stopping())
        };
        let idle_timeout = Duration::from_millis(limits.idle_ms) + IDLE_TIMEOUT_MARGIN;
        let shed = async {
            place.shed().await;
            false
        };
        if conn.buf.is_empty() {
            let waiting = wait_for_request(&shared, &mut conn, idle_timeout);
            if !waiting.or(shed).await {
                return;
            }
        }
        if !place.set_phase(Phase::Receiving) {
            return;
        }
        let _busy = ActiveRequest::new(&shared);
        match receive_request(&shared, &mut conn, &limits, &place).await {
            ReadOutcome::Closed => return,
            ReadOutcome::Rejected(status, reason) => {
                return reject(conn, &place, status, reason).await;
            }
            ReadOutcome::Request(mut request) => {
                request.close |= is_stopping
                    || shared.health.is_stopping()
                    || shared.load_monitor.closes_connections();
                let outcome = forwarding::handle_request(&shared, &request, &mut conn).await;
                if outcome == RequestOutcome::Aborted {
                    return;
                }
                if request.close || outcome == RequestOutcome::CompleteAndClose {
                    return close(conn, &place).await;
                }
            }
        }
    }
}

/// Answers a request that wasn't received with a rejection, and closes the connection.
async fn reject(mut conn: Conn, place: &Place, status: u16, reason: &'static str) {
    let mut out = Vec::new();
    let rejection = Rejection {
        status,
        reason,
        id: None,
        retry_after_ms: (status == 503).then_some(NO_ROOM_RETRY_MS),
        close: true,
    };
    headers::write_rejection(&mut out, &rejection);
    log::info!(
        "front: event=refused status={status} reason=\"{}\"",
        reason.trim_end()
    );
    conn.buf = Vec::new();
    let timed_out = async {
        Timer::after(LINGER_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    if conn.write_all(&out).or(timed_out).await.is_ok() {
        close(conn, place).await;
    }
}

/// Closes a connection so that its peer can read what was written.
async fn close(mut conn: Conn, place: &Place) {
    if place.set_phase(Phase::Closing) {
        conn.linger(LINGER_TIMEOUT).or(place.shed()).await;
    }
}

async fn receive_request(
    shared: &ProcessContext,
    conn: &mut Conn,
    limits: &Limits,
    place: &Place,
) -> ReadOutcome {
    let arrived_at = shared.now();
    let reading = async {
        let timed_out = async {
            Timer::after(Duration::from_millis(limits.header_ms)).await;
            Err(ReadOutcome::Rejected(408, "the head came too slowly\n"))
        };
        match read_head(conn, limits, place).or(timed_out).await {
            Ok((head, length)) => read_request(conn, head, length, limits, place, arrived_at).await,
            Err(outcome) => outcome,
        }
    };
    let shed = async {
        place.shed().await;
        ReadOutcome::Rejected(408, TOO_SLOW)
    };
    let outcome = reading.or(shed).await;
    if matches!(outcome, ReadOutcome::Request(_)) && !place.set_phase(Phase::Active) {
        return ReadOutcome::Rejected(408, TOO_SLOW);
    }
    outcome
}

/// Waits for the first bytes of a request; returns false if the connection ends or is idle
/// for longer than `idle_timeout`.
async fn wait_for_request(
    shared: &ProcessContext,
    conn: &mut Conn,
    idle_timeout: Duration,
) -> bool {
    let started_at = shared.now();
    loop {
        let closing = shared.close_event.listen();
        if shared.refuses_callers() {
            return false;
        }
        let received = async { Some(conn.fill().await) };
        let timed_out = async {
            Timer::after(SHUTDOWN_CHECK_INTERVAL).await;
            None
        };
        let closing = async {
            closing.await;
            None
        };
        match received.or(closing).or(timed_out).await {
            Some(Ok(read)) => return read > 0,
            Some(Err(_)) => return false,
            None => {}
        }
        let now = shared.now();
        let stopped_at = shared.stopped_at();
        if Duration::from(started_at.until(now)) > idle_timeout
            || stopped_at.is_some_and(|at| at.until(now) > SHUTDOWN_IDLE_TIMEOUT)
        {
            return false;
        }
    }
}

/// Reads a head; returns it with its length.
async fn read_head(
    conn: &mut Conn,
    limits: &Limits,
    place: &Place,
) -> Result<(RequestHead, usize), ReadOutcome> {
    loop {
        if place.resize(conn.buf.capacity()).is_err() {
            return Err(ReadOutcome::Rejected(503, NO_ROOM));
        }
        match RequestHead::parse(&conn.buf, limits.header_bytes) {
            Ok(Some((head, length))) => {
                conn.consume(length);
                return Ok((head, length));
            }
            Ok(None) => {}
            Err(HeadError::TooLong) => {
                return Err(ReadOutcome::Rejected(431, "the head is too long\n"));
            }
            Err(_) => return Err(ReadOutcome::Rejected(400, "the head can't be read\n")),
        }
        match conn.fill().await {
            Ok(0) | Err(_) => return Err(ReadOutcome::Closed),
            Ok(_) => {}
        }
    }
}

async fn read_request(
    conn: &mut Conn,
    head: RequestHead,
    head_length: usize,
    limits: &Limits,
    place: &Place,
    arrived_at: Time,
) -> ReadOutcome {
    if let Framing::Length(length) = head.framing
        && length > limits.body_bytes as u64
    {
        return ReadOutcome::Rejected(413, "the body is too long\n");
    }
    let expect = head.headers.get("expect");
    if expect.is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
        && conn.buf.is_empty()
        && conn
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
            .is_err()
    {
        return ReadOutcome::Closed;
    }
    let reading = intake::receive_body(conn, head.framing, limits.body_bytes, head_length, place);
    let reading = async { reading.await.map_err(|error| read_outcome(&error)) };
    let timed_out = async {
        Timer::after(BODY_TIMEOUT).await;
        Err(ReadOutcome::Rejected(408, "the body came too slowly\n"))
    };
    let body = match reading.or(timed_out).await {
        Ok(body) => body,
        Err(outcome) => return outcome,
    };
    ReadOutcome::Request(Box::new(Request {
        metadata: headers::parse_request(&head),
        close: head.connection_close,
        head,
        body,
        arrived_at,
    }))
}

fn read_outcome(error: &ReceiveError) -> ReadOutcome {
    match error {
        ReceiveError::Malformed => ReadOutcome::Rejected(400, "the body can't be read\n"),
        ReceiveError::TooLong => ReadOutcome::Rejected(413, "the body is too long\n"),
        ReceiveError::NoRoom => ReadOutcome::Rejected(503, NO_ROOM),
        ReceiveError::Closed(_) => ReadOutcome::Closed,
    }
}
