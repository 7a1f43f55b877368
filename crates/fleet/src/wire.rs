//! The messages between entries, agents, keepers and operators.
//!
//! The transport negotiates the protocol's version (ALPN): a process of another version
//! can't connect. Messages are encoded by postcard, so the order of fields and variants
//! is fixed.

use std::net::SocketAddr;

use base::AgentId;
use base::Digest;
use base::EntryId;
use base::LeaseId;
use base::RequestId;
use base::Span;
use base::TeamId;
use base::Tokens;
use config::Document;
use config::Fault;
use config::Patch;
use config::register::AcceptedDocument;
use ledger::BillingOutcome;
use ledger::Receipt;
use ledger::TopUp;
use request::InsertResult;
use request::Order;
use request::Record;
use request::claims::Claim;
use request::claims::ClaimResult;
use routing::EndpointAnnouncement;
use routing::MembershipDelta;
use serde::Deserialize;
use serde::Serialize;

/// The protocol's name and version, as negotiated by ALPN.
pub const PROTOCOL: &[u8] = b"mulberrytally/3";

/// An entry's demand for the tokens of one team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The team.
    pub team: TeamId,
    /// Tokens that a request waits for; zero if the message only renews the lease.
    pub required: Tokens,
    /// Further tokens that the entry expects to need soon.
    pub prefetch: Tokens,
    /// The total of tokens that the entry has returned.
    pub returned: Tokens,
}

/// A request for tokens from a keeper's share, which also renews the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcquireTokens {
    /// The lease.
    pub lease: LeaseId,
    /// The address at which the entry receives recalls.
    pub address: SocketAddr,
    /// The demands.
    pub demands: Vec<Demand>,
    /// Whether no keeper has responded under the lease yet.
    pub first_use: bool,
    /// Whether the entry closes the lease, because no reservation is open.
    pub close: bool,
}

/// The response to one demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// The team.
    pub team: TeamId,
    /// The total of tokens granted under the lease.
    pub total: Tokens,
    /// Whether the required tokens could not be granted. Others may hold them.
    pub unmet: bool,
}

/// A request for what has changed for an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    /// The entry.
    pub entry: EntryId,
    /// The version of the endpoint registry that the entry has.
    pub version: u64,
    /// The number of the document in force at the entry.
    pub document: u64,
}

/// The changes to the document that a receiver needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentUpdate {
    /// The receiver has the latest known document.
    Unchanged,
    /// Patches, to be applied in order.
    Patches(Vec<Patch>),
    /// The full document.
    Full(Box<Document>),
}

/// A keeper's status, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The keeper's number.
    pub keeper: u32,
    /// The failure domain.
    pub domain: String,
    /// Whether the keeper is the leader.
    pub leads: bool,
    /// The leader's number, if one is known.
    pub leader: Option<u32>,
    /// The consensus term.
    pub term: u64,
    /// Log entries applied.
    pub applied: u64,
    /// The number of the document in force.
    pub document: u64,
    /// The endpoints that are present.
    pub endpoints: Vec<EndpointAnnouncement>,
    /// Balances by team.
    pub balances: Vec<Balance>,
    /// Leases whose unused tokens are withheld, with the number of tokens.
    pub held: Vec<(LeaseId, Tokens)>,
    /// Entries heard from recently, with the number of the document in force at each.
    pub entries: Vec<(EntryId, u64)>,
    /// Detected violations of token conservation.
    pub faults: u64,
}

/// One team's balance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Balance {
    /// The team's name.
    pub team: String,
    /// All tokens credited.
    pub credits: Tokens,
    /// Tokens in no keeper's share.
    pub free: Tokens,
    /// Tokens in keepers' shares.
    pub held: Tokens,
    /// Tokens billed.
    pub settled: Tokens,
}

/// The outcome of an operator's submission of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitOutcome {
    /// The document was accepted.
    Accepted(AcceptedDocument),
    /// Another document was accepted under the same number.
    Conflict(AcceptedDocument),
    /// Another number is in force than the one that the document is based on.
    Stale(u64),
    /// The document has these faults.
    Invalid(Vec<Fault>),
    /// No quorum answered; it is safe to submit the same document again.
    Unknown,
}

/// The outcome of a top-up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TopUpOutcome {
    /// Credited by a majority.
    Replicated,
    /// Credited by its home keeper only; merged when the ledger can be reached.
    Local,
    /// The same top-up was credited before.
    Duplicate,
    /// The top-up was refused, for this reason.
    Refused(String),
    /// No quorum answered; it is safe to send the same top-up again.
    Unknown,
}

/// A request to another process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A message between gateway processes.
    Mesh(crate::mesh::MeshRequest),
    /// An agent announces itself.
    Announce(EndpointAnnouncement),
    /// An entry asks what has changed.
    Watch(Watch),
    /// An entry acquires tokens and renews its lease.
    AcquireTokens(AcquireTokens),
    /// An agent or entry reports the tokens that requests used.
    Receipts(Vec<Receipt>),
    /// An entry records where a request runs; the number identifies the order that the
    /// entry knows has ended.
    Enrol(Record, Option<u64>),
    /// An entry asks where a request runs.
    Find(RequestId),
    /// An entry withdraws a request's record after it has proved that the request was
    /// not executed.
    Unenrol(RequestId, u64),
    /// An entry claims a call that may be executed at most once.
    Claim(Claim),
    /// An entry asks which claim of a call is valid.
    FindClaim(RequestId),
    /// An entry releases the claim of a call after it has proved that the call was not
    /// executed.
    ReleaseClaim(Claim),
    /// A keeper asks an agent to fence a lease and to report whether it is clear: none
    /// of its requests run and no receipts are owed.
    FenceLease(LeaseId),
    /// A keeper asks an entry to return unreserved tokens.
    Recall(TeamId, Tokens),
    /// An entry revokes a request at the process that it was sent to; the response
    /// says whether the request is certain never to start.
    Revoke(AgentId, RequestId),
    /// The caller of a request no longer wants its response.
    Cancel(RequestId),
    /// A keeper forwards a command to the leader.
    Propose(Vec<u8>),
    /// Messages of a consensus replica, in order.
    Replica(Vec<consensus::Envelope>),
    /// A keeper or entry asks for the document newer than this number.
    Document(u64),
    /// An operator submits a document.
    Submit(Box<Document>, String),
    /// An operator asks which faults a document has, without submitting it.
    Check(Box<Document>),
    /// An operator asks for the latest accepted documents.
    History,
    /// An operator tops up a team's budget.
    TopUp(TopUp),
    /// An operator asks for a keeper's status.
    Status,
    /// A new keeper asks to join; contains its number and disk identifier.
    Join(u32, u64),
    /// An operator removes a keeper.
    RemoveKeeper(u32),
    /// An operator releases the tokens that are withheld for a lease.
    ReleaseLease(LeaseId),
    /// An entry asks for the tokens that a team has not spent, as read from a quorum.
    Unspent(TeamId),
    /// An entry waits with a request for at most this time before it sends it.
    Await(RequestId, EntryId, Span),
    /// An entry no longer waits with a request.
    Withdraw(RequestId, EntryId),
}

/// The response to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The response to a message between gateway processes.
    Mesh(crate::mesh::MeshResponse),
    /// The request was processed; there is no result.
    Done,
    /// The peer doesn't support the request.
    Unsupported,
    /// The peer has no quorum or can't reach the leader.
    Unavailable,
    /// Changes of the registry and the document.
    Changes(MembershipDelta, DocumentUpdate),
    /// The tokens granted, by team.
    Granted(Vec<TokenGrant>),
    /// The lease has ended; nothing more is granted under it.
    LeaseEnded,
    /// Bills for the receipts, in order.
    Bills(Vec<BillingOutcome>),
    /// The response to an enrolment.
    Enrolled(InsertResult),
    /// The requested record.
    Found(Option<Record>),
    /// The response to a claim.
    Claimed(ClaimResult),
    /// The valid claim, as read from a quorum.
    CurrentClaim(Option<Claim>),
    /// The agent that fenced the lease, and whether the lease is clear there.
    LeaseFenced(AgentId, bool),
    /// The total of tokens returned under the lease.
    Returned(LeaseId, Tokens),
    /// Whether the revoked request is certain never to start.
    Revoked(bool),
    /// A command's encoded result.
    Applied(Vec<u8>),
    /// A keeper's status.
    Status(Box<Status>),
    /// The outcome of a submission.
    SubmitOutcome(SubmitOutcome),
    /// The latest accepted documents, newest first.
    History(Vec<AcceptedDocument>),
    /// The outcome of a top-up.
    TopUpOutcome(TopUpOutcome),
    /// The request was refused, for this reason.
    Refused(String),
    /// The tokens credited to a team and not billed.
    Unspent(Tokens),
    /// Whether other entries still wait with the request.
    Withdrawn(bool),
}

impl PeerResponse {
    /// Returns whether the response is long and may wait behind others.
    #[must_use]
    pub fn is_bulk(&self) -> bool {
        matches!(self, Self::Mesh(crate::mesh::MeshResponse::ConfigPart(_)))
    }
}

/// A request for a stream of frames.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamRequest {
    /// Runs an order, or attaches to it if it is running already.
    Run(Box<Order>),
    /// Resumes a response from an offset.
    Attach {
        /// The request.
        request: RequestId,
        /// The digest of the request body.
        digest: Digest,
        /// The attempt number that the frames must carry.
        attempt: u32,
        /// The number of response bytes that the receiver already has.
        offset: u64,
    },
}

/// The first message on a QUIC stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hello {
    /// A request with one response.
    Request(PeerRequest),
    /// A request for a stream of frames.
    OpenStream(StreamRequest),
}
