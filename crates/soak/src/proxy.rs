//! A loopback proxy before an engine.

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

use crate::plan::Link;

/// What a slow link adds to each piece.
const SLOW: Duration = Duration::from_millis(60);

/// Time between two looks at how the link is now.
const LOOK: Duration = Duration::from_millis(20);

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    link: Arc<Mutex<Link>>,
    /// Where it takes connections.
    pub address: SocketAddrV4,
}

impl Proxy {
    /// Takes connections on loopback and passes them to `target`.
    ///
    /// # Errors
    ///
    /// Fails where no port can be bound.
    pub fn spawn(target: SocketAddrV4) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr()?.port());
        let link = Arc::new(Mutex::new(Link::Open));
        let proxy = Self { link, address };
        let own = proxy.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                own.pass(near, target);
            }
        });
        Ok(proxy)
    }

    /// Changes how bytes are treated, on open connections too.
    pub fn set(&self, link: Link) {
        *self.link.lock().unwrap_or_else(PoisonError::into_inner) = link;
    }

    fn link(&self) -> Link {
        *self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pass(&self, near: TcpStream, target: SocketAddrV4) {
        let Ok(far) = TcpStream::connect(target) else {
            return;
        };
        let (Ok(near_in), Ok(far_in)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let (requests, answers) = (self.clone(), self.clone());
        thread::spawn(move || requests.pump(near_in, far, false));
        thread::spawn(move || answers.pump(far_in, near, true));
    }

    /// Passes bytes one way until the connection ends; `back` says that it's answers.
    fn pump(&self, mut from: TcpStream, mut to: TcpStream, back: bool) {
        let mut space = [0; 4_096];
        // Without a timeout a reset would wait for the next byte.
        let _ = from.set_read_timeout(Some(LOOK));
        loop {
            let read = from.read(&mut space);
            match self.link() {
                Link::Slow => thread::sleep(SLOW),
                Link::Reset => break,
                Link::Silent => continue_while(self, Link::Silent),
                Link::OneWay if back => continue_while(self, Link::OneWay),
                Link::Open | Link::OneWay => {}
            }
            match read {
                Ok(0) => break,
                Ok(count) if to.write_all(&space[..count]).is_ok() => {}
                Err(error) if is_wait(&error) => {}
                _ => break,
            }
        }
        // Either end may have gone already.
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}

fn is_wait(error: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// Holds bytes back while the link is as it is.
fn continue_while(proxy: &Proxy, link: Link) {
    while proxy.link() == link {
        thread::sleep(LOOK);
    }
}
