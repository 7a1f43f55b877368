//! Stand-ins for engines: they announce themselves and serve requests.

use std::io;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Conn;

/// A request as an engine has received it.
pub struct Received {
    /// Its identifier.
    pub id: String,
}

/// What a connection does after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It serves the next request.
    Keep,
    /// It is closed.
    Close,
}

/// Serves one request that is meant for this engine.
pub type Serve = Arc<dyn Fn(&Engine, &Received, &mut Conn) -> io::Result<Next> + Send + Sync>;

/// An engine.
pub struct Engine {
    /// Its identifier.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    zone: &'static str,
    slots: u32,
    born: u64,
    sequence: AtomicU64,
    draining: AtomicBool,
    silent: AtomicBool,
    daemon: Mutex<usize>,
}

impl Engine {
    /// Starts an engine of `service` in zone number `zone`, which announces itself to
    /// `controls` and serves requests with `serve`.
    pub fn start(
        id: &str,
        service: &str,
        zone: usize,
        slots: u32,
        controls: Vec<SocketAddr>,
        serve: Serve,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let engine = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            zone: ["kochi", "alappuzha", "kollam"][zone % 3],
            slots,
            born: born.map_or(1, |at| at.as_millis() as u64),
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            daemon: Mutex::new(zone),
        });
        let accepting = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (engine, serve) = (Arc::clone(&accepting), Arc::clone(&serve));
                // An error ends the connection, which its peer sees.
                thread::spawn(move || engine.serve(stream, &serve));
            }
        });
        let announcing = Arc::clone(&engine);
        thread::spawn(move || {
            loop {
                if !announcing.silent.load(Ordering::Relaxed) {
                    announcing.announce(&controls);
                }
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        Ok(engine)
    }

    /// Sends one heartbeat: to the daemon that took the last one, or to the next.
    fn announce(&self, controls: &[SocketAddr]) {
        let state = if self.draining.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.born
        );
        let mut daemon = self.daemon.lock().unwrap();
        for _ in 0..controls.len() {
            let sent = http::call(
                controls[*daemon % controls.len()],
                "POST",
                &format!("/Instances.Heartbeat/{}", self.id),
                "Host: control\r\nContent-Type: application/json\r\n",
                body.as_bytes(),
                Duration::from_secs(1),
            );
            if sent.is_ok_and(|answer| answer.status / 100 == 2) {
                return;
            }
            *daemon += 1;
        }
    }

    fn serve(&self, stream: TcpStream, serve: &Serve) -> io::Result<()> {
        let mut conn = Conn::new(stream);
        while let Some(head) = conn.read_head()? {
            let length = head.get("Content-Length").and_then(|l| l.parse().ok());
            conn.read_exact(length.unwrap_or(0))?;
            let id = head.get("Request-Id").unwrap_or_default().to_owned();
            let expected = head.get("Expect-Instance");
            if expected.is_some_and(|expected| expected != self.id) {
                write_not_run(&mut conn.stream, 421, &id)?;
                continue;
            }
            let request = Received { id };
            if serve(self, &request, &mut conn)? == Next::Close {
                return Ok(());
            }
        }
        Ok(())
    }
}

/// Writes an answer of status 200 with `body`.
pub fn write_answer(stream: &mut TcpStream, id: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let text = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.{id}\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes())
}

/// Writes an answer which says that the request did not run.
pub fn write_not_run(stream: &mut TcpStream, status: u16, id: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} Not Run\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(text.as_bytes())
}

/// Writes a whole stream of `events` events, one each `gap`.
pub fn write_stream(
    stream: &mut TcpStream,
    id: &str,
    first: u64,
    events: u64,
    gap: Duration,
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in first..=events {
        thread::sleep(gap);
        let event = format!("id: {number}\ndata: {id}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}
