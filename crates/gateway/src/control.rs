//! What engines, operators and the balancer ask.

use std::io;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use base::Span;
use fleet::mesh::MeshRequest;
use fleet::mesh::MeshResponse;
use futures_lite::FutureExt as _;
use http::BodyDecoder;
use http::Framing;
use http::RequestHead;
use http::write::HeadWriter;
use platform::announce;
use platform::paths::ControlRequest;
use routing::directory::DirectoryUpdate;

use crate::conn::Conn;
use crate::mesh;
use crate::state::ProcessContext;

/// Longest head of a call, in bytes.
const MAX_HEAD: usize = 16 << 10;

/// Longest body of a call, in bytes: a configuration with thousands of routes.
const MAX_BODY: usize = 16 << 20;

/// How long a kept connection may be idle.
const IDLE: Duration = Duration::from_secs(20);

/// Longest wait for a configuration to be accepted or read. The operator moves on
/// after a second; the answer then tells it nothing.
const DECIDE: Span = Span::millis(550);

/// Binds `address` and answers calls there.
///
/// # Errors
///
/// Fails where the address can't be bound.
pub fn bind(shared: &Arc<ProcessContext>, address: SocketAddrV4) -> io::Result<()> {
    let listener = Async::<TcpListener>::bind(address)?;
    let shared = Arc::clone(shared);
    let pool = shared.pool.clone();
    pool.clone().spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let conn = Conn::new(stream);
                    pool.spawn(serve(Arc::clone(&shared), conn));
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

async fn serve(shared: Arc<ProcessContext>, mut conn: Conn) {
    loop {
        let late = async {
            Timer::after(IDLE).await;
            None
        };
        let Some((head, body)) = read(&mut conn).or(late).await else {
            return;
        };
        let (status, reply) = answer(&shared, &head, &body).await;
        let mut out = Vec::with_capacity(160 + reply.len());
        let mut writer = HeadWriter::response(&mut out, status)
            .header("Content-Type", "application/json")
            .header_u64("Content-Length", reply.len() as u64);
        if head.connection_close {
            writer = writer.header("Connection", "close");
        }
        writer.finish();
        out.extend_from_slice(&reply);
        if conn.write(&out).await.is_err() || head.connection_close {
            return;
        }
    }
}

async fn read(conn: &mut Conn) -> Option<(RequestHead, Vec<u8>)> {
    let head = loop {
        if let Some((head, used)) = RequestHead::parse(&conn.buf, MAX_HEAD).ok()? {
            conn.used(used);
            break head;
        }
        if conn.fill().await.ok()? == 0 {
            return None;
        }
    };
    if matches!(head.framing, Framing::Length(length) if length > MAX_BODY as u64) {
        return None;
    }
    let mut body = BodyDecoder::new(head.framing);
    let mut bytes = Vec::new();
    loop {
        let used = body.decode(&conn.buf, &mut bytes).ok()?;
        conn.used(used);
        if body.is_complete() {
            return Some((head, bytes));
        }
        if bytes.len() > MAX_BODY || conn.fill().await.ok()? == 0 {
            return None;
        }
    }
}

async fn answer(shared: &Arc<ProcessContext>, head: &RequestHead, body: &[u8]) -> (u16, Vec<u8>) {
    match ControlRequest::parse(head) {
        ControlRequest::Readiness if shared.health.is_serving() => (200, Vec::new()),
        ControlRequest::Readiness => (503, Vec::new()),
        ControlRequest::Announce(id) => announced(shared, &id, body),
        ControlRequest::Deregister(id) => left(shared, &id, body),
        ControlRequest::SubmitConfig => submit(shared, body).await,
        ControlRequest::FetchConfig => fetch(shared).await,
        ControlRequest::Metrics => (200, shared.meter.page().into_bytes()),
        ControlRequest::Unknown => (404, fault("no such call")),
    }
}

fn fault(reason: &str) -> Vec<u8> {
    serde_json::json!({ "error": reason })
        .to_string()
        .into_bytes()
}

fn announced(shared: &Arc<ProcessContext>, id: &str, body: &[u8]) -> (u16, Vec<u8>) {
    let said = match announce::parse(id, body) {
        Ok(said) => said,
        Err(error) => {
            log::warn!("engine: event=announced engine={id} outcome=unreadable reason=\"{error}\"");
            // Nothing can be done about it by sending it elsewhere.
            return (200, b"{}".to_vec());
        }
    };
    let now = shared.now();
    let (phase, sequence, born) = (said.phase, said.sequence, said.started_ms);
    let mut state = shared.state();
    let news = state.directory.apply_announcement(said, now);
    if news != DirectoryUpdate::Stale {
        state.queue_announcement(id);
    }
    if news == DirectoryUpdate::Changed {
        state.update_engine_pools(&shared.settings, now);
        drop(state);
        log::info!(
            "engine: event=announced engine={id} phase={phase:?} sequence={sequence} born={born}"
        );
        shared.update_needed.notify(usize::MAX);
    }
    (200, b"{}".to_vec())
}

fn left(shared: &Arc<ProcessContext>, id: &str, body: &[u8]) -> (u16, Vec<u8>) {
    let now = shared.now();
    let born = announce::parse_deregistration(body);
    let mut state = shared.state();
    let gone = state.directory.mark_gone(id, born, now);
    let known = gone.is_some();
    if known {
        state.queue_announcement(id);
        state.update_engine_pools(&shared.settings, now);
    }
    drop(state);
    log::info!("engine: event=left engine={id} born={born:?} known={known}");
    shared.update_needed.notify(usize::MAX);
    (200, b"{}".to_vec())
}

async fn submit(shared: &Arc<ProcessContext>, body: &[u8]) -> (u16, Vec<u8>) {
    let site = match platform::site::parse(body) {
        Ok(site) => site,
        Err(error) => return (400, fault(&error.to_string())),
    };
    let faults = site.check();
    if !faults.is_empty() {
        let reasons: Vec<String> = faults.iter().map(ToString::to_string).collect();
        let reasons = reasons.join("; ");
        log::info!(
            "config: event=submit version={} outcome=invalid reason=\"{reasons}\"",
            site.version
        );
        return (400, fault(&reasons));
    }
    let version = site.version;
    let ask = MeshRequest::Submit(version, body.to_vec());
    match mesh::request_leader(shared, &ask, DECIDE).await {
        MeshResponse::Version(newest) => {
            log::info!(
                "config: event=submit version={version} outcome=acknowledged newest={newest}"
            );
            (200, b"{}".to_vec())
        }
        other => {
            log::info!(
                "config: event=submit version={version} outcome=unsure answer={}",
                label(&other)
            );
            (503, fault("no majority answers now"))
        }
    }
}

fn label(answer: &MeshResponse) -> &'static str {
    match answer {
        MeshResponse::NotLeader(_) => "no_leader",
        MeshResponse::Unavailable => "unsure",
        _ => "other",
    }
}

async fn fetch(shared: &Arc<ProcessContext>) -> (u16, Vec<u8>) {
    match mesh::request_leader(shared, &MeshRequest::LatestConfig, DECIDE).await {
        MeshResponse::Config(version, body) if version > 0 => {
            let reply = body.clone();
            shared.apply_config(version, body);
            (200, reply)
        }
        _ => (
            503,
            fault("the newest configuration isn't known for certain"),
        ),
    }
}
