//! Forwards one request: admission, budget charge, engine selection, attempts and
//! retries, response, settlement.
//!
//! Its inputs are a request and its caller's connection.
//!
//! - [`answer`]: the head of an engine's answer, if it's about the request.
//! - [`availability`]: what engines say of themselves, and whether they take requests.
//! - [`cancellation`]: cancels a request at its engine.
//! - [`charging`]: charges a request to its team's budget.
//! - [`crashes`]: requests whose engine crashed.
//! - [`guards`]: guards that release a charge and an engine's load when dropped.
//! - [`rejection`]: the causes for which the gateway rejects a request.
//! - [`reply`]: the response to the caller, with one head.
//! - [`response`]: an engine's response, buffered or streamed to the caller.
//! - [`selection`]: the engine for an attempt, and the wait for room at one.

mod answer;
mod availability;
mod cancellation;
mod charging;
mod crashes;
mod guards;
mod rejection;
mod reply;
mod response;
mod selection;

use std::io;
use std::sync::Arc;

use async_io::Timer;
use base::Span;
use base::Time;
use config::site::RetryPolicy;
use config::site::Route;
use config::site::SiteIndex;
use futures_lite::FutureExt as _;
use futures_lite::future;
use http::RequestHead;
use http::ResponseHead;
use platform::headers;
use platform::headers::UpstreamRequest;
use routing::RequestMetadata;
use routing::admission::Shutdown;
use routing::directory::EngineAnnouncement;
use routing::placement::EngineChoice;

use self::cancellation::AbandonedConn;
use self::cancellation::EngineConn;
use self::guards::ChargeGuard;
use self::guards::DispatchGuard;
use self::rejection::RejectionCause;
use self::reply::CallerReply;
use crate::conn::Conn;
use crate::conn::Pipelined;
use crate::connection_pool;
use crate::state::ProcessContext;

/// Timeout of a request that states none.
const DEFAULT_TIMEOUT: Span = Span::millis(30_000);

/// Maximum number of engines that are tried for one request; it's rejected if none of
/// them executed it.
const MAX_TRIED_ENGINES: usize = 3;

/// Fraction of the remaining time after which a request without a response is sent to
/// another endpoint, if it may be retried.
const ATTEMPT_TIMEOUT_FRACTION: f64 = 0.45;

/// A complete request.
pub struct Request {
    /// The request head.
    pub head: RequestHead,
    /// The body.
    pub body: Vec<u8>,
    /// The values of its headers that the gateway uses.
    pub metadata: RequestMetadata,
    /// When reading the request began.
    pub arrived_at: Time,
    /// Whether the connection is closed after the response.
    pub close: bool,
}

/// The outcome of a request, for the connection to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response was sent; the connection can be reused.
    Complete,
    /// A complete response was sent which states that the connection is closed.
    CompleteAndClose,
    /// The connection must be closed so that the response is visibly incomplete.
    Aborted,
}

/// The outcome of one attempt at an engine.
enum AttemptOutcome {
    /// The complete response was sent to the caller.
    Complete,
    /// The caller's connection must be closed.
    Aborted,
    /// The engine did not execute the request.
    NotExecuted,
    /// The engine could not be reached; nothing was sent.
    Unreachable,
    /// The engine failed; it may have executed the request. The caller has received
    /// nothing or only complete events.
    Failed,
    /// The engine returned a server error, which is sent to the caller if no other engine
    /// responds.
    ErrorResponse(ResponseHead, Vec<u8>),
    /// No response arrived in time; another engine is tried if the request may be retried.
    TimedOut,
}

/// Whether the connection to an engine can be reused for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionReuse {
    /// It must be closed.
    Close,
    /// It can be reused for the keep-alive timeout that the engine states, in seconds.
    KeepAlive(Option<u64>),
}

/// The state of one request while it's forwarded.
struct RequestForwarder<'a> {
    shared: &'a Arc<ProcessContext>,
    request: &'a Request,
    route: &'a Route,
    service: &'a str,
    team: Option<&'a str>,
    priority: u8,
    /// The home regions of the route and of the team.
    homes: [&'a [String]; 2],
    /// The number of tokens per event.
    event_tokens: u64,
    deadline: Time,
    /// The response to the caller.
    reply: &'a mut CallerReply,
    /// The identifier of the last event that the caller has received.
    last_event: Option<String>,
    event_count: u64,
    /// Whether an answer without events is sent to the caller as a success.
    eventless_answer: bool,
    tried_engines: Vec<u64>,
    /// Whether the last engine closed its connection before it had answered.
    engine_closed: bool,
    /// The number of attempts that engines may have executed.
    execution_count: u32,
    /// When the first event arrived.
    first_event: Option<Time>,
    /// The charge, if the team has a prepaid budget.
    charge: Option<ChargeGuard<'a>>,
    /// Receives the connection to the engine if the request is dropped.
    abandoned: AbandonedConn,
    /// Whether the connection to the engine can be reused.
    reuse: ConnectionReuse,
}

/// How the work on a request ended.
enum WorkEnd {
    /// With its outcome.
    Done(RequestOutcome),
    /// The caller closed its connection.
    CallerLeft,
    /// This process has reached the end of its grace period.
    ProcessStops,
}

/// Handles `request` and writes the response to its caller's connection.
pub async fn handle_request(
    shared: &Arc<ProcessContext>,
    request: &Request,
    caller: &mut Conn,
) -> RequestOutcome {
    let mut pipelined = Pipelined::default();
    let mut reply = CallerReply::new(request.close);
    let end = {
        let conn = &*caller;
        let work = async { WorkEnd::Done(respond(shared, request, &mut reply, conn).await) };
        let disconnected = async {
            conn.wait_closed(&mut pipelined).await;
            WorkEnd::CallerLeft
        };
        let stopped = async {
            shared.work_ended().await;
            WorkEnd::ProcessStops
        };
        disconnected.or(work).or(stopped).await
    };
    caller.buf.extend_from_slice(&pipelined.bytes);
    match end {
        WorkEnd::Done(RequestOutcome::Complete) if pipelined.cut => {
            RequestOutcome::CompleteAndClose
        }
        WorkEnd::Done(outcome) => outcome,
        WorkEnd::CallerLeft => {
            shared.metrics.record_caller_left();
            let id = request.metadata.id.as_deref().unwrap_or("-");
            let elapsed_ms = request.arrived_at.until(shared.now()).as_millis();
            log::info!("request: id={id} event=end outcome=caller_left ms={elapsed_ms}");
            RequestOutcome::Aborted
        }
        WorkEnd::ProcessStops => {
            let cause = RejectionCause::Interrupted;
            reject(shared, request, cause, &mut reply, caller).await
        }
    }
}

async fn respond(
    shared: &Arc<ProcessContext>,
    request: &Request,
    reply: &mut CallerReply,
    caller: &Conn,
) -> RequestOutcome {
    let (site, is_current, overdue) = {
        let state = shared.state();
        let overdue = state.is_config_overdue(&shared.settings, shared.now());
        let is_current = state.held_config.is_current();
        (state.site_index.clone(), is_current, overdue)
    };
    let outcome = match &site {
        None => Err(RejectionCause::Unconfigured),
        Some(_) if overdue => Err(RejectionCause::StaleConfig),
        Some(site) => admit(shared, site, request, reply, caller).await,
    };
    let cause = match outcome {
        Ok(outcome) => return outcome,
        // Only the latest configuration shows that a route or a key doesn't exist.
        Err(cause) if cause.is_denial() && !is_current => RejectionCause::StaleConfig,
        Err(cause) => cause,
    };
    reject(shared, request, cause, reply, caller).await
}

/// Answers with a rejection, unless a part of an answer was sent.
async fn reject(
    shared: &ProcessContext,
    request: &Request,
    cause: RejectionCause,
    reply: &mut CallerReply,
    caller: &Conn,
) -> RequestOutcome {
    let elapsed_ms = request.arrived_at.until(shared.now()).as_millis();
    let remaining_ms = request
        .metadata
        .timeout_ms
        .unwrap_or(1_000)
        .saturating_sub(elapsed_ms);
    let retry_after_ms = cause.retry_after_ms(remaining_ms);
    // Closing the connection makes the caller send its next request to another process.
    let close = request.close || cause.closes_connection();
    let id = request.metadata.id.as_deref();
    let site = shared.state().site_index.clone();
    shared.metrics.record_rejected(cause.status());
    log::info!(
        "request: id={} event=end outcome=refused status={} reason=\"{}\" cause={cause:?} ms={elapsed_ms} left_ms={remaining_ms} after_ms={} prompt={} team={}",
        id.unwrap_or("-"),
        cause.status(),
        cause.reason().trim_end(),
        retry_after_ms.unwrap_or(0),
        request.metadata.prompt_tokens,
        site.as_deref()
            .and_then(|site| site.team(request.metadata.api_key.as_deref()?))
            .map_or("-", |team| team.name.as_str())
    );
    let mut out = Vec::with_capacity(256);
    let rejection = headers::Rejection {
        status: cause.status(),
        reason: cause.reason(),
        id,
        retry_after_ms,
        close,
    };
    let Some(unsent) = reply.unsent_head() else {
        return RequestOutcome::Aborted;
    };
    unsent.write_rejection(&mut out, &rejection);
    match caller.write_all(&out).await {
        Ok(()) if close => RequestOutcome::CompleteAndClose,
        Ok(()) => RequestOutcome::Complete,
        Err(_) => RequestOutcome::Aborted,
    }
}

async fn admit(
    shared: &Arc<ProcessContext>,
    site: &SiteIndex,
    request: &Request,
    reply: &mut CallerReply,
    caller: &Conn,
) -> Result<RequestOutcome, RejectionCause> {
    let head = &request.head;
    let route = site
        .route(head.host(), head.path())
        .ok_or(RejectionCause::NoRoute)?;
    let team = match &request.metadata.api_key {
        _ if route.allows_anonymous || !site.requires_keys() => None,
        Some(key) => Some(site.team(key).ok_or(RejectionCause::InvalidKey)?),
        None => return Err(RejectionCause::InvalidKey),
    };
    let service = route
        .pick_target(fastrand::u64(..))
        .ok_or(RejectionCause::NoEngine)?;
    let timeout = request
        .metadata
        .timeout_ms
        .map_or(DEFAULT_TIMEOUT, Span::millis);
    let timeout = Span::millis(route.timeout_ms).min(timeout);
    let deadline = request.arrived_at + timeout;
    if let Some(stopped_at) = shared.stopped_at() {
        let shutdown = Shutdown {
            elapsed: stopped_at.until(request.arrived_at),
            grace: shared.grace_period(),
        };
        let must_finish = route.retry_policy == RetryPolicy::AtMostOnce && !route.is_streaming;
        if !shutdown.accepts(request.arrived_at.until(deadline), must_finish) {
            return Err(RejectionCause::Stopping);
        }
    }
    let backend = site.service(service).and_then(|s| s.backend.as_ref());
    let mut forwarder = RequestForwarder {
        shared,
        request,
        route,
        service,
        team: team.map(|team| team.name.as_str()),
        priority: team
            .and_then(|team| team.priority)
            .unwrap_or(route.priority),
        homes: [&route.homes, team.map_or(&[], |team| &team.homes)],
        event_tokens: backend.map_or(1, |backend| u64::from(backend.event_tokens)),
        deadline,
        reply,
        last_event: request.metadata.last_event.clone(),
        event_count: 0,
        eventless_answer: false,
        tried_engines: Vec::new(),
        engine_closed: false,
        execution_count: 0,
        first_event: None,
        charge: None,
        abandoned: AbandonedConn::default(),
        reuse: ConnectionReuse::Close,
    };
    let segments = &request.metadata.segments;
    let blocked = shared
        .state()
        .crash_suspects
        .blocked_segment(segments, request.arrived_at);
    if let Some(segment) = blocked {
        return Err(RejectionCause::BlockedSegment(segment));
    }
    let prepaid_team =
        team.filter(|team| team.budget.is_some() && request.metadata.max_tokens() > 0);
    if let Some(team) = prepaid_team {
        forwarder.charge = Some(forwarder.charge_budget(&team.name).await?);
    }
    forwarder.forward(caller).await
}

impl RequestForwarder<'_> {
    fn remaining(&self) -> Span {
        self.shared.now().until(self.deadline)
    }

    /// Sends the request to engines until one responds or it must be rejected.
    async fn forward(&mut self, caller: &Conn) -> Result<RequestOutcome, RejectionCause> {
        let mut error_response = None;
        self.record_request();
        loop {
            let is_retry = !self.tried_engines.is_empty();
            if is_retry && !self.acquire_retry() {
                return self.finish_unanswered(error_response, caller).await;
            }
            self.await_view().await;
            let selected = if is_retry {
                self.select_retry_engine()
            } else {
                self.select_or_wait().await
            };
            let (choice, engine) = match selected {
                Ok(selected) => selected,
                Err(cause) if !is_retry => return Err(cause),
                Err(_) => return self.finish_unanswered(error_response, caller).await,
            };
            self.tried_engines.push(choice.engine);
            let outcome = self.send_to_engine(&choice, &engine, caller).await;
            if !matches!(
                outcome,
                AttemptOutcome::NotExecuted | AttemptOutcome::Unreachable
            ) {
                self.execution_count += 1;
            }
            self.update_charge(false);
            let id = self.request.metadata.id.as_deref().unwrap_or("-");
            match outcome {
                AttemptOutcome::Complete => {
                    self.set_charge(self.answered_work());
                    self.record_answer();
                    self.log_completed(&engine);
                    return Ok(RequestOutcome::Complete);
                }
                AttemptOutcome::Aborted => {
                    self.log_aborted(&engine.id);
                    return Ok(RequestOutcome::Aborted);
                }
                AttemptOutcome::NotExecuted => {
                    log::info!(
                        "request: id={id} event=try outcome=not_run engine={}",
                        engine.id
                    );
                }
                AttemptOutcome::Unreachable => {
                    log::info!(
                        "request: id={id} event=try outcome=unreached engine={}",
                        engine.id
                    );
                }
                AttemptOutcome::Failed | AttemptOutcome::TimedOut => {
                    log::info!(
                        "request: id={id} event=try outcome=failed engine={} events={} closed={} left_ms={}",
                        engine.id,
                        self.event_count,
                        self.engine_closed,
                        self.remaining().as_millis()
                    );
                    let is_suspect = self.engine_closed && self.event_count == 0;
                    if is_suspect {
                        self.record_crash(choice.engine);
                    }
                    if !self.may_execute_again() || (is_suspect && !self.is_proven()) {
                        return self.finish_unanswered(error_response, caller).await;
                    }
                }
                AttemptOutcome::ErrorResponse(head, body) => {
                    log::info!(
                        "request: id={id} event=try outcome=error engine={} status={}",
                        engine.id,
                        head.status
                    );
                    error_response = Some((head, body));
                    if !self.may_execute_again() {
                        return self.finish_unanswered(error_response, caller).await;
                    }
                }
            }
        }
    }

    /// Logs a response that is aborted before its end; `engine` is the last engine tried.
    fn log_aborted(&self, engine: &str) {
        let elapsed_ms = self.request.arrived_at.until(self.shared.now()).as_millis();
        self.shared.metrics.record_cut();
        log::info!(
            "request: id={} event=end outcome=cut engine={engine} tries={} events={} ms={elapsed_ms}",
            self.request.metadata.id.as_deref().unwrap_or("-"),
            self.tried_engines.len(),
            self.event_count
        );
    }

    fn log_completed(&self, engine: &EngineAnnouncement) {
        let now = self.shared.now();
        let elapsed_ms = self.request.arrived_at.until(now).as_millis();
        let first_ms = self.first_event.map_or(elapsed_ms, |at| {
            self.request.arrived_at.until(at).as_millis()
        });
        log::info!(
            "request: id={} event=end outcome=answered route={} engine={} tries={} events={} first_ms={first_ms} ms={elapsed_ms}",
            self.request.metadata.id.as_deref().unwrap_or("-"),
            self.route.name,
            engine.id,
            self.tried_engines.len(),
            self.event_count
        );
    }

    fn record_request(&self) {
        let now = self.shared.now();
        self.shared
            .state()
            .retry_budget
            .record_request(self.service, now);
    }

    /// Returns whether another engine may execute the request.
    fn may_execute_again(&self) -> bool {
        self.execution_count < self.route.max_attempts
            && match self.route.retry_policy {
                RetryPolicy::Idempotent => !self.reply.head_sent(),
                RetryPolicy::ResumeStream => !self.reply.head_sent() || self.last_event.is_some(),
                RetryPolicy::AtMostOnce => false,
            }
    }

    /// Returns whether the request may be sent again, and takes that retry from the shared
    /// retry budget.
    fn acquire_retry(&self) -> bool {
        let now = self.shared.now();
        if self.tried_engines.len() >= MAX_TRIED_ENGINES || now >= self.deadline {
            return false;
        }
        let mut state = self.shared.state();
        let entry_count = state.count_entries(now);
        state.retry_budget.try_retry(self.service, entry_count, now)
    }

    /// Ends a request for which no further engine is tried; `error_response` is the last
    /// server error from an engine.
    async fn finish_unanswered(
        &mut self,
        error_response: Option<(ResponseHead, Vec<u8>)>,
        caller: &Conn,
    ) -> Result<RequestOutcome, RejectionCause> {
        if self.reply.head_sent() {
            self.log_aborted("none_left");
            return Ok(RequestOutcome::Aborted);
        }
        if let Some((head, body)) = error_response {
            return Ok(self.write_response(&head, &body, caller).await);
        }
        if self.execution_count == 0 {
            let paused = self.pause_left_ms().map(RejectionCause::EnginesPaused);
            return Err(paused.unwrap_or(RejectionCause::NotRun));
        }
        if self.remaining() == Span(0) {
            return Err(RejectionCause::DeadlineExceeded { sent: true });
        }
        Err(RejectionCause::Unknown)
    }

    async fn send_to_engine(
        &mut self,
        choice: &EngineChoice,
        engine: &EngineAnnouncement,
        caller: &Conn,
    ) -> AttemptOutcome {
        let mut guard = DispatchGuard {
            shared: self.shared,
            service: self.service,
            choice: *choice,
            engine,
            load: choice.load,
            sent: false,
            failed: false,
        };
        let now = self.shared.now();
        // Without an identifier, a late answer to an earlier request couldn't be told apart.
        let idle_conn = self.request.metadata.id.as_ref().and_then(|_| {
            let mut state = self.shared.state();
            state.connections.acquire(engine.address, now)
        });
        let conn = match idle_conn {
            Some(conn) => conn,
            None => {
                match Conn::connect(
                    engine.address,
                    connection_pool::CONNECT_TIMEOUT.min(self.remaining().into()),
                )
                .await
                {
                    // What was learned of the engine while connecting counts.
                    Ok(_) if !self.accepts_request(choice.engine, engine) => {
                        return AttemptOutcome::Unreachable;
                    }
                    Ok(conn) => conn,
                    Err(error) => {
                        self.record_unreachable(choice.engine, engine, &error);
                        return AttemptOutcome::Unreachable;
                    }
                }
            }
        };
        let mut conn = EngineConn::new(conn, self.abandoned.clone());
        let mut out = Vec::with_capacity(1_024);
        let upstream = UpstreamRequest {
            engine: &engine.id,
            timeout_ms: self.remaining().as_millis().max(1),
            team: self.team,
            priority: Some(self.priority.min(9)),
            last_event: self.last_event.as_deref(),
            body_length: self.request.body.len(),
        };
        headers::write_request(&mut out, &self.request.head, &upstream);
        let sent_at = self.shared.now();
        guard.record_sent(sent_at);
        self.update_charge(true);
        self.reuse = ConnectionReuse::Close;
        self.engine_closed = false;
        let mut fully_sent = false;
        let timeout = self.attempt_timeout();
        let timed_out = async {
            Timer::after(timeout.into()).await;
            None
        };
        let writer = conn.writer();
        // An engine may respond before it has received the whole body, and interim responses
        // may come meanwhile.
        let writing = async {
            let written = writer.write_message(out, &self.request.body).await;
            fully_sent = written.is_ok();
            future::pending().await
        };
        let reading = async {
            let outcome = self.read_response(&mut conn, &mut guard, sent_at, caller);
            Some(outcome.await)
        };
        let outcome = writing
            .or(reading)
            .or(timed_out)
            .await
            .unwrap_or(AttemptOutcome::TimedOut);
        let conn = conn.into_inner();
        if let ConnectionReuse::KeepAlive(idle_s) = self.reuse
            && fully_sent
        {
            let now = self.shared.now();
            let mut state = self.shared.state();
            if !state.directory.has_left(engine) {
                state.connections.release(engine.address, conn, idle_s, now);
            }
        }
        guard.failed = matches!(
            outcome,
            AttemptOutcome::Failed
                | AttemptOutcome::ErrorResponse(..)
                | AttemptOutcome::TimedOut
                | AttemptOutcome::NotExecuted
        );
        if matches!(outcome, AttemptOutcome::NotExecuted) {
            let now = self.shared.now();
            let mut state = self.shared.state();
            if let Some(pool) = state.engine_pools.get_mut(self.service) {
                pool.record_unavailable(choice.engine, now);
            }
        }
        outcome
    }

    /// Returns the timeout of an attempt: the remaining time, or a fraction of it if the
    /// request may be retried.
    fn attempt_timeout(&self) -> Span {
        let remaining = self.remaining();
        let may_retry = self.execution_count + 1 < self.route.max_attempts
            && self.route.retry_policy != RetryPolicy::AtMostOnce;
        if may_retry && !self.route.is_streaming {
            #[allow(
                clippy::cast_precision_loss,
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss
            )]
            let timeout = (remaining.0 as f64 * ATTEMPT_TIMEOUT_FRACTION) as u64;
            return Span(timeout);
        }
        remaining
    }

    fn record_unreachable(&self, key: u64, engine: &EngineAnnouncement, error: &io::Error) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        if let Some(pool) = state.engine_pools.get_mut(self.service) {
            pool.record_unavailable(key, now);
        }
        self.presume_cold(&mut state, key, now);
        drop(state);
        log::warn!(
            "engine: event=unreachable engine={} address={} reason=\"{error}\"",
            engine.id,
            engine.address
        );
    }
}
