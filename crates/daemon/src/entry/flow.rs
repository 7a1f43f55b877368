//! One answer, shared by all callers that ask for it.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_channel::Receiver;
use async_channel::Sender;
use base::Digest;
use base::RequestId;
use base::Time;
use caller::CallerError;
use request::FinalEvent;

/// How an answer ended.
#[derive(Clone, Debug)]
pub enum Ending {
    /// The answer is whole.
    Whole(FinalEvent),
    /// There is no whole answer.
    Error(CallerError),
}

#[derive(Debug, Default)]
struct State {
    bytes: Vec<u8>,
    ending: Option<Ending>,
    waiting: Vec<Sender<()>>,
    callers: usize,
    first: Option<Time>,
}

/// An answer under way or just finished.
#[derive(Debug)]
pub struct Flow {
    /// The request.
    pub request: RequestId,
    /// The digest of the caller's body.
    pub digest: Digest,
    /// Whether the caller chose the key and may come back with it.
    pub named: bool,
    /// When the request came.
    pub begun: Time,
    state: Mutex<State>,
    cancel: (Sender<()>, Receiver<()>),
}

/// What a caller finds at an offset.
#[derive(Clone, Debug)]
pub enum Part {
    /// More bytes.
    Bytes(Vec<u8>),
    /// The end.
    End(Ending),
}

impl Flow {
    /// Returns an empty answer.
    #[must_use]
    pub fn new(request: RequestId, digest: Digest, named: bool, begun: Time) -> Self {
        Self {
            request,
            digest,
            named,
            begun,
            state: Mutex::default(),
            cancel: async_channel::bounded(1),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds bytes that came at `now`.
    pub fn push(&self, bytes: &[u8], now: Time) {
        let mut state = self.state();
        state.bytes.extend_from_slice(bytes);
        state.first.get_or_insert(now);
        state.waiting.clear();
    }

    /// Ends the answer; a second end changes nothing.
    pub fn end(&self, ending: Ending) {
        let mut state = self.state();
        state.ending.get_or_insert(ending);
        state.waiting.clear();
    }

    /// Returns how the answer ended.
    #[must_use]
    pub fn ending(&self) -> Option<Ending> {
        self.state().ending.clone()
    }

    /// Returns when the first bytes came.
    #[must_use]
    pub fn first(&self) -> Option<Time> {
        self.state().first
    }

    /// Returns the bytes so far.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        self.state().bytes.clone()
    }

    /// Notes a caller that waits for the answer.
    pub fn join(&self) {
        self.state().callers += 1;
    }

    /// Notes that a caller is gone; returns whether nobody can want the answer.
    pub fn leave(&self) -> bool {
        let mut state = self.state();
        state.callers = state.callers.saturating_sub(1);
        state.callers == 0 && !self.named && state.ending.is_none()
    }

    /// Asks for the answer to be given up.
    pub fn cancel(&self) {
        let _ = self.cancel.0.try_send(());
    }

    /// Waits until the answer is to be given up.
    pub async fn cancelled(&self) {
        // The sender lives as long as the flow.
        let _ = self.cancel.1.recv().await;
    }

    fn next(&self, offset: usize) -> Result<Part, Receiver<()>> {
        let mut state = self.state();
        if let Some(rest) = state.bytes.get(offset..).filter(|rest| !rest.is_empty()) {
            return Ok(Part::Bytes(rest.to_vec()));
        }
        if let Some(ending) = &state.ending {
            return Ok(Part::End(ending.clone()));
        }
        let (sender, receiver) = async_channel::bounded(1);
        state.waiting.push(sender);
        Err(receiver)
    }

    /// Waits for what comes after `offset` bytes.
    pub async fn part(&self, offset: usize) -> Part {
        loop {
            match self.next(offset) {
                Ok(part) => return part,
                Err(grown) => {
                    // The channel closes when the answer has grown.
                    let _ = grown.recv().await;
                }
            }
        }
    }

    /// Waits for the end.
    pub async fn wait(&self) -> Ending {
        let mut offset = 0;
        loop {
            match self.part(offset).await {
                Part::Bytes(bytes) => offset += bytes.len(),
                Part::End(ending) => return ending,
            }
        }
    }
}
