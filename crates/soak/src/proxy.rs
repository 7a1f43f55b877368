//! A loopback proxy in front of an engine, which delays, resets or stalls traffic.

use std::io::Read as _;
use std::io::Write as _;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use crate::plan::LinkMode;

/// Delay that a slow link adds to each read.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(60);

/// Interval at which a connection checks the current mode.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    mode: Arc<Mutex<LinkMode>>,
    /// Address that it listens on.
    pub address: SocketAddrV4,
}

impl Proxy {
    /// Accepts connections on loopback and forwards them to `target`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn spawn(target: SocketAddrV4) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr()?.port());
        let mode = Arc::new(Mutex::new(LinkMode::Open));
        let proxy = Self { mode, address };
        let acceptor = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                acceptor.forward(client, target);
            }
        });
        Ok(proxy)
    }

    /// Sets the mode, for open connections too.
    pub fn set_mode(&self, mode: LinkMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    fn mode(&self) -> LinkMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn forward(&self, client: TcpStream, target: SocketAddrV4) {
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let (Ok(client_reader), Ok(server_reader)) = (client.try_clone(), server.try_clone())
        else {
            return;
        };
        let (requests, responses) = (self.clone(), self.clone());
        thread::spawn(move || requests.copy_bytes(client_reader, server, false));
        thread::spawn(move || responses.copy_bytes(server_reader, client, true));
    }

    /// Copies bytes in one direction until the connection ends.
    fn copy_bytes(&self, mut from: TcpStream, mut to: TcpStream, is_response: bool) {
        let mut chunk = [0; 4_096];
        // Without a timeout, a reset would take effect only at the next byte.
        let _ = from.set_read_timeout(Some(POLL_INTERVAL));
        loop {
            let read = from.read(&mut chunk);
            match self.mode() {
                LinkMode::Slow => thread::sleep(SLOW_LINK_DELAY),
                LinkMode::Reset => break,
                LinkMode::Stalled => wait_while(self, LinkMode::Stalled),
                LinkMode::RequestsOnly if is_response => wait_while(self, LinkMode::RequestsOnly),
                LinkMode::Open | LinkMode::RequestsOnly => {}
            }
            match read {
                Ok(0) => break,
                Ok(count) if to.write_all(&chunk[..count]).is_ok() => {}
                Err(error) if is_timeout(&error) => {}
                _ => break,
            }
        }
        // Either peer may have closed already.
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// Blocks while the proxy is in this mode.
fn wait_while(proxy: &Proxy, mode: LinkMode) {
    while proxy.mode() == mode {
        thread::sleep(POLL_INTERVAL);
    }
}
