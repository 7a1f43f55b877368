//! Runs one request: selects endpoints, reserves tokens, sends orders and retries.

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
use super::admission;
use super::answer::AnswerOutcome;
use super::answer::SharedAnswer;
use super::budget;
use super::budget::Reservation;
use super::budget::ReserveError;
use super::stream;
use super::stream::StreamEnd;
use super::tables::ChosenEndpoint;
use super::tables::TeamInfo;

mod at_most_once;
mod records;
pub(super) mod submissions;

/// Maximum time to wait for a keeper or agent while a request runs.
const KEEPER_TIMEOUT: Span = Span::millis(600);

/// Maximum time to wait for a keeper that stores or looks up a request's record.
const RECORD_TIMEOUT: Span = Span::millis(250);

/// Maximum number of repeated attachments to a request that its agent does not know yet.
const MAX_ATTACH_RETRIES: u32 = 5;

/// Time before each such repetition.
const ATTACH_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum time to wait for tokens.
const BUDGET_TIMEOUT: Span = Span::secs(3);

/// Maximum number of retries that follow a record or claim of another entry.
const MAX_JOINS: u32 = 3;

/// A request to run.
pub struct Job {
    /// The answer that the callers read.
    pub answer: Arc<SharedAnswer>,
    /// The team.
    pub team: TeamInfo,
    /// The models that may answer, in order of preference, or the service.
    pub service_names: Vec<String>,
    /// The digest of the prompt's prefix.
    pub prefix_digest: Option<u64>,
    /// The work; the prefix of a chat is filled in when the order is built.
    pub work: Work,
    /// An upper bound of the prompt's tokens, or the price of a call.
    pub prompt_bound: Tokens,
    /// A closer estimate of the prompt's tokens, or the price of a call.
    pub prompt_count: Tokens,
    /// The maximum number of generated tokens.
    pub max_tokens: Tokens,
    /// The time by which the request has to end.
    pub deadline: Time,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

impl Job {
    /// Returns the maximum cost of the request.
    #[must_use]
    pub fn max_cost(&self) -> Tokens {
        self.prompt_bound.saturating_add(self.max_tokens)
    }
}

/// The state that one attempt passes to the next.
#[derive(Default)]
pub(super) struct AttemptState {
    pub(super) excluded_endpoints: Vec<EndpointId>,
    /// Nonces of records whose orders have ended, and of this request's own record.
    record_nonces: Vec<u64>,
    /// Nonces of the records and claims that this entry has made for the request.
    own_nonces: Vec<u64>,
    joins: u32,
    /// Whether the keepers know that this entry waits with the request.
    registered: bool,
    prompt_tokens: Tokens,
    reservation: Option<Reservation>,
}

/// The effect of an attempt on its request.
enum AttemptResult {
    Finished(AnswerOutcome, Option<FinalEvent>),
    Retry,
}

/// Runs a request until it has an outcome.
pub async fn run(entry: Entry, job: Job) {
    let mut state = AttemptState {
        prompt_tokens: job.prompt_bound,
        ..AttemptState::default()
    };
    let mut retry_state = RetryState::new(job.deadline, job.repeatable);
    let mut assembly = Assembly::new(job.answer.request);
    let (outcome, final_event) = loop {
        let mut result =
            run_attempt(&entry, &job, &mut state, &mut retry_state, &mut assembly).await;
        if let AttemptResult::Finished(AnswerOutcome::Failed(CallerError::NotRun(reason)), _) =
            &result
            && job.answer.has_key
        {
            let reason = *reason;
            result = prove_not_run(
                &entry,
                &job,
                &mut state,
                &mut retry_state,
                &mut assembly,
                reason,
            )
            .await;
        }
        match result {
            AttemptResult::Finished(outcome, final_event) => break (outcome, final_event),
            AttemptResult::Retry => {
                entry.metrics.retries.inc();
            }
        }
    };
    if state.registered {
        let task = submissions::withdraw(entry.clone(), job.answer.request);
        entry.context.pool.spawn(async move {
            task.await;
        });
    }
    let single_attempt = retry_state.attempt() == 1;
    settle_reservation(
        &entry,
        &job,
        &state,
        &outcome,
        final_event.as_ref(),
        &assembly,
        single_attempt,
    );
    let retain = !matches!(
        outcome,
        AnswerOutcome::Failed(CallerError::NotRun(_) | CallerError::OutcomeUnknown)
    );
    job.answer.finish(outcome);
    let now = entry.context.clock.now();
    entry.tables.finish_answer(job.answer.request, retain, now);
}

fn finish_not_run(reason: NotRun) -> AttemptResult {
    AttemptResult::Finished(AnswerOutcome::Failed(CallerError::NotRun(reason)), None)
}

fn finish_unknown() -> AttemptResult {
    AttemptResult::Finished(AnswerOutcome::Failed(CallerError::OutcomeUnknown), None)
}

/// Bills, defers or releases the reservation, depending on the outcome.
fn settle_reservation(
    entry: &Entry,
    job: &Job,
    state: &AttemptState,
    outcome: &AnswerOutcome,
    final_event: Option<&FinalEvent>,
    assembly: &Assembly,
    single_attempt: bool,
) {
    let Some(reservation) = &state.reservation else {
        return;
    };
    let request = job.answer.request;
    let receipt = |amount: Tokens| Receipt {
        lease: reservation.lease,
        request,
        team: job.team.id,
        amount: amount.min(state.prompt_tokens.saturating_add(job.max_tokens)),
    };
    match (outcome, final_event) {
        (_, Some(end)) => {
            entry
                .budget
                .queue_receipt(reservation, receipt(end.billed_tokens()), single_attempt);
        }
        (AnswerOutcome::Failed(CallerError::OutcomeUnknown), None) => {
            // Until the agent's receipt arrives, only the tokens received are known.
            let received = state
                .prompt_tokens
                .saturating_add(Tokens(assembly.tokens()));
            let now = entry.context.clock.now();
            entry
                .budget
                .defer_receipt(reservation, receipt(received), now);
        }
        (_, None) => entry.budget.release(request),
    }
}

/// Makes one attempt, or joins one that another entry has started.
async fn run_attempt(
    entry: &Entry,
    job: &Job,
    state: &mut AttemptState,
    retry_state: &mut RetryState,
    assembly: &mut Assembly,
) -> AttemptResult {
    let endpoint = match admission::acquire_endpoint(entry, job, state).await {
        Ok(endpoint) => endpoint,
        Err(NotRun::NoEndpoint) if !state.excluded_endpoints.is_empty() => {
            // Every endpoint has been tried; the first may have recovered.
            state.excluded_endpoints.clear();
            return decide_retry(entry, retry_state, AttemptFailure::NotSent);
        }
        Err(reason) => return finish_unsent(retry_state, reason),
    };
    let started_at = entry.context.clock.now();
    let result = run_at(entry, job, state, retry_state, assembly, &endpoint).await;
    let duration = entry.context.clock.now().since(started_at);
    admission::release_endpoint(entry, endpoint.slot, duration);
    result
}

/// Returns the result of a request that this entry can't send: not run, unless an earlier
/// attempt may have run.
fn finish_unsent(retry_state: &mut RetryState, reason: NotRun) -> AttemptResult {
    match retry_state.on_failure(AttemptFailure::NotSent, false, Time(u64::MAX)) {
        RetryDecision::Unknown => finish_unknown(),
        _ => finish_not_run(reason),
    }
}

/// Returns the result of a request with a caller's key that this entry has not run.
///
/// It may run through another entry, or another one may send it later. It is reported as not
/// run only if both are ruled out. An entry registers before it claims or records the
/// request and withdraws afterwards, so submissions are read before claims and records.
async fn prove_not_run(
    entry: &Entry,
    job: &Job,
    state: &mut AttemptState,
    retry_state: &mut RetryState,
    assembly: &mut Assembly,
    reason: NotRun,
) -> AttemptResult {
    state.registered = false;
    let request = job.answer.request;
    let others_wait = submissions::withdraw(entry.clone(), request).await;
    let looked_up = if job.repeatable {
        let found = records::find_record(entry, request).await;
        if let Some(Some(record)) = &found
            && !state.own_nonces.contains(&record.nonce)
        {
            return join_recorded(entry, job, state, retry_state, assembly, record).await;
        }
        found.map(|_| ())
    } else {
        let found = at_most_once::find_claim(entry, request).await;
        if let Some(Some(claim)) = found
            && !state.own_nonces.contains(&claim.nonce)
        {
            return at_most_once::join_claim(entry, job, state, retry_state, assembly, claim).await;
        }
        found.map(|_| ())
    };
    match (others_wait, looked_up) {
        (Some(false), Some(())) => finish_not_run(reason),
        _ => finish_unknown(),
    }
}

fn decide_retry(
    entry: &Entry,
    retry_state: &mut RetryState,
    failure: AttemptFailure,
) -> AttemptResult {
    let retry_allowed = entry.tables.endpoints().retry_budget.try_retry();
    let now = entry.context.clock.now();
    match retry_state.on_failure(failure, retry_allowed, now) {
        RetryDecision::Retry | RetryDecision::Resume => AttemptResult::Retry,
        RetryDecision::NotRun(reason) => finish_not_run(reason),
        RetryDecision::Unknown => finish_unknown(),
    }
}

async fn run_at(
    entry: &Entry,
    job: &Job,
    state: &mut AttemptState,
    retry_state: &mut RetryState,
    assembly: &mut Assembly,
    endpoint: &ChosenEndpoint,
) -> AttemptResult {
    let reservation = match reserve_tokens(entry, job, state).await {
        Ok(reservation) => reservation,
        Err(reason) => return finish_unsent(retry_state, reason),
    };
    state.reservation = Some(reservation);
    if job.repeatable {
        run_repeatable(entry, job, state, retry_state, assembly, endpoint).await
    } else {
        at_most_once::run_claimed(entry, job, state, retry_state, assembly, endpoint).await
    }
}

/// Reserves the maximum cost of the request, with the upper bound of the prompt's tokens
/// first and then with the closer estimate, and acquires tokens from the keeper if needed.
async fn reserve_tokens(
    entry: &Entry,
    job: &Job,
    state: &mut AttemptState,
) -> Result<Reservation, NotRun> {
    let request = job.answer.request;
    let team = job.team.id;
    let reserve = |amount| {
        let now = entry.context.clock.now();
        entry.budget.reserve(request, team, amount, now)
    };
    if let Ok(reservation) = reserve(job.max_cost()) {
        return Ok(reservation);
    }
    let prompt_count = job.prompt_count.min(job.prompt_bound);
    let amount = prompt_count.saturating_add(job.max_tokens);
    state.prompt_tokens = prompt_count;
    submissions::register(entry, job, state).await;
    let started_at = entry.context.clock.now();
    loop {
        if let Ok(reservation) = reserve(amount) {
            return Ok(reservation);
        }
        let unmet = budget::acquire_tokens(entry, team, amount).await;
        let error = match reserve(amount) {
            Ok(reservation) => return Ok(reservation),
            Err(error) => error,
        };
        // Another request may have reserved the new tokens, so more are acquired.
        let waited = entry.context.clock.now().since(started_at);
        match error {
            ReserveError::InsufficientTokens
                if unmet && budget::is_exhausted(entry, team, amount).await =>
            {
                return Err(NotRun::BudgetExceeded);
            }
            ReserveError::InsufficientTokens if waited >= BUDGET_TIMEOUT => {
                return Err(NotRun::TokensUnavailable);
            }
            ReserveError::NoLease if waited >= BUDGET_TIMEOUT => return Err(NotRun::NoLease),
            ReserveError::InsufficientTokens | ReserveError::NoLease => {}
        }
    }
}

fn build_order(
    entry: &Entry,
    job: &Job,
    state: &AttemptState,
    retry_state: &RetryState,
    assembly: &Assembly,
    agent: AgentId,
) -> Order {
    let now = entry.context.clock.now();
    let reservation = state.reservation;
    let mut work = job.work.clone();
    if let Work::Chat { prefix, .. } = &mut work {
        *prefix = String::from_utf8_lossy(assembly.bytes()).into_owned();
    }
    let lease = reservation.map_or(
        base::LeaseId {
            entry: entry.tables.id(),
            epoch: 0,
        },
        |reservation| reservation.lease,
    );
    Order {
        agent,
        request: job.answer.request,
        attempt: retry_state.attempt(),
        digest: job.answer.digest,
        team: job.team.id,
        lease,
        keeper: reservation.map_or(KeeperId(0), |reservation| reservation.keeper),
        lease_left: reservation.map_or(Span(0), |reservation| reservation.lease_left),
        prompt_tokens: state.prompt_tokens,
        max_tokens: job.max_tokens,
        prefix_tokens: Tokens(assembly.tokens()),
        time_left: retry_state.time_left(now),
        repeatable: job.repeatable,
        priority: job.team.priority,
        document_number: entry.tables.document().number,
        work,
    }
}

async fn run_repeatable(
    entry: &Entry,
    job: &Job,
    state: &mut AttemptState,
    retry_state: &mut RetryState,
    assembly: &mut Assembly,
    endpoint: &ChosenEndpoint,
) -> AttemptResult {
    let record = Record {
        request: job.answer.request,
        digest: job.answer.digest,
        attempt: retry_state.attempt(),
        agent: endpoint.agent,
        address: endpoint.address,
        nonce: fastrand::u64(1..),
    };
    // One keeper may store the record although another one has an earlier order's.
    state.record_nonces.push(record.nonce);
    state.own_nonces.push(record.nonce);
    if let Some(earlier) = records::insert_record(entry, record, &state.record_nonces).await {
        return join_recorded(entry, job, state, retry_state, assembly, &earlier).await;
    }
    let result = send_order(entry, job, state, retry_state, assembly, endpoint).await;
    if matches!(
        result,
        AttemptResult::Finished(AnswerOutcome::Failed(CallerError::NotRun(_)), _)
    ) {
        records::remove_record(entry, job.answer.request, record.nonce).await;
    }
    result
}

/// Joins a request that another entry has sent, according to its record.
async fn join_recorded(
    entry: &Entry,
    job: &Job,
    state: &mut AttemptState,
    retry_state: &mut RetryState,
    assembly: &mut Assembly,
    record: &Record,
) -> AttemptResult {
    if record.digest != job.answer.digest {
        return AttemptResult::Finished(AnswerOutcome::Failed(CallerError::KeyReused), None);
    }
    let stream_end = attach(
        entry,
        job,
        record.agent,
        record.address,
        retry_state,
        assembly,
    )
    .await;
    match stream_end {
        StreamEnd::Complete(end) => {
            // The request is billed to the lease under which it runs.
            release_reservation(entry, job, state);
            AttemptResult::Finished(AnswerOutcome::Complete(end), None)
        }
        StreamEnd::Refused(Refusal::BodyMismatch) => {
            AttemptResult::Finished(AnswerOutcome::Failed(CallerError::KeyReused), None)
        }
        _ if state.joins < MAX_JOINS => {
            state.joins += 1;
            state.record_nonces.push(record.nonce);
            state.excluded_endpoints.push(record.agent.endpoint);
            AttemptResult::Retry
        }
        _ => finish_unknown(),
    }
}

fn release_reservation(entry: &Entry, job: &Job, state: &mut AttemptState) {
    if state.reservation.take().is_some() {
        entry.budget.release(job.answer.request);
    }
}

async fn attach(
    entry: &Entry,
    job: &Job,
    agent: AgentId,
    address: SocketAddr,
    retry_state: &RetryState,
    assembly: &mut Assembly,
) -> StreamEnd {
    let stream_request = StreamRequest::Attach {
        request: job.answer.request,
        digest: job.answer.digest,
        attempt: retry_state.attempt(),
        offset: assembly.bytes().len() as u64,
    };
    assembly.set_attempt(retry_state.attempt());
    let mut end =
        stream::receive_answer(entry, job, address, stream_request.clone(), assembly).await;
    for _ in 0..MAX_ATTACH_RETRIES {
        if !matches!(end, StreamEnd::Refused(Refusal::NotFound)) {
            return end;
        }
        // The entry that made the record or claim may still be sending the order.
        Timer::after(ATTACH_RETRY_DELAY).await;
        end = stream::receive_answer(entry, job, address, stream_request.clone(), assembly).await;
    }
    if !matches!(end, StreamEnd::Refused(Refusal::NotFound)) {
        return end;
    }
    // An order may still be in transit. Once the agent has revoked the request, it is
    // certain that the order will not run.
    let message = PeerRequest::Revoke(agent, job.answer.request);
    match entry.node.request(address, message, KEEPER_TIMEOUT).await {
        Ok(PeerResponse::Revoked(true)) => StreamEnd::Refused(Refusal::Cancelled),
        Ok(_) | Err(_) => end,
    }
}

/// Sends an order and receives the answer, resuming the stream if it breaks.
async fn send_order(
    entry: &Entry,
    job: &Job,
    state: &mut AttemptState,
    retry_state: &mut RetryState,
    assembly: &mut Assembly,
    endpoint: &ChosenEndpoint,
) -> AttemptResult {
    let order = build_order(entry, job, state, retry_state, assembly, endpoint.agent);
    let sent_at = entry.context.clock.now();
    assembly.set_attempt(order.attempt);
    let stream_request = StreamRequest::Run(Box::new(order));
    let mut end =
        stream::receive_answer(entry, job, endpoint.address, stream_request, assembly).await;
    loop {
        let failure = match end {
            StreamEnd::Complete(end) => {
                record_first_token(entry, job, endpoint, sent_at);
                return AttemptResult::Finished(AnswerOutcome::Complete(end.clone()), Some(end));
            }
            StreamEnd::Incomplete(end) if end.finish_reason == FinishReason::Cancelled => {
                return AttemptResult::Finished(
                    AnswerOutcome::Failed(CallerError::OutcomeUnknown),
                    Some(end),
                );
            }
            StreamEnd::Incomplete(end) if end.finish_reason == FinishReason::NotRun => {
                AttemptFailure::Refused(Refusal::Unreachable)
            }
            StreamEnd::Incomplete(_) => AttemptFailure::EndpointFailed,
            StreamEnd::Refused(refusal) => AttemptFailure::Refused(refusal),
            StreamEnd::Lost => AttemptFailure::StreamBroken,
            StreamEnd::NotSent => AttemptFailure::NotSent,
        };
        if !assembly.bytes().is_empty() {
            retry_state.note_progress();
        }
        let now = entry.context.clock.now();
        if failure == AttemptFailure::Refused(Refusal::Cancelled) && state.joins < MAX_JOINS {
            // Another entry has taken the request over. The next attempt finds it by its
            // record or claim.
            state.joins += 1;
            return AttemptResult::Retry;
        }
        if !matches!(failure, AttemptFailure::Refused(_))
            || failure == AttemptFailure::Refused(Refusal::Unreachable)
        {
            entry
                .tables
                .endpoints()
                .table
                .record_failure(endpoint.slot, now);
        }
        let retry_allowed = entry.tables.endpoints().retry_budget.try_retry();
        match retry_state.on_failure(failure, retry_allowed, now) {
            RetryDecision::Resume => {
                end = resume_stream(entry, job, retry_state, assembly, endpoint).await;
            }
            RetryDecision::Retry => {
                state.excluded_endpoints.push(endpoint.agent.endpoint);
                return AttemptResult::Retry;
            }
            RetryDecision::NotRun(reason) => return finish_not_run(reason),
            RetryDecision::Unknown => return finish_unknown(),
        }
    }
}

/// Resumes a broken stream at the same agent.
async fn resume_stream(
    entry: &Entry,
    job: &Job,
    retry_state: &mut RetryState,
    assembly: &mut Assembly,
    endpoint: &ChosenEndpoint,
) -> StreamEnd {
    let end = attach(
        entry,
        job,
        endpoint.agent,
        endpoint.address,
        retry_state,
        assembly,
    )
    .await;
    match end {
        // The agent is unreachable or no longer knows the request. Neither is a refusal
        // of the order that was sent before.
        StreamEnd::NotSent | StreamEnd::Refused(Refusal::NotFound) => StreamEnd::Lost,
        other => other,
    }
}

fn record_first_token(entry: &Entry, job: &Job, endpoint: &ChosenEndpoint, sent_at: Time) {
    let document = entry.tables.document();
    let target = Span::millis(document.objective.first_ms);
    let now = entry.context.clock.now();
    let first = job.answer.first_at().unwrap_or(now);
    let mut endpoints = entry.tables.endpoints();
    endpoints
        .table
        .record_first_token(endpoint.slot, first.since(sent_at), target);
}

/// Returns the digest that two requests with the same idempotency key have to share.
#[must_use]
pub fn request_digest(path: &str, body: &[u8]) -> Digest {
    let mut bytes = path.as_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(body);
    Digest::of(&bytes)
}
