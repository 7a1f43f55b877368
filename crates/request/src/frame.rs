//! What travels between entry and agent.

use base::AgentId;
use base::Digest;
use base::KeeperId;
use base::LeaseId;
use base::RequestId;
use base::Span;
use base::TeamId;
use base::Tokens;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// What an endpoint is asked to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A model engine answers a chat.
    Chat {
        /// The model.
        model: String,
        /// The messages, as JSON.
        messages: String,
        /// Text that the caller already has, which the answer continues.
        prefix: String,
    },
    /// A plain service runs a call.
    Call {
        /// The HTTP method.
        method: String,
        /// The path.
        path: String,
        /// The body's media type.
        media: String,
        /// The body.
        body: Vec<u8>,
    },
}

/// An order to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The process that the order is meant for.
    pub agent: AgentId,
    /// The request.
    pub request: RequestId,
    /// The attempt, counted from one.
    pub attempt: u32,
    /// The digest of the caller's body.
    pub digest: Digest,
    /// The team that pays.
    pub team: TeamId,
    /// The lease under which tokens are reserved.
    pub lease: LeaseId,
    /// The keeper that granted the lease.
    pub keeper: KeeperId,
    /// How much longer the lease lasts.
    pub left: Span,
    /// Tokens that the prompt counts for.
    pub prompt: Tokens,
    /// Most tokens that may be generated, those of a prefix included.
    pub cap: Tokens,
    /// Tokens of the prefix that the caller already has.
    pub done: Tokens,
    /// How much longer the caller waits.
    pub patience: Span,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Urgency; zero is the most urgent.
    pub priority: u8,
    /// The number of the sender's document.
    pub document: u64,
    /// What is to be done.
    pub work: Work,
}

/// Why an agent does not start a request. The request has not run and won't.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// The endpoint is leaving.
    #[error("the endpoint is leaving")]
    Leaving,
    /// The lease has ended.
    #[error("the lease has ended")]
    Lapsed,
    /// The keeper has closed the lease.
    #[error("the lease is barred")]
    Barred,
    /// The request or attempt was called off before it came.
    #[error("the request was called off")]
    Tombstone,
    /// The order was meant for an earlier process.
    #[error("the order was meant for an earlier process")]
    Gone,
    /// The endpoint has no room.
    #[error("the endpoint is full")]
    Full,
    /// The caller no longer waits.
    #[error("the deadline has passed")]
    Late,
    /// The endpoint can't be reached.
    #[error("the endpoint is down")]
    Down,
    /// The same request came with another body.
    #[error("the same key came with another body")]
    OtherBody,
    /// The agent doesn't know the request.
    #[error("the request is not known here")]
    Absent,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The model ended its answer.
    Stop,
    /// The cap was reached.
    Length,
    /// The answer was cancelled.
    Cancelled,
    /// The endpoint failed; the answer is not whole.
    Failed,
    /// The endpoint could not be reached; the request did not run.
    NotRun,
}

/// The last event of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Final {
    /// Bytes of the whole answer.
    pub length: u64,
    /// The digest of the whole answer.
    pub digest: Digest,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens generated.
    pub answer: Tokens,
    /// How the answer ended.
    pub end: End,
    /// The status of a plain service's answer; zero for a chat.
    pub status: u16,
    /// The media type of a plain service's answer.
    pub media: String,
}

impl Final {
    /// Returns whether the answer is whole.
    #[must_use]
    pub fn whole(&self) -> bool {
        matches!(self.end, End::Stop | End::Length)
    }

    /// Returns the tokens to bill.
    #[must_use]
    pub fn bill(&self) -> Tokens {
        self.prompt.plus(self.answer)
    }
}

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Bytes from an offset on.
    Piece {
        /// Where the bytes stand in the answer.
        offset: u64,
        /// The bytes.
        bytes: Vec<u8>,
        /// Tokens in the answer up to the end of these bytes.
        tokens: u64,
    },
    /// The answer is complete.
    Final(Final),
    /// The request was not started.
    Refused(Refusal),
}

/// A part of an answer with what it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: u32,
    /// The part.
    pub body: Body,
}
