//! Callers' connections.

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
use http::BodyDecoder;
use http::Framing;
use http::HeadError;
use http::RequestHead;
use platform::headers;
use platform::headers::Rejection;

use crate::conn::Conn;
use crate::relay;
use crate::relay::End;
use crate::relay::Request;
use crate::state::ProcessContext;

/// Longest wait for a body.
const BODY: Duration = Duration::from_secs(10);

/// How long what a caller still sends is taken in before a connection closes.
const LINGER: Duration = Duration::from_millis(500);

/// Pause after a connection couldn't be accepted, for want of descriptors say.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What is added to the operators' idle limit: callers use connections up to it.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);

/// How often an idle connection looks whether the process stops.
const STOP_LOOK: Duration = Duration::from_millis(500);

/// Time after the order to stop in which idle connections stay open: the balancer
/// takes two questions, a second apart, to send nobody any more.
pub const STOP_IDLE: Span = Span::millis(2_600);

/// Binds `address` and serves callers there.
///
/// # Errors
///
/// Fails where the address can't be bound.
pub fn bind(shared: &Arc<ProcessContext>, address: SocketAddrV4) -> io::Result<()> {
    let listener = Async::<TcpListener>::bind(address)?;
    shared.pool.spawn(accept(Arc::clone(shared), listener));
    Ok(())
}

async fn accept(shared: Arc<ProcessContext>, listener: Async<TcpListener>) {
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
                let conn = Conn::new(stream);
                shared.pool.spawn(serve(Arc::clone(&shared), conn));
            }
            Some(Err(error)) => {
                log::warn!("front: event=accept outcome=failed reason=\"{error}\"");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// What came of waiting for a request.
enum Next {
    Request(Box<Request>),
    Refused(u16, &'static str),
    Closed,
}

/// Counts a connection as busy from the first byte of a request to the end of its
/// answer: a planned stop waits for it.
struct Busy<'a>(&'a ProcessContext);

impl<'a> Busy<'a> {
    fn new(shared: &'a ProcessContext) -> Self {
        shared.active_requests.fetch_add(1, Ordering::Relaxed);
        Self(shared)
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.active_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(shared: Arc<ProcessContext>, mut conn: Conn) {
    loop {
        let (limits, stopping) = {
            let state = shared.state();
            let table = state.site_index.as_ref();
            let limits = table.map_or_else(Limits::default, |table| table.site().limits.clone());
            (limits, shared.health.is_stopping())
        };
        let idle = Duration::from_millis(limits.idle_ms) + IDLE_MARGIN;
        if conn.buf.is_empty() && !wait_first(&shared, &mut conn, idle).await {
            return;
        }
        let _busy = Busy::new(&shared);
        match next(&shared, &mut conn, &limits).await {
            Next::Closed => return,
            Next::Refused(status, reason) => {
                let mut out = Vec::new();
                let refusal = Rejection {
                    status,
                    reason,
                    id: None,
                    retry_after_ms: None,
                    close: true,
                };
                headers::write_rejection(&mut out, &refusal);
                log::info!(
                    "front: event=refused status={status} reason=\"{}\"",
                    reason.trim_end()
                );
                if conn.write(&out).await.is_ok() {
                    conn.linger(LINGER).await;
                }
                return;
            }
            Next::Request(mut request) => {
                request.close |= stopping || shared.health.is_stopping();
                let end = relay::answer(&shared, &request, &mut conn).await;
                if end == End::Cut {
                    return;
                }
                if request.close || end == End::Last {
                    conn.linger(LINGER).await;
                    return;
                }
            }
        }
    }
}

async fn next(shared: &ProcessContext, conn: &mut Conn, limits: &Limits) -> Next {
    let arrived = shared.now();
    let reading = read_head(conn, limits);
    let late = async {
        Timer::after(Duration::from_millis(limits.header_ms)).await;
        Err(Next::Refused(408, "the head came too slowly\n"))
    };
    match reading.or(late).await {
        Ok(head) => read_request(conn, head, limits, arrived).await,
        Err(next) => next,
    }
}

/// Waits for the first bytes of a request; returns false where the connection ends.
async fn wait_first(shared: &ProcessContext, conn: &mut Conn, idle: Duration) -> bool {
    let since = shared.now();
    loop {
        let closing = shared.close_event.listen();
        if shared.refuses_callers() {
            return false;
        }
        let filled = async { Some(conn.fill().await) };
        let late = async {
            Timer::after(STOP_LOOK).await;
            None
        };
        let closing = async {
            closing.await;
            None
        };
        match filled.or(closing).or(late).await {
            Some(Ok(read)) => return read > 0,
            Some(Err(_)) => return false,
            None => {}
        }
        let now = shared.now();
        let stopped = shared.stopped_at();
        if Duration::from(since.until(now)) > idle
            || stopped.is_some_and(|at| at.until(now) > STOP_IDLE)
        {
            return false;
        }
    }
}

async fn read_head(conn: &mut Conn, limits: &Limits) -> Result<RequestHead, Next> {
    loop {
        match RequestHead::parse(&conn.buf, limits.header_bytes) {
            Ok(Some((head, used))) => {
                conn.used(used);
                return Ok(head);
            }
            Ok(None) => {}
            Err(HeadError::TooLong) => return Err(Next::Refused(431, "the head is too long\n")),
            Err(_) => return Err(Next::Refused(400, "the head can't be read\n")),
        }
        match conn.fill().await {
            Ok(0) | Err(_) => return Err(Next::Closed),
            Ok(_) => {}
        }
    }
}

async fn read_request(conn: &mut Conn, head: RequestHead, limits: &Limits, arrived: Time) -> Next {
    if let Framing::Length(length) = head.framing
        && length > limits.body_bytes as u64
    {
        return Next::Refused(413, "the body is too long\n");
    }
    let waits = head.headers.get("expect");
    if waits.is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
        && conn.buf.is_empty()
        && conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err()
    {
        return Next::Closed;
    }
    let reading = read_body(conn, head.framing, limits.body_bytes);
    let late = async {
        Timer::after(BODY).await;
        Err(Next::Refused(408, "the body came too slowly\n"))
    };
    let body = match reading.or(late).await {
        Ok(body) => body,
        Err(next) => return next,
    };
    Next::Request(Box::new(Request {
        call: headers::parse_request(&head),
        close: head.connection_close,
        head,
        body,
        arrived,
    }))
}

async fn read_body(conn: &mut Conn, framing: Framing, most: usize) -> Result<Vec<u8>, Next> {
    let mut body = BodyDecoder::new(framing);
    let mut bytes = Vec::new();
    loop {
        match body.decode(&conn.buf, &mut bytes) {
            Ok(used) => conn.used(used),
            Err(_) => return Err(Next::Refused(400, "the body can't be read\n")),
        }
        if bytes.len() > most {
            return Err(Next::Refused(413, "the body is too long\n"));
        }
        if body.is_complete() {
            return Ok(bytes);
        }
        match conn.fill().await {
            Ok(0) | Err(_) => return Err(Next::Closed),
            Ok(_) => {}
        }
    }
}
