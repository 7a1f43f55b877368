//! One request's way: admitted, charged, placed, sent, relayed, settled.
//!
//! - [`guards`]: a charge and a load, given back however a request ends.
//! - [`reading`]: an engine's answer, held or passed on as it arrives.
//! - [`refusal`]: why a request isn't answered by an engine.

mod guards;
mod reading;
mod refusal;

use std::io;
use std::sync::Arc;

use async_io::Timer;
use base::Span;
use base::Time;
use config::site::RetryPolicy;
use config::site::Route;
use config::site::SiteIndex;
use futures_lite::FutureExt as _;
use http::RequestHead;
use http::ResponseHead;
use ledger::grants::ChargeError;
use platform::headers;
use platform::headers::UpstreamRequest;
use routing::RequestMetadata;
use routing::admission;
use routing::directory::EngineAnnouncement;
use routing::placement::EngineChoice;
use routing::placement::PlacementError;
use routing::placement::PlacementRequest;

use self::guards::Charge;
use self::guards::Flight;
use self::refusal::Refuse;
use crate::conn::Conn;
use crate::connection_pool;
use crate::state::ProcessContext;

/// Patience of a caller who names none.
const DEFAULT_PATIENCE: Span = Span::millis(30_000);

/// Longest wait for a grant: a commit takes some ten milliseconds, an election about
/// a second.
const GRANT_WAIT: Span = Span::millis(350);

/// Longest wait for a loan, where the ledger doesn't answer or others hold all that is
/// left: some peers are asked, one after the other, and once more.
const BORROW_WAIT: Span = Span::millis(120);

/// Engines that are tried for one request before it's refused, where none ran it.
const MOST_TRIES: usize = 3;

/// Events that may be on their way when a stream is cut, counted as delivered.
const IN_FLIGHT: u64 = 2;

/// Part of the time left after which a request without an answer is sent to another
/// endpoint, where it may be repeated.
const STALL_PART: f64 = 0.45;

/// A request that has been read.
pub struct Request {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Vec<u8>,
    /// What it says of itself.
    pub call: RequestMetadata,
    /// When its head was read.
    pub arrived: Time,
    /// Whether the connection closes after the answer.
    pub close: bool,
}

/// How a request ended, for its caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer was sent; the connection can go on.
    Answered,
    /// A whole answer was sent that says that the connection closes.
    Last,
    /// The connection must be closed without looking complete.
    Cut,
}

/// What came of one send.
enum Sent {
    /// The caller has the whole answer.
    Done,
    /// The caller's connection must be closed.
    Cut,
    /// The engine didn't run the request.
    NotRun,
    /// The engine couldn't be reached: nothing was sent.
    Unreached,
    /// The engine failed; it may have run the request. The caller has nothing yet,
    /// or only whole events.
    Failed,
    /// The engine answered with a failure of its own, which is kept.
    Refused(ResponseHead, Vec<u8>),
    /// No answer came; where it may be repeated, another engine is tried.
    Stalled,
}

/// Whether an engine's connection can be used for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reuse {
    /// It can't.
    No,
    /// It can, for as many seconds as the engine says.
    For(Option<u64>),
}

/// One request on its way.
struct Way<'a> {
    shared: &'a ProcessContext,
    request: &'a Request,
    route: &'a Route,
    service: &'a str,
    team: Option<&'a str>,
    urgency: u8,
    stride: u64,
    deadline: Time,
    /// Whether the head of an answer was sent to the caller.
    begun: bool,
    /// The last event that the caller has.
    last_event: Option<String>,
    events: u64,
    tried: Vec<u64>,
    ran: u32,
    first: Option<Time>,
    /// The charge, where the team's tokens are prepaid.
    charge: Option<Charge<'a>>,
    /// Whether the engine's connection can be used again.
    reuse: Reuse,
}

/// Answers `request` on its caller's connection.
pub async fn answer(shared: &Arc<ProcessContext>, request: &Request, caller: &mut Conn) -> End {
    let mut ahead = Vec::new();
    let end = {
        let conn = &*caller;
        let work = async { Some(drive(shared, request, conn).await) };
        let gone = async {
            conn.closed(&mut ahead).await;
            None
        };
        gone.or(work).await
    };
    caller.buf.extend_from_slice(&ahead);
    let id = request.call.id.as_deref().unwrap_or("-");
    let took = request.arrived.until(shared.now()).as_millis();
    end.unwrap_or_else(|| {
        shared.meter.left();
        log::info!("request: id={id} event=end outcome=caller_left ms={took}");
        End::Cut
    })
}

async fn drive(shared: &ProcessContext, request: &Request, caller: &Conn) -> End {
    let table = shared.state().site_index.clone();
    let outcome = match &table {
        None => Err(Refuse::Unconfigured),
        Some(table) => admit(shared, table, request, caller).await,
    };
    let refuse = match outcome {
        Ok(end) => return end,
        Err(refuse) => refuse,
    };
    let now = shared.now();
    let spent = request.arrived.until(now).as_millis();
    let left = request
        .call
        .timeout_ms
        .unwrap_or(1_000)
        .saturating_sub(spent);
    let after = refuse
        .room_ms()
        .map(|room| admission::retry_after_ms(room, left));
    // The caller's next request goes to another process.
    let close = request.close || refuse == Refuse::Unwitnessed;
    let id = request.call.id.as_deref();
    shared.meter.refused(refuse.status());
    log::info!(
        "request: id={} event=end outcome=refused status={} reason=\"{}\" cause={refuse:?} ms={spent} left_ms={left} after_ms={} prompt={}",
        id.unwrap_or("-"),
        refuse.status(),
        refuse.reason().trim_end(),
        after.unwrap_or(0),
        request.call.prompt_tokens
    );
    let mut out = Vec::with_capacity(256);
    let refusal = headers::Rejection {
        status: refuse.status(),
        reason: refuse.reason(),
        id,
        retry_after_ms: after,
        close,
    };
    headers::write_rejection(&mut out, &refusal);
    match caller.write(&out).await {
        Ok(()) if close => End::Last,
        Ok(()) => End::Answered,
        Err(_) => End::Cut,
    }
}

async fn admit(
    shared: &ProcessContext,
    table: &SiteIndex,
    request: &Request,
    caller: &Conn,
) -> Result<End, Refuse> {
    let head = &request.head;
    let route = table
        .route(head.host(), head.path())
        .ok_or(Refuse::NoRoute)?;
    let team = match &request.call.api_key {
        _ if route.allows_anonymous || !table.requires_keys() => None,
        Some(key) => Some(table.team(key).ok_or(Refuse::NoKey)?),
        None => return Err(Refuse::NoKey),
    };
    let service = route
        .pick_target(fastrand::u64(..))
        .ok_or(Refuse::Nowhere)?;
    let patience = request
        .call
        .timeout_ms
        .map_or(DEFAULT_PATIENCE, Span::millis);
    let limit = Span::millis(route.timeout_ms).min(patience);
    let deadline = request.arrived + limit;
    if let Some(stopped) = shared.stopped_at() {
        let since = stopped.until(request.arrived);
        let left = request.arrived.until(deadline);
        if !admission::accepts_during_shutdown(since, left, shared.grace_period()) {
            return Err(Refuse::Stopping);
        }
    }
    let backend = table.service(service).and_then(|s| s.backend.as_ref());
    let mut way = Way {
        shared,
        request,
        route,
        service,
        team: team.map(|team| team.name.as_str()),
        urgency: team
            .and_then(|team| team.priority)
            .unwrap_or(route.priority),
        stride: backend.map_or(1, |backend| u64::from(backend.event_tokens)),
        deadline,
        begun: false,
        last_event: request.call.last_event.clone(),
        events: 0,
        tried: Vec::new(),
        ran: 0,
        first: None,
        charge: None,
        reuse: Reuse::No,
    };
    let paid = team.filter(|team| team.budget.is_some() && request.call.max_tokens() > 0);
    if let Some(team) = paid {
        way.charge = Some(way.take_charge(&team.name).await?);
    }
    way.run(caller).await
}

impl<'a> Way<'a> {
    fn left(&self) -> Span {
        self.shared.now().until(self.deadline)
    }

    /// Charges the request at its most; waits for a grant where the grants are short.
    async fn take_charge(&self, team: &str) -> Result<Charge<'a>, Refuse> {
        let most = self.request.call.max_tokens();
        let began = self.shared.now();
        let mut give_up = began + GRANT_WAIT;
        loop {
            let listener = self.shared.grants_changed.listen();
            let now = self.shared.now();
            let hopeless;
            let charged = {
                let mut state = self.shared.state();
                let charged = state.grants.charge(team, most, now);
                hopeless = !state.ledger_reachable;
                charged.map(|()| state.grants.lease_id())
            };
            match charged {
                Ok(lease) => {
                    return Ok(Charge {
                        shared: self.shared,
                        lease,
                        team: team.to_owned(),
                        most,
                        used: 0,
                    });
                }
                Err(ChargeError::Exhausted) => return Err(Refuse::Budget),
                Err(ChargeError::NoWitness) => return Err(Refuse::Unwitnessed),
                Err(short) => {
                    let borrows = short == ChargeError::HeldByOthers
                        || (short == ChargeError::AwaitingGrant && hopeless);
                    if borrows {
                        give_up = give_up.min(began + BORROW_WAIT);
                    }
                    if now >= give_up || now >= self.deadline {
                        return Err(Refuse::Grant(short));
                    }
                }
            }
            self.shared.grants_needed.notify(usize::MAX);
            let late = async {
                Timer::after(now.until(give_up).into()).await;
            };
            listener.or(late).await;
        }
    }

    /// Sends the request to engines until it's answered or must be refused.
    async fn run(&mut self, caller: &Conn) -> Result<End, Refuse> {
        let mut kept = None;
        self.note_first();
        loop {
            let again = !self.tried.is_empty();
            if again && !self.may_repeat() {
                return self.give_up(kept, caller).await;
            }
            let placed = self.place();
            let (choice, engine) = match placed {
                Ok(placed) => placed,
                Err(full) if !again => return Err(full),
                Err(_) => return self.give_up(kept, caller).await,
            };
            self.tried.push(choice.engine);
            let outcome = self.send(&choice, &engine, caller).await;
            if !matches!(outcome, Sent::NotRun | Sent::Unreached) {
                self.ran += 1;
            }
            self.note_use(false);
            let id = self.request.call.id.as_deref().unwrap_or("-");
            match outcome {
                Sent::Done => {
                    self.log_done(&engine);
                    return Ok(End::Answered);
                }
                Sent::Cut => {
                    self.log_cut(&engine.id);
                    return Ok(End::Cut);
                }
                Sent::NotRun => {
                    log::info!(
                        "request: id={id} event=try outcome=not_run engine={}",
                        engine.id
                    );
                }
                Sent::Unreached => {
                    log::info!(
                        "request: id={id} event=try outcome=unreached engine={}",
                        engine.id
                    );
                }
                Sent::Failed | Sent::Stalled => {
                    log::info!(
                        "request: id={id} event=try outcome=failed engine={} events={} left_ms={}",
                        engine.id,
                        self.events,
                        self.left().as_millis()
                    );
                    if !self.may_run_again() {
                        return self.give_up(kept, caller).await;
                    }
                }
                Sent::Refused(head, body) => {
                    log::info!(
                        "request: id={id} event=try outcome=error engine={} status={}",
                        engine.id,
                        head.status
                    );
                    kept = Some((head, body));
                    if !self.may_run_again() {
                        return self.give_up(kept, caller).await;
                    }
                }
            }
        }
    }

    /// Logs an answer that ends before it's whole; `engine` is the last that was tried.
    fn log_cut(&self, engine: &str) {
        let took = self.request.arrived.until(self.shared.now()).as_millis();
        self.shared.meter.cut();
        log::info!(
            "request: id={} event=end outcome=cut engine={engine} tries={} events={} ms={took}",
            self.request.call.id.as_deref().unwrap_or("-"),
            self.tried.len(),
            self.events
        );
    }

    fn log_done(&self, engine: &EngineAnnouncement) {
        let now = self.shared.now();
        let took = self.request.arrived.until(now).as_millis();
        let first = self
            .first
            .map_or(took, |at| self.request.arrived.until(at).as_millis());
        log::info!(
            "request: id={} event=end outcome=answered route={} engine={} tries={} events={} first_ms={first} ms={took}",
            self.request.call.id.as_deref().unwrap_or("-"),
            self.route.name,
            engine.id,
            self.tried.len(),
            self.events
        );
    }

    /// Brings the charge in line with what the request has used so far.
    ///
    /// Kept current while it runs: a caller that leaves ends everything at once.
    fn note_use(&mut self, running: bool) {
        let (ran, events) = (self.ran > 0 || running, self.events + IN_FLIGHT);
        if let Some(charge) = &mut self.charge {
            let call = &self.request.call;
            let output = (events * self.stride).min(call.max_output);
            charge.used = if ran { call.prompt_tokens + output } else { 0 };
        }
    }

    fn note_first(&self) {
        let now = self.shared.now();
        self.shared
            .state()
            .retry_budget
            .record_request(self.service, now);
    }

    /// Returns whether the request may run on a further engine.
    fn may_run_again(&self) -> bool {
        self.ran < self.route.max_attempts
            && match self.route.retry_policy {
                RetryPolicy::Idempotent => !self.begun,
                RetryPolicy::ResumeStream => !self.begun || self.last_event.is_some(),
                RetryPolicy::AtMostOnce => false,
            }
    }

    /// Returns whether the shared budget lets the request be sent once more.
    fn may_repeat(&self) -> bool {
        let now = self.shared.now();
        if self.tried.len() >= MOST_TRIES || now >= self.deadline {
            return false;
        }
        let mut state = self.shared.state();
        let entries = state.count_entries(now);
        state.retry_budget.try_retry(self.service, entries, now)
    }

    /// Ends a request that no engine will answer any more.
    async fn give_up(
        &mut self,
        kept: Option<(ResponseHead, Vec<u8>)>,
        caller: &Conn,
    ) -> Result<End, Refuse> {
        if self.begun {
            self.log_cut("none_left");
            return Ok(End::Cut);
        }
        if let Some((head, body)) = kept {
            return Ok(self.pass(&head, &body, caller).await);
        }
        if self.ran == 0 {
            return Err(Refuse::NotRun);
        }
        if self.left() == Span(0) {
            return Err(Refuse::Late { sent: true });
        }
        Err(Refuse::Unknown)
    }

    fn place(&self) -> Result<(EngineChoice, EngineAnnouncement), Refuse> {
        let now = self.shared.now();
        let call = &self.request.call;
        let left = now.until(self.deadline).as_millis();
        if left == 0 {
            return Err(Refuse::Late { sent: false });
        }
        let wish = PlacementRequest {
            prompt_tokens: call.prompt_tokens,
            max_output: call.max_output,
            segments: &call.segments,
            max_ttft_ms: admission::max_ttft_ms(self.route.target_ms, self.urgency, left),
            excluded_engines: &self.tried,
        };
        let mut state = self.shared.state();
        let state = &mut *state;
        let places = state
            .engine_pools
            .get_mut(self.service)
            .ok_or(Refuse::Nowhere)?;
        let choice = places.choose(&wish, now).map_err(|full| match full {
            PlacementError::NoEngine => Refuse::Nowhere,
            PlacementError::Overloaded(room) => Refuse::Busy(room),
        })?;
        places.record_dispatch(&choice, &call.segments, now);
        if choice.load.prefill_tokens > 0 && !call.segments.is_empty() {
            state.sent_prompts.push(fleet::mesh::SentPrompt {
                engine: choice.engine,
                parts: call.segments.clone(),
            });
        }
        let engine = state.find_engine(choice.engine).cloned();
        engine.map(|engine| (choice, engine)).ok_or(Refuse::Nowhere)
    }

    async fn send(
        &mut self,
        choice: &EngineChoice,
        engine: &EngineAnnouncement,
        caller: &Conn,
    ) -> Sent {
        let mut flight = Flight {
            shared: self.shared,
            service: self.service,
            choice: *choice,
            load: choice.load,
            failed: false,
        };
        let now = self.shared.now();
        let taken = self.shared.state().connections.acquire(engine.address, now);
        let mut conn = match taken {
            Some(conn) => conn,
            None => {
                match Conn::open(
                    engine.address,
                    connection_pool::CONNECT_TIMEOUT.min(self.left().into()),
                )
                .await
                {
                    Ok(conn) => conn,
                    Err(error) => {
                        self.rest(choice.engine, engine, &error);
                        return Sent::Unreached;
                    }
                }
            }
        };
        let mut out = Vec::with_capacity(1_024 + self.request.body.len());
        let add = UpstreamRequest {
            engine: &engine.id,
            timeout_ms: self.left().as_millis().max(1),
            team: self.team,
            priority: Some(self.urgency.min(9)),
            last_event: self.last_event.as_deref(),
            body_length: self.request.body.len(),
        };
        headers::write_request(&mut out, &self.request.head, &add);
        out.extend_from_slice(&self.request.body);
        let sent_at = self.shared.now();
        self.note_use(true);
        self.reuse = Reuse::No;
        let mut whole = false;
        let writing = async {
            let done = conn.write(&out).await;
            whole = done.is_ok();
        };
        // An engine may answer before it has the whole body.
        writing.or(conn.readable()).await;
        drop(out);
        let patience = self.patience();
        let stalled = async {
            Timer::after(patience.into()).await;
            None
        };
        let reading = async {
            Some(
                self.read_answer(&mut conn, &mut flight, sent_at, caller)
                    .await,
            )
        };
        let outcome = reading.or(stalled).await.unwrap_or(Sent::Stalled);
        if let Reuse::For(idle_s) = self.reuse
            && whole
        {
            let now = self.shared.now();
            let mut state = self.shared.state();
            state.connections.release(engine.address, conn, idle_s, now);
        }
        flight.failed = matches!(
            outcome,
            Sent::Failed | Sent::Refused(..) | Sent::Stalled | Sent::NotRun
        );
        if matches!(outcome, Sent::NotRun) {
            let now = self.shared.now();
            let mut state = self.shared.state();
            if let Some(places) = state.engine_pools.get_mut(self.service) {
                places.record_unavailable(choice.engine, now);
            }
        }
        outcome
    }

    /// Returns how long an engine may take to answer.
    fn patience(&self) -> Span {
        let left = self.left();
        let further = self.ran + 1 < self.route.max_attempts
            && self.route.retry_policy != RetryPolicy::AtMostOnce;
        if further && !self.route.is_streaming {
            #[allow(
                clippy::cast_precision_loss,
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss
            )]
            let part = (left.0 as f64 * STALL_PART) as u64;
            return Span(part);
        }
        left
    }

    fn rest(&self, key: u64, engine: &EngineAnnouncement, error: &io::Error) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        if let Some(places) = state.engine_pools.get_mut(self.service) {
            places.record_unavailable(key, now);
        }
        drop(state);
        log::warn!(
            "engine: event=unreachable engine={} address={} reason=\"{error}\"",
            engine.id,
            engine.address
        );
    }
}
