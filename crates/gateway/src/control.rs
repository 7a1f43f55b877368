//! The control interface: announcements of engines, readiness checks of the load balancer,
//! configurations of operators, and metrics.
//!
//! Its input is HTTP requests with JSON bodies.

use std::io;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use base::Span;
use config::packed::PackedConfig;
use fleet::mesh::MeshRequest;
use fleet::mesh::MeshResponse;
use futures_lite::FutureExt as _;
use http::RequestHead;
use http::write::HeadWriter;
use platform::paths::ControlRequest;
use routing::intake::Phase;

use crate::config_sync;
use crate::conn::Conn;
use crate::engines;
use crate::engines::DepartureError;
use crate::evacuations;
use crate::evacuations::OrderError;
use crate::intake;
use crate::intake::MAX_CONFIG_BYTES;
use crate::intake::Place;
use crate::leader_requests;
use crate::state::ProcessContext;

/// Maximum length of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Maximum length of any other request body, in bytes. Those that are too long to be decoded
/// are still answered, within this bound.
const MAX_BODY_BYTES: usize = 256 << 10;

/// Maximum time that a connection waits for a complete request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout for committing or reading a configuration. The operator stops waiting after
/// one second, so a later response tells it nothing.
const CONFIG_TIMEOUT: Span = Span::millis(550);

/// Maximum wait for the leader to say whether it knows a version, before a peer is asked that
/// may reach it.
const AWAIT_TIMEOUT: Span = Span::millis(200);

/// Binds `address` and serves control requests on it.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn bind(shared: &Arc<ProcessContext>, address: SocketAddrV4) -> io::Result<()> {
    let listener = Async::<TcpListener>::bind(address)?;
    let shared = Arc::clone(shared);
    let pool = shared.pool.clone();
    pool.clone().spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    // Without a place, the connection closes unread.
                    if let Some(place) = shared.control_intake.open() {
                        let conn = Conn::new(stream);
                        pool.spawn(serve_connection(Arc::clone(&shared), conn, place));
                    }
                }
                Err(error) => {
                    log::warn!("control: event=accept outcome=failed reason=\"{error}\"");
                    Timer::after(Duration::from_millis(20)).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve_connection(shared: Arc<ProcessContext>, mut conn: Conn, place: Place) {
    loop {
        let timed_out = async {
            Timer::after(IDLE_TIMEOUT).await;
            None
        };
        let shed = async {
            place.shed().await;
            None
        };
        let reading = read_request(&mut conn, &place);
        let Some((head, body)) = reading.or(timed_out).or(shed).await else {
            return;
        };
        if !place.set_phase(Phase::Active) {
            return;
        }
        let (status, response) = handle_request(&shared, &head, &body).await;
        let mut out = Vec::with_capacity(160 + response.len());
        let mut writer = HeadWriter::response(&mut out, status)
            .header("Content-Type", "application/json")
            .header_u64("Content-Length", response.len() as u64);
        if head.connection_close {
            writer = writer.header("Connection", "close");
        }
        writer.finish();
        out.extend_from_slice(&response);
        drop(body);
        let is_sent = conn.write_all(&out).await.is_ok();
        if !is_sent || head.connection_close || !place.set_phase(Phase::Idle) {
            return;
        }
    }
}

/// Reads a request; returns `None` if the connection is to be closed without an answer.
async fn read_request(conn: &mut Conn, place: &Place) -> Option<(RequestHead, Vec<u8>)> {
    let mut is_receiving = false;
    let (head, length) = loop {
        if !conn.buf.is_empty() && !is_receiving {
            is_receiving = true;
            if !place.set_phase(Phase::Receiving) {
                return None;
            }
        }
        place.resize(conn.buf.capacity()).ok()?;
        if let Some((head, length)) = RequestHead::parse(&conn.buf, MAX_HEAD_BYTES).ok()? {
            conn.consume(length);
            break (head, length);
        }
        if conn.fill().await.ok()? == 0 {
            return None;
        }
    };
    let max_bytes = match ControlRequest::parse(&head) {
        ControlRequest::SubmitConfig => MAX_CONFIG_BYTES,
        _ => MAX_BODY_BYTES,
    };
    match intake::receive_body(conn, head.framing, max_bytes, length, place).await {
        Ok(body) => Some((head, body)),
        Err(error) => {
            log::info!("control: event=request outcome=refused reason=\"{error}\"");
            None
        }
    }
}

async fn handle_request(
    shared: &Arc<ProcessContext>,
    head: &RequestHead,
    body: &[u8],
) -> (u16, Vec<u8>) {
    match ControlRequest::parse(head) {
        ControlRequest::Readiness if shared.health.is_serving() => (200, Vec::new()),
        ControlRequest::Readiness => (503, Vec::new()),
        ControlRequest::Announce(id) => acknowledge(engines::announce(shared, &id, body).await),
        ControlRequest::Deregister(id) => acknowledge(engines::end(shared, &id, body).await),
        ControlRequest::SubmitConfig => submit_config(shared, body).await,
        ControlRequest::FetchConfig => fetch_config(shared).await,
        ControlRequest::StartEvacuation(domain) => order(shared, &domain, true).await,
        ControlRequest::FinishEvacuation(domain) => order(shared, &domain, false).await,
        ControlRequest::Metrics => (200, shared.metrics.render().into_bytes()),
        ControlRequest::Unknown => (404, error_body("no such call")),
    }
}

fn error_body(reason: &str) -> Vec<u8> {
    serde_json::json!({ "error": reason })
        .to_string()
        .into_bytes()
}

/// Answers what an engine has told.
fn acknowledge(result: Result<(), DepartureError>) -> (u16, Vec<u8>) {
    match result {
        Ok(()) => (200, b"{}".to_vec()),
        // The engine tells another process.
        Err(error) => (503, error_body(&error.to_string())),
    }
}

async fn submit_config(shared: &Arc<ProcessContext>, body: &[u8]) -> (u16, Vec<u8>) {
    let site = match platform::site::parse(body) {
        Ok(site) => site,
        Err(error) => return (400, error_body(&error.to_string())),
    };
    let errors = site.check();
    if !errors.is_empty() {
        let reasons: Vec<String> = errors.iter().map(ToString::to_string).collect();
        let reasons = reasons.join("; ");
        log::info!(
            "config: event=submit version={} outcome=invalid reason=\"{reasons}\"",
            site.version
        );
        return (400, error_body(&reasons));
    }
    let version = site.version;
    let present = shared.config_version();
    if version <= present {
        // What is in force has been accepted.
        log::info!("config: event=submit version={version} outcome=acknowledged newest={present}");
        return (200, b"{}".to_vec());
    }
    match propose_config(shared, version, body).await {
        MeshResponse::Version(newest) => {
            log::info!(
                "config: event=submit version={version} outcome=acknowledged newest={newest}"
            );
            (200, b"{}".to_vec())
        }
        other => {
            log::info!(
                "config: event=submit version={version} outcome=unsure answer={}",
                response_label(&other)
            );
            (503, error_body("no majority answers now"))
        }
    }
}

/// Proposes a configuration to the leader. Its body is sent only if the leader doesn't know the
/// version yet: the operator sends a version again until it is acknowledged.
async fn propose_config(shared: &ProcessContext, version: u64, body: &[u8]) -> MeshResponse {
    let known = MeshRequest::AwaitConfig(version);
    let answer = leader_requests::request_leader(shared, &known, AWAIT_TIMEOUT).await;
    if answer != MeshResponse::UnknownVersion {
        return answer;
    }
    let packed = PackedConfig::pack(body).as_bytes().to_vec();
    let request = MeshRequest::Submit(version, packed);
    leader_requests::request_leader(shared, &request, CONFIG_TIMEOUT).await
}

/// Handles an operator's order about the evacuation of a failure domain.
async fn order(shared: &ProcessContext, domain: &str, evacuated: bool) -> (u16, Vec<u8>) {
    match evacuations::submit_order(shared, domain, evacuated).await {
        Ok(()) => (200, b"{}".to_vec()),
        Err(error @ OrderError::UnknownDomain) => (404, error_body(&error.to_string())),
        Err(error @ OrderError::NoMajority) => (503, error_body(&error.to_string())),
    }
}

fn response_label(response: &MeshResponse) -> &'static str {
    match response {
        MeshResponse::NotLeader(_) => "no_leader",
        MeshResponse::Unavailable => "unsure",
        _ => "other",
    }
}

async fn fetch_config(shared: &Arc<ProcessContext>) -> (u16, Vec<u8>) {
    match config_sync::read_latest(shared).await {
        Some(body) => (200, body),
        None => (
            503,
            error_body("the newest configuration isn't known for certain"),
        ),
    }
}
