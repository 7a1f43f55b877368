//! Messages between entry and agent, encoded with postcard.

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

/// The work that an order asks of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A chat completion by a model engine.
    Chat {
        /// The model.
        model: String,
        /// The messages, as JSON.
        messages: String,
        /// Answer text that the caller already has and that the engine continues.
        prefix: String,
    },
    /// A call of a plain service.
    Call {
        /// The HTTP method.
        method: String,
        /// The path.
        path: String,
        /// The body's media type.
        media_type: String,
        /// The body.
        body: Vec<u8>,
    },
}

/// An order to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The agent process that the order is addressed to.
    pub agent: AgentId,
    /// The request.
    pub request: RequestId,
    /// The attempt number, starting at one.
    pub attempt: u32,
    /// The digest of the caller's body.
    pub digest: Digest,
    /// The team that is billed.
    pub team: TeamId,
    /// The lease under which tokens are reserved.
    pub lease: LeaseId,
    /// The keeper that granted the lease.
    pub keeper: KeeperId,
    /// Time until the lease expires.
    pub lease_left: Span,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Maximum tokens of the answer, including the prefix.
    pub max_tokens: Tokens,
    /// Tokens of the prefix that the caller already has.
    pub prefix_tokens: Tokens,
    /// Time until the caller's deadline.
    pub time_left: Span,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The priority; zero is the most urgent.
    pub priority: u8,
    /// The number of the operators' document at the sender.
    pub document_number: u64,
    /// The work to do.
    pub work: Work,
}

/// The reason why an agent refuses a request. The request has not run and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// The endpoint is draining.
    #[error("the endpoint is leaving")]
    Draining,
    /// The lease has expired.
    #[error("the lease has ended")]
    LeaseExpired,
    /// The keeper has revoked the lease.
    #[error("the lease is barred")]
    LeaseRevoked,
    /// The request was cancelled before the order arrived.
    #[error("the request was called off")]
    Cancelled,
    /// The order is addressed to an earlier agent process.
    #[error("the order was meant for an earlier process")]
    StaleAgent,
    /// The endpoint runs as many requests as it can.
    #[error("the endpoint is full")]
    AtCapacity,
    /// The caller's deadline has passed.
    #[error("the deadline has passed")]
    DeadlinePassed,
    /// The endpoint cannot be reached.
    #[error("the endpoint is down")]
    Unreachable,
    /// The same request was received with another body.
    #[error("the same key came with another body")]
    BodyMismatch,
    /// The agent doesn't know the request.
    #[error("the request is not known here")]
    NotFound,
}

/// The reason why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinishReason {
    /// The model ended its answer.
    Stop,
    /// The maximum number of tokens was reached.
    Length,
    /// The answer was cancelled.
    Cancelled,
    /// The endpoint failed and the answer is incomplete.
    Failed,
    /// The endpoint could not be reached; the request did not run.
    NotRun,
}

/// The final event of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalEvent {
    /// Length of the complete answer, in bytes.
    pub length: u64,
    /// The digest of the complete answer.
    pub digest: Digest,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens generated.
    pub answer_tokens: Tokens,
    /// The reason why the answer ended.
    pub finish_reason: FinishReason,
    /// The HTTP status of a plain service's answer; zero for a chat.
    pub status: u16,
    /// The media type of a plain service's answer.
    pub media_type: String,
}

impl FinalEvent {
    /// Returns whether the answer is complete.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        matches!(
            self.finish_reason,
            FinishReason::Stop | FinishReason::Length
        )
    }

    /// Returns the tokens to bill.
    #[must_use]
    pub fn billed_tokens(&self) -> Tokens {
        self.prompt_tokens.saturating_add(self.answer_tokens)
    }
}

/// The content of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameBody {
    /// A chunk of the answer.
    Chunk {
        /// Offset of the chunk in the answer, in bytes.
        offset: u64,
        /// The bytes.
        bytes: Vec<u8>,
        /// Tokens in the answer up to the end of the chunk.
        tokens: u64,
    },
    /// The answer is complete.
    Final(FinalEvent),
    /// The request was not started.
    Refused(Refusal),
}

/// A frame of an answer, addressed to one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: u32,
    /// The content.
    pub body: FrameBody,
}
