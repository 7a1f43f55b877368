//! Stand-in engines that tell the oracle who ran what.

use std::io;
use std::io::Write as _;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use http::write::write_chunk;
use http::write::write_last_chunk;
use platform::test_support;
use platform::test_support::EngineRequest;
use platform::test_support::Route;

use crate::oracle::Oracle;
use crate::wire::Conn;

/// Events of each stream.
pub const EVENTS: u64 = 5;

/// Time between two events, and that a plain call takes.
const PACE: Duration = Duration::from_millis(25);

/// Part of requests that an engine has no room for, one in so many.
const FULL: u64 = 23;

/// Part of streams that an engine breaks off, one in so many.
const BROKEN: u64 = 37;

/// An engine that is listening.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its identifier.
    pub id: String,
    /// Whether it answers with streams.
    pub streams: bool,
    /// Whether its requests may run more than once.
    pub repeats: bool,
    /// Whether it has no room now and then, and breaks streams off.
    pub faulty: bool,
    /// Where it takes requests.
    pub address: SocketAddrV4,
}

impl Engine {
    /// Starts an engine on loopback.
    ///
    /// # Errors
    ///
    /// Fails where no port can be bound.
    pub fn spawn(
        id: String,
        route: &Route<'_>,
        faulty: bool,
        oracle: &Arc<Oracle>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let port = listener.local_addr()?.port();
        let engine = Self {
            id,
            streams: route.streaming,
            repeats: route.idempotent,
            faulty,
            address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
        };
        let (own, oracle) = (engine.clone(), Arc::clone(oracle));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (engine, oracle) = (own.clone(), Arc::clone(&oracle));
                // A connection that breaks ends its thread; callers see it.
                thread::spawn(move || engine.serve(stream, &oracle));
            }
        });
        Ok(engine)
    }

    fn serve(&self, stream: TcpStream, oracle: &Oracle) -> io::Result<()> {
        let mut conn = Conn::new(stream);
        let mut count = u64::from(conn.stream.peer_addr()?.port());
        while let Some((head, body)) = conn.request()? {
            let asked = test_support::parse_engine_request(&head);
            count += 1;
            let mut out = Vec::new();
            if asked.engine != self.id {
                test_support::write_not_executed(&mut out, 421, &asked.id);
                conn.stream.write_all(&out)?;
                continue;
            }
            if self.faulty && count % FULL == 0 {
                test_support::write_not_executed(&mut out, 503, &asked.id);
                conn.stream.write_all(&out)?;
                continue;
            }
            if body != asked.id.as_bytes() {
                oracle.broken(format!("unasked: {} came with another body", asked.id));
            }
            oracle.ran(&asked.id, &asked.team, asked.tokens.0, self.repeats);
            if self.streams {
                let broken = self.faulty && count % BROKEN == 0;
                stream_events(&mut conn, &asked, broken)?;
            } else {
                thread::sleep(PACE);
                let content = answer(&asked.id);
                test_support::write_engine_response(&mut out, &asked.id, Some(content.len()));
                out.extend_from_slice(content.as_bytes());
                conn.stream.write_all(&out)?;
            }
        }
        Ok(())
    }
}

fn stream_events(conn: &mut Conn, asked: &EngineRequest, broken: bool) -> io::Result<()> {
    let mut out = Vec::new();
    test_support::write_engine_response(&mut out, &asked.id, None);
    for number in asked.last_event + 1..=EVENTS {
        thread::sleep(PACE);
        if broken && number == 3 {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        write_chunk(&mut out, event(&asked.id, number).as_bytes());
        conn.stream.write_all(&out)?;
        out.clear();
    }
    write_last_chunk(&mut out);
    conn.stream.write_all(&out)
}

fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id}\n\n")
}

/// Returns the whole answer of a plain call.
#[must_use]
pub fn answer(id: &str) -> String {
    format!("answer to {id}")
}

/// Returns the whole answer of a stream.
#[must_use]
pub fn events(id: &str) -> String {
    (1..=EVENTS).map(|number| event(id, number)).collect()
}
