//! Cancels a request at its engine and finds out whether the engine states that it didn't run
//! it.

use std::net::Shutdown;
use std::ops::Deref;
use std::ops::DerefMut;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt as _;
use platform::headers;

use super::answer;
use crate::conn::Conn;

/// Maximum wait for an engine to drop a request whose connection was shut down; after it
/// the connection is closed.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(300);

/// Receives the connection of a request that is dropped while its engine works on it.
#[derive(Clone, Debug, Default)]
pub struct AbandonedConn(Arc<Mutex<Option<Conn>>>);

impl AbandonedConn {
    /// Takes the connection, if a request was dropped on one.
    pub fn take(&self) -> Option<Conn> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// A connection on which an engine works on a request. When dropped, it's left in an
/// [`AbandonedConn`].
#[derive(Debug)]
pub struct EngineConn {
    /// The connection; `None` only once it was taken.
    conn: Option<Conn>,
    abandoned: AbandonedConn,
}

impl EngineConn {
    /// Wraps a connection that is left in `abandoned` if the request is dropped.
    pub fn new(conn: Conn, abandoned: AbandonedConn) -> Self {
        Self {
            conn: Some(conn),
            abandoned,
        }
    }

    /// Returns the connection once the engine has ended its work on the request.
    ///
    /// # Panics
    ///
    /// Panics if it was taken before, which its owner can't do.
    pub fn into_inner(mut self) -> Conn {
        self.conn.take().expect("the connection is taken once")
    }
}

impl Deref for EngineConn {
    type Target = Conn;

    fn deref(&self) -> &Conn {
        self.conn.as_ref().expect("the connection is taken once")
    }
}

impl DerefMut for EngineConn {
    fn deref_mut(&mut self) -> &mut Conn {
        self.conn.as_mut().expect("the connection is taken once")
    }
}

impl Drop for EngineConn {
    fn drop(&mut self) {
        if let Some(conn) = self.conn.take() {
            let slot = &self.abandoned.0;
            *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(conn);
        }
    }
}

/// Cancels the request `id` on its connection, on which no byte of an answer was read yet.
///
/// Returns whether the engine states that it didn't run the request. A close states nothing,
/// whoever closes first: the engine may have run the request and dropped its answer.
pub async fn cancel_unstarted(mut conn: Conn, id: Option<&str>) -> bool {
    conn.shutdown(Shutdown::Write);
    let ended = async {
        // The method decides only how a body is framed.
        let answer = answer::read_head(&mut conn, "POST", id).await;
        answer.is_ok_and(|head| headers::execution(&head, id).is_not_run())
    };
    let timed_out = async {
        Timer::after(CANCEL_TIMEOUT).await;
        false
    };
    ended.or(timed_out).await
}
