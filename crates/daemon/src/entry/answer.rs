//! An answer, shared by all callers with the same idempotency key.

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

/// The outcome of a request, as its callers see it.
#[derive(Clone, Debug)]
pub enum AnswerOutcome {
    /// The answer is complete.
    Complete(FinalEvent),
    /// There is no complete answer.
    Failed(CallerError),
}

#[derive(Debug, Default)]
struct State {
    bytes: Vec<u8>,
    outcome: Option<AnswerOutcome>,
    waiters: Vec<Sender<()>>,
    caller_count: usize,
    first_at: Option<Time>,
}

/// An answer that is in progress or has recently finished.
#[derive(Debug)]
pub struct SharedAnswer {
    /// The request.
    pub request: RequestId,
    /// The digest of the caller's path and body.
    pub digest: Digest,
    /// Whether the caller sent an idempotency key and can return with it.
    pub has_key: bool,
    /// The time at which the request arrived.
    pub started_at: Time,
    state: Mutex<State>,
    cancel_channel: (Sender<()>, Receiver<()>),
}

/// The part of an answer at an offset.
#[derive(Clone, Debug)]
pub enum AnswerPart {
    /// More bytes.
    Bytes(Vec<u8>),
    /// The end of the answer.
    End(AnswerOutcome),
}

impl SharedAnswer {
    /// Returns an empty answer.
    #[must_use]
    pub fn new(request: RequestId, digest: Digest, has_key: bool, started_at: Time) -> Self {
        Self {
            request,
            digest,
            has_key,
            started_at,
            state: Mutex::default(),
            cancel_channel: async_channel::bounded(1),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends bytes that arrived at `now`.
    pub fn append(&self, bytes: &[u8], now: Time) {
        let mut state = self.state();
        state.bytes.extend_from_slice(bytes);
        state.first_at.get_or_insert(now);
        state.waiters.clear();
    }

    /// Sets the outcome; a second call has no effect.
    pub fn finish(&self, outcome: AnswerOutcome) {
        let mut state = self.state();
        state.outcome.get_or_insert(outcome);
        state.waiters.clear();
    }

    /// Returns the outcome, or `None` while the answer is in progress.
    #[must_use]
    pub fn outcome(&self) -> Option<AnswerOutcome> {
        self.state().outcome.clone()
    }

    /// Returns the time at which the first bytes arrived.
    #[must_use]
    pub fn first_at(&self) -> Option<Time> {
        self.state().first_at
    }

    /// Returns the bytes received so far.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        self.state().bytes.clone()
    }

    /// Adds a caller that waits for the answer.
    pub fn add_caller(&self) {
        self.state().caller_count += 1;
    }

    /// Removes a caller; returns whether no caller can read the unfinished answer any more.
    pub fn remove_caller(&self) -> bool {
        let mut state = self.state();
        state.caller_count = state.caller_count.saturating_sub(1);
        state.caller_count == 0 && !self.has_key && state.outcome.is_none()
    }

    /// Requests the cancellation of the answer.
    pub fn cancel(&self) {
        let _ = self.cancel_channel.0.try_send(());
    }

    /// Waits until the cancellation of the answer is requested.
    pub async fn cancelled(&self) {
        // The sender lives as long as the answer.
        let _ = self.cancel_channel.1.recv().await;
    }

    fn try_part(&self, offset: usize) -> Result<AnswerPart, Receiver<()>> {
        let mut state = self.state();
        if let Some(rest) = state.bytes.get(offset..).filter(|rest| !rest.is_empty()) {
            return Ok(AnswerPart::Bytes(rest.to_vec()));
        }
        if let Some(outcome) = &state.outcome {
            return Ok(AnswerPart::End(outcome.clone()));
        }
        let (sender, receiver) = async_channel::bounded(1);
        state.waiters.push(sender);
        Err(receiver)
    }

    /// Waits for the part at `offset`, in bytes.
    pub async fn next_part(&self, offset: usize) -> AnswerPart {
        loop {
            match self.try_part(offset) {
                Ok(part) => return part,
                Err(changed) => {
                    // The channel closes when bytes or the outcome are added.
                    let _ = changed.recv().await;
                }
            }
        }
    }

    /// Waits for the outcome.
    pub async fn wait_for_outcome(&self) -> AnswerOutcome {
        let mut offset = 0;
        loop {
            match self.next_part(offset).await {
                AnswerPart::Bytes(bytes) => offset += bytes.len(),
                AnswerPart::End(outcome) => return outcome,
            }
        }
    }
}
