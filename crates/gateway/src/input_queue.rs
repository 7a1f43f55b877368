//! The queue of inputs to the replica's thread, bounded in bytes: while the disk hangs,
//! messages and configurations would fill the process's memory.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::TryRecvError;
use std::time::Duration;

use thiserror::Error;

/// The reason for which an input isn't queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SendError {
    /// The queue holds as many bytes as it may.
    #[error("the queue is full")]
    Full,
    /// The receiver is gone.
    #[error("the replica has stopped")]
    Stopped,
}

/// The sending side of the queue.
#[derive(Debug)]
pub struct InputSender<T> {
    inputs: mpsc::Sender<(u64, T)>,
    queued_bytes: Arc<AtomicU64>,
    max_bytes: u64,
}

impl<T> Clone for InputSender<T> {
    fn clone(&self) -> Self {
        Self {
            inputs: self.inputs.clone(),
            queued_bytes: Arc::clone(&self.queued_bytes),
            max_bytes: self.max_bytes,
        }
    }
}

/// The receiving side of the queue.
#[derive(Debug)]
pub struct InputReceiver<T> {
    inputs: mpsc::Receiver<(u64, T)>,
    queued_bytes: Arc<AtomicU64>,
}

/// Returns the two sides of a queue of at most `max_bytes`.
#[must_use]
pub fn channel<T>(max_bytes: u64) -> (InputSender<T>, InputReceiver<T>) {
    let (sender, receiver) = mpsc::channel();
    let queued_bytes = Arc::new(AtomicU64::new(0));
    let input_sender = InputSender {
        inputs: sender,
        queued_bytes: Arc::clone(&queued_bytes),
        max_bytes,
    };
    let input_receiver = InputReceiver {
        inputs: receiver,
        queued_bytes,
    };
    (input_sender, input_receiver)
}

impl<T> InputSender<T> {
    /// Queues an input of `size_bytes`. Inputs without a size are always queued, and so is
    /// one of any size in an empty queue.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full or the receiver is gone; the input is dropped then.
    pub fn send(&self, input: T, size_bytes: u64) -> Result<(), SendError> {
        let before = self.queued_bytes.fetch_add(size_bytes, Ordering::Relaxed);
        let is_full = size_bytes > 0 && before > 0 && before + size_bytes > self.max_bytes;
        let result = if is_full {
            Err(SendError::Full)
        } else {
            let sent = self.inputs.send((size_bytes, input));
            sent.map_err(|_| SendError::Stopped)
        };
        if result.is_err() {
            self.queued_bytes.fetch_sub(size_bytes, Ordering::Relaxed);
        }
        result
    }
}

impl<T> InputReceiver<T> {
    fn take(&self, (size_bytes, input): (u64, T)) -> T {
        self.queued_bytes.fetch_sub(size_bytes, Ordering::Relaxed);
        input
    }

    /// Waits for the next input.
    ///
    /// # Errors
    ///
    /// Fails if none comes in time, or all senders are gone.
    pub fn recv_timeout(&self, timeout: Duration) -> Result<T, RecvTimeoutError> {
        let received = self.inputs.recv_timeout(timeout);
        received.map(|received| self.take(received))
    }

    /// Returns the next input.
    ///
    /// # Errors
    ///
    /// Fails if the queue is empty, or all senders are gone.
    pub fn try_recv(&self) -> Result<T, TryRecvError> {
        self.inputs.try_recv().map(|received| self.take(received))
    }
}
