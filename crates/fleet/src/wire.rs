//! The messages between processes.
//!
//! The protocol's version is negotiated by the transport: processes of another
//! version get no connection.

use std::net::SocketAddr;

use base::AgentId;
use base::Digest;
use base::EntryId;
use base::LeaseId;
use base::RequestId;
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

/// The protocol's name and version.
pub const PROTOCOL: &[u8] = b"mulberrytally/1";

/// An entry's demand for one team's tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The team.
    pub team: TeamId,
    /// Tokens that a request waits for; zero to renew only.
    pub need: Tokens,
    /// Tokens that the entry is likely to need soon.
    pub extra: Tokens,
    /// All tokens that the entry has given back.
    pub returned: Tokens,
}

/// A draw on a keeper's share, which also renews the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draw {
    /// The lease.
    pub lease: LeaseId,
    /// Where the entry takes recalls.
    pub address: SocketAddr,
    /// The demands.
    pub demands: Vec<Demand>,
    /// Whether no keeper has answered under the lease yet.
    pub fresh: bool,
    /// Whether the entry is done with the lease: no reservation is open.
    pub close: bool,
}

/// The answer to one demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    /// The team.
    pub team: TeamId,
    /// All tokens granted under the lease.
    pub total: Tokens,
    /// Whether nothing more can be had from anybody in reach.
    pub exhausted: bool,
}

/// A question about what changed for an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    /// The entry.
    pub entry: EntryId,
    /// The registry's version that the entry has.
    pub version: u64,
    /// The number of the document that the entry has in force.
    pub document: u64,
}

/// A document or what leads to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// Nothing newer is known.
    None,
    /// Patches in order.
    Patches(Vec<Patch>),
    /// The whole document.
    Whole(Box<Document>),
}

/// A keeper's view of itself, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The keeper's number.
    pub keeper: u32,
    /// The failure domain.
    pub domain: String,
    /// Whether it leads.
    pub leads: bool,
    /// The leader's number, where one is known.
    pub leader: Option<u32>,
    /// The term.
    pub term: u64,
    /// Entries applied.
    pub applied: u64,
    /// The number of the document in force.
    pub document: u64,
    /// Present endpoints.
    pub endpoints: Vec<EndpointAnnouncement>,
    /// Balances by team: name, credits, free, held, settled.
    pub balances: Vec<Balance>,
    /// Leases whose rest is held back, with the tokens.
    pub held: Vec<(LeaseId, Tokens)>,
    /// Entries heard lately, with the number of the document that each has in force.
    pub entries: Vec<(EntryId, u64)>,
    /// Breaches of the conservation law seen.
    pub faults: u64,
}

/// One team's balance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Balance {
    /// The team's name.
    pub team: String,
    /// All credits.
    pub credits: Tokens,
    /// Tokens in nobody's share.
    pub free: Tokens,
    /// Tokens in shares.
    pub held: Tokens,
    /// Tokens billed.
    pub settled: Tokens,
}

/// The answer to an operator's submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Accepted.
    Accepted(AcceptedDocument),
    /// Another document holds the number.
    Lost(AcceptedDocument),
    /// Another number is in force.
    Stale(u64),
    /// The document has faults.
    Faulty(Vec<Fault>),
    /// No quorum answered; the same document may be sent again.
    Unknown,
}

/// What came of a top-up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Credit {
    /// Credited by a majority.
    Replicated,
    /// Credited by its home keeper; merged when the ledger can be reached.
    Local,
    /// Credited before.
    Repeated,
    /// Refused.
    Refused(String),
    /// No quorum answered; the same top-up may be sent again.
    Unknown,
}

/// A question or order to another process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// A message between processes that forward requests as they are.
    Mesh(crate::mesh::Ask),
    /// An agent announces itself.
    Announce(EndpointAnnouncement),
    /// An entry asks what changed.
    Watch(Watch),
    /// An entry draws tokens.
    Draw(Draw),
    /// An agent or entry reports what requests used.
    Receipts(Vec<Receipt>),
    /// An entry records where a request runs; the number names the order that the
    /// entry knows to be over.
    Enrol(Record, Option<u64>),
    /// An entry asks where a request runs.
    Find(RequestId),
    /// An entry proved that a request has not run.
    Unenrol(RequestId, u64),
    /// An entry claims a call that may run once.
    Claim(Claim),
    /// An entry asks which claim of a call stands.
    FindClaim(RequestId),
    /// An entry proved that a claimed call has not run.
    Free(Claim),
    /// A keeper asks an agent to bar a lease and to say whether it's clear.
    Vouch(LeaseId),
    /// A keeper asks an entry to give back unreserved tokens.
    Recall(TeamId, Tokens),
    /// An entry calls a request off at the process that it was sent to; the answer
    /// says whether it never starts.
    CallOff(AgentId, RequestId),
    /// An entry's caller no longer wants the answer.
    Cancel(RequestId),
    /// A keeper forwards a command to the leader.
    Propose(Vec<u8>),
    /// A replica's messages, in order.
    Replica(Vec<consensus::Envelope>),
    /// A keeper or entry asks for the document.
    Document(u64),
    /// An operator submits a document.
    Submit(Box<Document>, String),
    /// An operator asks for the faults that a document would meet.
    Check(Box<Document>),
    /// An operator asks for the latest accepted documents.
    History,
    /// An operator tops up a budget.
    TopUp(TopUp),
    /// An operator asks for a keeper's view.
    Status,
    /// A new keeper asks to join with its number and disk.
    Join(u32, u64),
    /// An operator removes a keeper.
    Expel(u32),
    /// An operator frees what is held back for a lease.
    Release(LeaseId),
}

/// The answer to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The answer to a message between processes that forward requests as they are.
    Mesh(crate::mesh::Answer),
    /// Done; nothing to say.
    Done,
    /// The peer can't answer.
    Unsupported,
    /// The peer is no quorum or can't reach the leader.
    Unavailable,
    /// News for a watcher or an agent.
    News(MembershipDelta, News),
    /// Answers to a draw.
    Granted(Vec<Granted>),
    /// The lease has ended: nothing is granted under it any more.
    Ended,
    /// Answers to receipts, in order.
    Bills(Vec<BillingOutcome>),
    /// The answer to an enrolment.
    Enrolled(InsertResult),
    /// The record asked for.
    Found(Option<Record>),
    /// The answer to a claim.
    Claimed(ClaimResult),
    /// The claim that stands, as a quorum has it.
    Standing(Option<Claim>),
    /// Whether the lease is clear, and by whom.
    Vouched(AgentId, bool),
    /// The total that was given back under the lease.
    Returned(LeaseId, Tokens),
    /// Whether the request never starts.
    CalledOff(bool),
    /// A command's encoded result.
    Applied(Vec<u8>),
    /// A keeper's view.
    Status(Box<Status>),
    /// The answer to a submission.
    Verdict(Verdict),
    /// The latest accepted documents, newest first.
    History(Vec<AcceptedDocument>),
    /// The answer to a top-up.
    Credit(Credit),
    /// The answer to an operator's change.
    Refused(String),
}

/// What opens a stream of frames.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Open {
    /// Runs an order, or joins it where it runs.
    Run(Box<Order>),
    /// Takes an answer up again from an offset.
    Attach {
        /// The request.
        request: RequestId,
        /// The digest of the caller's body.
        digest: Digest,
        /// The attempt that the frames are to carry.
        attempt: u32,
        /// The bytes that the receiver has.
        offset: u64,
    },
}

/// The first message of a stream between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hello {
    /// A question with one answer.
    Ask(Ask),
    /// A stream of frames.
    Open(Open),
}
