//! The memory that answers of engines take until they are forwarded.
//!
//! Engines may send without end to many requests at once. Each answer may grow while it's no
//! larger than what is left of the shared memory: few large answers get much, many get little,
//! and a new one always gets something.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Divisor of the process's memory that yields the memory for answers.
const MEMORY_DIVISOR: u64 = 8;

/// Size up to which an answer is always accepted, in bytes.
const FREE_BYTES: u64 = 16 << 10;

/// The memory for all answers that are buffered.
#[derive(Debug)]
pub struct ResponseBuffers {
    max_bytes: u64,
    used_bytes: AtomicU64,
}

/// The part that one answer has of the memory, returned when dropped.
#[derive(Debug)]
pub struct BufferShare<'a> {
    buffers: &'a ResponseBuffers,
    bytes: u64,
}

impl ResponseBuffers {
    /// Returns the memory for answers of a process with `memory_bytes`.
    #[must_use]
    pub fn new(memory_bytes: u64) -> Self {
        Self {
            max_bytes: memory_bytes / MEMORY_DIVISOR,
            used_bytes: AtomicU64::new(0),
        }
    }

    /// Returns the share of a new answer.
    #[must_use]
    pub fn share(&self) -> BufferShare<'_> {
        BufferShare {
            buffers: self,
            bytes: 0,
        }
    }
}

impl BufferShare<'_> {
    /// Records that the answer takes `length` bytes; returns whether it may.
    #[must_use]
    pub fn resize(&mut self, length: usize) -> bool {
        let length = length as u64;
        let used = &self.buffers.used_bytes;
        used.fetch_add(length, Ordering::Relaxed);
        let before = used.fetch_sub(self.bytes, Ordering::Relaxed);
        let others = before.saturating_sub(self.bytes + length);
        self.bytes = length;
        let left = self.buffers.max_bytes.saturating_sub(others + length);
        length <= FREE_BYTES || length <= left
    }
}

impl Drop for BufferShare<'_> {
    fn drop(&mut self) {
        let used = &self.buffers.used_bytes;
        used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
