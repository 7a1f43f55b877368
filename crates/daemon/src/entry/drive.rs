//! The way of one request to an endpoint and back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use base::AgentId;
use base::Digest;
use base::EndpointId;
use base::KeeperId;
use base::Span;
use base::Time;
use base::Tokens;
use caller::CallerError;
use fleet::PeerRequest;
use fleet::PeerResponse;
use fleet::wire::StreamRequest;
use ledger::Receipt;
use request::Assembly;
use request::FinalEvent;
use request::FinishReason;
use request::NotRun;
use request::Order;
use request::Record;
use request::Refusal;
use request::RetryDecision;
use request::RetryState;
use request::Work;
use request::retry::AttemptFailure;

use super::Entry;
use super::acquire;
use super::budget;
use super::budget::Held;
use super::budget::Lack;
use super::flow::Ending;
use super::flow::Flow;
use super::stream;
use super::stream::StreamEnd;
use super::tables::Chosen;
use super::tables::Member;

mod once;
mod records;

/// Longest wait for a keeper's answer within a request.
const KEEPER_WAIT: Span = Span::millis(600);

/// Longest wait for the record of a request to be kept.
const RECORD_WAIT: Span = Span::millis(250);

/// Looks for a request that its agent doesn't know yet.
const ABSENT_LOOKS: u32 = 5;

/// Time between two such looks.
const ABSENT_WAIT: Duration = Duration::from_millis(100);

/// Longest wait for tokens.
const FUND_WAIT: Span = Span::secs(3);

/// Times that a request whose record points elsewhere is looked up again.
const MAX_JOINS: u32 = 3;

/// A request on its way.
pub struct Job {
    /// The answer.
    pub flow: Arc<Flow>,
    /// The team.
    pub member: Member,
    /// The models or the service that may answer, the preferred one first.
    pub serves: Vec<String>,
    /// The digest of the prompt's prefix.
    pub prefix: Option<u64>,
    /// What is to be done; a chat's model and prefix are filled in when it's sent.
    pub work: Work,
    /// An upper bound of the prompt's tokens, or a call's price.
    pub prompt: Tokens,
    /// A closer count of the prompt's tokens.
    pub counted: Tokens,
    /// Most tokens generated.
    pub cap: Tokens,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

impl Job {
    /// Returns the tokens that the request may cost.
    #[must_use]
    pub fn amount(&self) -> Tokens {
        self.prompt.saturating_add(self.cap)
    }
}

/// What stands between an attempt and the one before.
#[derive(Default)]
struct Trail {
    avoid: Vec<EndpointId>,
    nonce: Option<u64>,
    joins: u32,
    prompt: Tokens,
    held: Option<Held>,
}

/// How an attempt ended for the request.
enum Verdict {
    Done(Ending, Option<FinalEvent>),
    Again,
}

/// Drives a request to its end.
pub async fn run(entry: Entry, job: Job) {
    let mut trail = Trail {
        prompt: job.prompt,
        ..Trail::default()
    };
    let mut life = RetryState::new(job.deadline, job.repeatable);
    let mut assembly = Assembly::new(job.flow.request);
    let (ending, end) = loop {
        let verdict = attempt(&entry, &job, &mut trail, &mut life, &mut assembly).await;
        match verdict {
            Verdict::Done(ending, end) => break (ending, end),
            Verdict::Again => {
                entry.meter.retries.inc();
            }
        }
    };
    let single = life.attempt() == 1;
    settle(
        &entry,
        &job,
        &trail,
        &ending,
        end.as_ref(),
        &assembly,
        single,
    );
    let kept = !matches!(
        ending,
        Ending::Error(CallerError::NotRun(_) | CallerError::OutcomeUnknown)
    );
    job.flow.end(ending);
    let now = entry.context.clock.now();
    entry.tables.over(job.flow.request, kept, now);
}

fn not_run(reason: NotRun) -> Verdict {
    Verdict::Done(Ending::Error(CallerError::NotRun(reason)), None)
}

fn unknown() -> Verdict {
    Verdict::Done(Ending::Error(CallerError::OutcomeUnknown), None)
}

/// Accounts for the reservation by how the request ended.
fn settle(
    entry: &Entry,
    job: &Job,
    trail: &Trail,
    ending: &Ending,
    end: Option<&FinalEvent>,
    assembly: &Assembly,
    single: bool,
) {
    let Some(held) = &trail.held else {
        return;
    };
    let request = job.flow.request;
    let receipt = |amount: Tokens| Receipt {
        lease: held.lease,
        request,
        team: job.member.id,
        amount: amount.min(trail.prompt.saturating_add(job.cap)),
    };
    match (ending, end) {
        (_, Some(end)) => entry.budget.owe(held, receipt(end.billed_tokens()), single),
        (Ending::Error(CallerError::OutcomeUnknown), None) => {
            // Until an agent's receipt comes, what the caller got is all that's known.
            let known = trail.prompt.saturating_add(Tokens(assembly.tokens()));
            let now = entry.context.clock.now();
            entry.budget.doubt(held, receipt(known), now);
        }
        (_, None) => entry.budget.release(request),
    }
}

/// Makes one attempt, or joins one that runs elsewhere.
async fn attempt(
    entry: &Entry,
    job: &Job,
    trail: &mut Trail,
    life: &mut RetryState,
    assembly: &mut Assembly,
) -> Verdict {
    let chosen = match acquire::acquire(entry, job, &trail.avoid).await {
        Ok(chosen) => chosen,
        Err(NotRun::NoEndpoint) if !trail.avoid.is_empty() => {
            // Every endpoint was tried; the first may have recovered.
            trail.avoid.clear();
            return after(entry, life, AttemptFailure::NotSent);
        }
        Err(reason) => return end_early(entry, job, trail, life, assembly, reason).await,
    };
    let begun = entry.context.clock.now();
    let verdict = at_endpoint(entry, job, trail, life, assembly, &chosen).await;
    let took = entry.context.clock.now().since(begun);
    acquire::done(entry, chosen.slot, took);
    verdict
}

/// Returns the end of a request that can't go on here.
///
/// A request with a caller's key may run through another entry; only where that is
/// ruled out is it told as not run.
async fn end_early(
    entry: &Entry,
    job: &Job,
    trail: &mut Trail,
    life: &mut RetryState,
    assembly: &mut Assembly,
    reason: NotRun,
) -> Verdict {
    if life.on_failure(AttemptFailure::NotSent, false, Time(u64::MAX)) == RetryDecision::Unknown {
        return unknown();
    }
    if !job.flow.named || trail.nonce.is_some() {
        return not_run(reason);
    }
    if job.repeatable {
        match records::find(entry, job.flow.request).await {
            Some(Some(record)) => join(entry, job, trail, life, assembly, &record).await,
            Some(None) => not_run(reason),
            None => unknown(),
        }
    } else {
        match once::find_claim(entry, job.flow.request).await {
            Some(Some(claim)) => once::join_claim(entry, job, trail, life, assembly, claim).await,
            Some(None) => not_run(reason),
            None => unknown(),
        }
    }
}

fn after(entry: &Entry, life: &mut RetryState, failure: AttemptFailure) -> Verdict {
    let budget = entry.tables.endpoints().retries.try_retry();
    let now = entry.context.clock.now();
    match life.on_failure(failure, budget, now) {
        RetryDecision::Retry | RetryDecision::Resume => Verdict::Again,
        RetryDecision::NotRun(reason) => not_run(reason),
        RetryDecision::Unknown => unknown(),
    }
}

async fn at_endpoint(
    entry: &Entry,
    job: &Job,
    trail: &mut Trail,
    life: &mut RetryState,
    assembly: &mut Assembly,
    chosen: &Chosen,
) -> Verdict {
    let held = match fund(entry, job, trail).await {
        Ok(held) => held,
        Err(reason) => return end_early(entry, job, trail, life, assembly, reason).await,
    };
    trail.held = Some(held);
    if job.repeatable {
        repeatable(entry, job, trail, life, assembly, chosen).await
    } else {
        once::once(entry, job, trail, life, assembly, chosen).await
    }
}

/// Reserves what the request may cost: by a bound first, then by a closer count,
/// then with what the keeper can find elsewhere.
async fn fund(entry: &Entry, job: &Job, trail: &mut Trail) -> Result<Held, NotRun> {
    let request = job.flow.request;
    let team = job.member.id;
    let reserve = |amount| {
        let now = entry.context.clock.now();
        entry.budget.reserve(request, team, amount, now)
    };
    if let Ok(held) = reserve(job.amount()) {
        return Ok(held);
    }
    let counted = job.counted.min(job.prompt);
    let amount = counted.saturating_add(job.cap);
    trail.prompt = counted;
    let begun = entry.context.clock.now();
    loop {
        if let Ok(held) = reserve(amount) {
            return Ok(held);
        }
        let exhausted = budget::draw(entry, team, amount).await;
        let lack = match reserve(amount) {
            Ok(held) => return Ok(held),
            Err(lack) => lack,
        };
        // Another request may have taken what came; then it's drawn again.
        let waited = entry.context.clock.now().since(begun);
        match lack {
            Lack::Short if exhausted => return Err(NotRun::BudgetExceeded),
            Lack::Short if waited >= FUND_WAIT => return Err(NotRun::BudgetExceeded),
            Lack::NoLease if waited >= FUND_WAIT => return Err(NotRun::NoLease),
            Lack::Short | Lack::NoLease => {}
        }
    }
}

fn order(
    entry: &Entry,
    job: &Job,
    trail: &Trail,
    life: &RetryState,
    assembly: &Assembly,
    agent: AgentId,
) -> Order {
    let now = entry.context.clock.now();
    let held = trail.held;
    let mut work = job.work.clone();
    if let Work::Chat { prefix, .. } = &mut work {
        *prefix = String::from_utf8_lossy(assembly.bytes()).into_owned();
    }
    let lease = held.map_or(
        base::LeaseId {
            entry: entry.tables.id(),
            epoch: 0,
        },
        |held| held.lease,
    );
    Order {
        agent,
        request: job.flow.request,
        attempt: life.attempt(),
        digest: job.flow.digest,
        team: job.member.id,
        lease,
        keeper: held.map_or(KeeperId(0), |held| held.keeper),
        lease_left: held.map_or(Span(0), |held| held.left),
        prompt_tokens: trail.prompt,
        max_tokens: job.cap,
        prefix_tokens: Tokens(assembly.tokens()),
        time_left: life.time_left(now),
        repeatable: job.repeatable,
        priority: job.member.priority,
        document_number: entry.tables.document().number,
        work,
    }
}

async fn repeatable(
    entry: &Entry,
    job: &Job,
    trail: &mut Trail,
    life: &mut RetryState,
    assembly: &mut Assembly,
    chosen: &Chosen,
) -> Verdict {
    let record = Record {
        request: job.flow.request,
        digest: job.flow.digest,
        attempt: life.attempt(),
        agent: chosen.agent,
        address: chosen.address,
        nonce: fastrand::u64(1..),
    };
    if let Some(earlier) = records::enrol(entry, record, trail.nonce).await {
        return join(entry, job, trail, life, assembly, &earlier).await;
    }
    trail.nonce = Some(record.nonce);
    let verdict = send(entry, job, trail, life, assembly, chosen).await;
    if matches!(
        verdict,
        Verdict::Done(Ending::Error(CallerError::NotRun(_)), _)
    ) {
        records::unenrol(entry, job.flow.request, record.nonce).await;
    }
    verdict
}

/// Joins a request that another entry has sent.
async fn join(
    entry: &Entry,
    job: &Job,
    trail: &mut Trail,
    life: &mut RetryState,
    assembly: &mut Assembly,
    record: &Record,
) -> Verdict {
    if record.digest != job.flow.digest {
        return Verdict::Done(Ending::Error(CallerError::KeyReused), None);
    }
    let joined = attach(entry, job, record.agent, record.address, life, assembly).await;
    match joined {
        StreamEnd::Whole(end) => {
            // The bill goes to the lease under which the request runs.
            free(entry, job, trail);
            Verdict::Done(Ending::Whole(end), None)
        }
        StreamEnd::Refused(Refusal::BodyMismatch) => {
            Verdict::Done(Ending::Error(CallerError::KeyReused), None)
        }
        _ if trail.joins < MAX_JOINS => {
            trail.joins += 1;
            trail.nonce = Some(record.nonce);
            trail.avoid.push(record.agent.endpoint);
            Verdict::Again
        }
        _ => unknown(),
    }
}

fn free(entry: &Entry, job: &Job, trail: &mut Trail) {
    if trail.held.take().is_some() {
        entry.budget.release(job.flow.request);
    }
}

async fn attach(
    entry: &Entry,
    job: &Job,
    agent: AgentId,
    address: SocketAddr,
    life: &RetryState,
    assembly: &mut Assembly,
) -> StreamEnd {
    let open = StreamRequest::Attach {
        request: job.flow.request,
        digest: job.flow.digest,
        attempt: life.attempt(),
        offset: assembly.bytes().len() as u64,
    };
    assembly.set_attempt(life.attempt());
    let mut end = stream::follow(entry, job, address, open.clone(), assembly).await;
    for _ in 0..ABSENT_LOOKS {
        if !matches!(end, StreamEnd::Refused(Refusal::NotFound)) {
            return end;
        }
        // Whoever recorded it may just be sending it.
        Timer::after(ABSENT_WAIT).await;
        end = stream::follow(entry, job, address, open.clone(), assembly).await;
    }
    if !matches!(end, StreamEnd::Refused(Refusal::NotFound)) {
        return end;
    }
    // An order may still be on its way: bar it, then it's certain.
    let ask = PeerRequest::Revoke(agent, job.flow.request);
    match entry.node.request(address, ask, KEEPER_WAIT).await {
        Ok(PeerResponse::Revoked(true)) => StreamEnd::Refused(Refusal::Cancelled),
        Ok(_) | Err(_) => end,
    }
}

/// Sends an order and follows it, taking the stream up again where it breaks.
async fn send(
    entry: &Entry,
    job: &Job,
    trail: &mut Trail,
    life: &mut RetryState,
    assembly: &mut Assembly,
    chosen: &Chosen,
) -> Verdict {
    let order = order(entry, job, trail, life, assembly, chosen.agent);
    let sent = entry.context.clock.now();
    assembly.set_attempt(order.attempt);
    let open = StreamRequest::Run(Box::new(order));
    let mut end = stream::follow(entry, job, chosen.address, open, assembly).await;
    loop {
        let failure = match end {
            StreamEnd::Whole(end) => {
                note_answer(entry, job, chosen, sent);
                return Verdict::Done(Ending::Whole(end.clone()), Some(end));
            }
            StreamEnd::Broken(end) if end.finish_reason == FinishReason::Cancelled => {
                return Verdict::Done(Ending::Error(CallerError::OutcomeUnknown), Some(end));
            }
            StreamEnd::Broken(end) if end.finish_reason == FinishReason::NotRun => {
                AttemptFailure::Refused(Refusal::Unreachable)
            }
            StreamEnd::Broken(_) => AttemptFailure::EndpointFailed,
            StreamEnd::Refused(refusal) => AttemptFailure::Refused(refusal),
            StreamEnd::Lost => AttemptFailure::StreamBroken,
            StreamEnd::NeverSent => AttemptFailure::NotSent,
        };
        if !assembly.bytes().is_empty() {
            life.note_progress();
        }
        let now = entry.context.clock.now();
        if failure == AttemptFailure::Refused(Refusal::Cancelled) && trail.joins < MAX_JOINS {
            // Another entry took the request over; it's found by its record or claim.
            trail.joins += 1;
            return Verdict::Again;
        }
        if !matches!(failure, AttemptFailure::Refused(_))
            || failure == AttemptFailure::Refused(Refusal::Unreachable)
        {
            entry
                .tables
                .endpoints()
                .table
                .record_failure(chosen.slot, now);
        }
        let budget = entry.tables.endpoints().retries.try_retry();
        match life.on_failure(failure, budget, now) {
            RetryDecision::Resume => {
                end = resume(entry, job, life, assembly, chosen).await;
            }
            RetryDecision::Retry => {
                trail.avoid.push(chosen.agent.endpoint);
                return Verdict::Again;
            }
            RetryDecision::NotRun(reason) => return not_run(reason),
            RetryDecision::Unknown => return unknown(),
        }
    }
}

/// Takes a broken stream up again at the same agent.
async fn resume(
    entry: &Entry,
    job: &Job,
    life: &mut RetryState,
    assembly: &mut Assembly,
    chosen: &Chosen,
) -> StreamEnd {
    let end = attach(entry, job, chosen.agent, chosen.address, life, assembly).await;
    match end {
        // The agent can't be reached at all, or has forgotten: it's no refusal of
        // what was sent before.
        StreamEnd::NeverSent | StreamEnd::Refused(Refusal::NotFound) => StreamEnd::Lost,
        other => other,
    }
}

fn note_answer(entry: &Entry, job: &Job, chosen: &Chosen, sent: Time) {
    let document = entry.tables.document();
    let aim = Span::millis(document.objective.first_ms);
    let now = entry.context.clock.now();
    let first = job.flow.first().unwrap_or(now);
    let mut endpoints = entry.tables.endpoints();
    endpoints
        .table
        .record_first_token(chosen.slot, first.since(sent), aim);
}

/// Returns a digest over all that makes two requests with one key the same.
#[must_use]
pub fn body_digest(path: &str, body: &[u8]) -> Digest {
    let mut bytes = path.as_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(body);
    Digest::of(&bytes)
}
