//! Random histories of entries and agents over an unreliable network.
//!
//! The oracle knows each request's answer, how often it ran and which outcome its
//! callers got.

use std::collections::BTreeMap;
use std::env;

use base::AgentId;
use base::Digest;
use base::EndpointId;
use base::EntryId;
use base::KeeperId;
use base::LeaseId;
use base::RequestId;
use base::Span;
use base::TeamId;
use base::Time;
use base::Tokens;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use request::AdmissionControl;
use request::Assembly;
use request::Claim;
use request::ClaimResult;
use request::Claims;
use request::FinishReason;
use request::Frame;
use request::FrameBody;
use request::Order;
use request::ReplayBuffer;
use request::RetryDecision;
use request::RetryState;
use request::Work;
use request::admission::Admission;
use request::assembly::Received;
use request::retry::AttemptFailure;

const ENTRIES: usize = 2;
const AGENTS: usize = 3;
const REQUESTS: usize = 6;
const SEED: u64 = 5;
const HISTORIES: u64 = 10_000;
const STEPS: usize = 200;

#[derive(Clone, Copy, Debug)]
enum Step {
    Submit(u8, u8),
    Deliver(u16),
    DeliverAll,
    Drop(u16),
    Duplicate(u16),
    Work(u8),
    Fail(u8),
    AgentDies(u8),
    EntryDies(u8),
    BreakStream(u8, u8),
    Drain(u8),
    EndDrain(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let a = u8::arbitrary(g);
        let b = u8::arbitrary(g);
        let index = u16::arbitrary(g);
        match u8::arbitrary(g) % 64 {
            0..12 => Self::Submit(a, b),
            12..24 => Self::Deliver(index),
            24..34 => Self::DeliverAll,
            34..36 => Self::Drop(index),
            36..40 => Self::Duplicate(index),
            40..54 => Self::Work(a),
            54 => Self::Fail(a),
            55 => Self::AgentDies(a),
            56 => Self::EntryDies(a),
            57..61 => Self::BreakStream(a, b),
            61 => Self::Drain(a),
            _ => Self::EndDrain(a),
        }
    }
}

/// The entry and submission that a message belongs to.
///
/// Each submission has its own connections, so messages never reach another one.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Stream {
    entry: usize,
    serial: u64,
}

enum Message {
    Order(Stream, usize, Box<Order>),
    Frame(Stream, Frame),
    Cancel(Stream, usize, AgentId, usize, u32),
    CancelResult(Stream, usize, u32, bool),
}

impl Clone for Message {
    fn clone(&self) -> Self {
        match self {
            Self::Order(e, a, order) => Self::Order(*e, *a, order.clone()),
            Self::Frame(e, frame) => Self::Frame(*e, frame.clone()),
            Self::Cancel(e, a, id, r, n) => Self::Cancel(*e, *a, *id, *r, *n),
            Self::CancelResult(e, r, n, cancelled) => Self::CancelResult(*e, *r, *n, *cancelled),
        }
    }
}

#[derive(Clone)]
struct Task {
    retry: RetryState,
    assembly: Assembly,
    agent: usize,
    reported: Option<Reported>,
    claim: Option<Claim>,
    starts_before: u32,
    serial: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reported {
    Complete,
    NotRun,
    Unknown,
}

struct Agent {
    id: AgentId,
    admission: AdmissionControl,
    buffers: BTreeMap<RequestId, (ReplayBuffer, bool)>,
    streams: Vec<(Stream, RequestId, u32, u64)>,
}

struct Simulation {
    agents: Vec<Agent>,
    tasks: Vec<BTreeMap<usize, Task>>,
    claims: Claims,
    network: Vec<Message>,
    starts: BTreeMap<usize, u32>,
    epoch: u64,
    nonce: u64,
}

fn request_id(request: usize) -> RequestId {
    RequestId(request as u128 + 1)
}

fn request_index(request: RequestId) -> usize {
    usize::try_from(request.0 - 1).unwrap()
}

/// Even requests may be repeated, odd ones may not.
fn repeatable(request: usize) -> bool {
    request.is_multiple_of(2)
}

fn answer(request: usize) -> Vec<u8> {
    (0..12)
        .map(|n| b'a' + u8::try_from((request * 5 + n) % 26).unwrap())
        .collect()
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            agents: Vec::new(),
            tasks: vec![BTreeMap::new(); ENTRIES],
            claims: Claims::default(),
            network: Vec::new(),
            starts: BTreeMap::new(),
            epoch: 0,
            nonce: 0,
        };
        for n in 0..AGENTS {
            let agent = simulation.new_agent(n);
            simulation.agents.push(agent);
        }
        simulation
    }

    fn new_agent(&mut self, n: usize) -> Agent {
        self.epoch += 1;
        let id = AgentId {
            endpoint: EndpointId(n as u64),
            epoch: self.epoch,
        };
        Agent {
            id,
            admission: AdmissionControl::new(id, 4),
            buffers: BTreeMap::new(),
            streams: Vec::new(),
        }
    }

    fn step(&mut self, step: Step) {
        let len = self.network.len();
        let index = |k: u16| usize::from(k) % len.max(1);
        match step {
            Step::Submit(e, r) => self.submit(usize::from(e) % ENTRIES, usize::from(r) % REQUESTS),
            Step::Deliver(k) if len > 0 => {
                let message = self.network.remove(index(k));
                self.deliver(message);
            }
            Step::Drop(k) if len > 0 => {
                let message = self.network.remove(index(k));
                self.lose_message(&message);
            }
            Step::Duplicate(k) if len > 0 => {
                // Orders and cancellations use ordered streams and are never duplicated.
                let message = self.network[index(k)].clone();
                if matches!(message, Message::Frame(..)) {
                    self.network.push(message);
                }
            }
            Step::Deliver(_) | Step::Drop(_) | Step::Duplicate(_) => {}
            Step::DeliverAll => {
                for message in std::mem::take(&mut self.network) {
                    self.deliver(message);
                }
            }
            Step::Work(a) => self.generate(usize::from(a) % AGENTS),
            Step::Fail(a) => self.fail_endpoint(usize::from(a) % AGENTS),
            Step::AgentDies(a) => {
                let n = usize::from(a) % AGENTS;
                self.agents[n] = self.new_agent(n);
                self.lose_agent(n);
            }
            Step::EntryDies(e) => self.tasks[usize::from(e) % ENTRIES].clear(),
            Step::BreakStream(e, r) => {
                let (e, r) = (usize::from(e) % ENTRIES, usize::from(r) % REQUESTS);
                self.on_failure(e, r, AttemptFailure::StreamBroken);
            }
            Step::Drain(a) => self.agents[usize::from(a) % AGENTS]
                .admission
                .set_draining(true),
            Step::EndDrain(a) => self.agents[usize::from(a) % AGENTS]
                .admission
                .set_draining(false),
        }
    }

    fn submit(&mut self, e: usize, r: usize) {
        let over = self.tasks[e]
            .get(&r)
            .is_none_or(|task| task.reported.is_some());
        if !over {
            return;
        }
        self.nonce += 1;
        let task = Task {
            retry: RetryState::new(Time(u64::MAX), repeatable(r)),
            assembly: Assembly::new(request_id(r)),
            agent: (e + r) % AGENTS,
            reported: None,
            claim: None,
            starts_before: 0,
            serial: self.nonce,
        };
        self.tasks[e].insert(r, task);
        self.dispatch(e, r);
    }

    fn dispatch(&mut self, e: usize, r: usize) {
        let Some(task) = self.tasks[e].get_mut(&r) else {
            return;
        };
        let attempt = task.retry.attempt();
        if !repeatable(r) {
            self.nonce += 1;
            let claim = Claim {
                request: request_id(r),
                digest: Digest::of(b"body"),
                entry: EntryId(e as u64),
                agent: self.agents[task.agent].id,
                nonce: self.nonce,
            };
            match self.claims.claim(&claim, 0) {
                ClaimResult::Granted => {
                    task.claim = Some(claim);
                    task.starts_before = self.starts.get(&r).copied().unwrap_or(0);
                }
                ClaimResult::Conflict(_) => {
                    task.reported = Some(Reported::Unknown);
                    return;
                }
                ClaimResult::BodyMismatch => unreachable!("all bodies are the same"),
            }
        }
        task.assembly.set_attempt(attempt);
        let prefix = String::from_utf8(task.assembly.bytes().to_vec()).unwrap();
        let order = Order {
            agent: self.agents[task.agent].id,
            request: request_id(r),
            attempt,
            digest: Digest::of(b"body"),
            team: TeamId(1),
            lease: LeaseId {
                entry: EntryId(e as u64),
                epoch: 1,
            },
            keeper: KeeperId(1),
            lease_left: Span::secs(1),
            prompt_tokens: Tokens(1),
            max_tokens: Tokens(12),
            prefix_tokens: Tokens(prefix.len() as u64),
            time_left: Span::secs(1),
            repeatable: repeatable(r),
            priority: 1,
            document_number: 1,
            work: Work::Chat {
                model: String::new(),
                messages: String::new(),
                prefix,
            },
        };
        let stream = Stream {
            entry: e,
            serial: task.serial,
        };
        let message = Message::Order(stream, task.agent, Box::new(order));
        self.network.push(message);
    }

    /// Loses a message: the entry sees a broken stream if it was an order or a frame.
    fn lose_message(&mut self, message: &Message) {
        let (stream, r, failure) = match message {
            Message::Order(stream, _, order) => (
                *stream,
                request_index(order.request),
                AttemptFailure::StreamBroken,
            ),
            Message::Frame(stream, frame) => (
                *stream,
                request_index(frame.request),
                AttemptFailure::StreamBroken,
            ),
            Message::Cancel(stream, _, _, r, _) | Message::CancelResult(stream, r, ..) => {
                (*stream, *r, AttemptFailure::AgentUnreachable)
            }
        };
        if self.is_waiting(stream, r) {
            self.on_failure(stream.entry, r, failure);
        }
    }

    /// Returns whether the entry still waits for the submission that a message belongs to.
    fn is_waiting(&self, stream: Stream, r: usize) -> bool {
        let task = self.tasks[stream.entry].get(&r);
        task.is_some_and(|task| task.serial == stream.serial)
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Order(e, a, order) => self.on_order(e, a, &order),
            Message::Frame(stream, frame) => {
                if self.is_waiting(stream, request_index(frame.request)) {
                    self.on_frame(stream.entry, frame);
                }
            }
            Message::Cancel(e, a, agent, r, n) => {
                let current = self.agents[a].id == agent;
                let cancelled = current && self.agents[a].admission.cancel(request_id(r), Time(0));
                self.network.push(Message::CancelResult(e, r, n, cancelled));
            }
            Message::CancelResult(e, r, n, cancelled) => {
                // The entry waits for the result within the attempt, so it cannot reach
                // another attempt.
                let same = |task: &Task| task.retry.attempt() == n;
                let waits = self.is_waiting(e, r);
                let e = e.entry;
                if waits && self.tasks[e].get(&r).is_some_and(same) {
                    self.on_cancel_result(e, r, cancelled);
                }
            }
        }
    }

    fn on_order(&mut self, e: Stream, a: usize, order: &Order) {
        let agent = &mut self.agents[a];
        let Work::Chat { prefix, .. } = &order.work else {
            return;
        };
        match agent.admission.admit(order, Time(0)) {
            Admission::Start => {
                *self.starts.entry(request_index(order.request)).or_default() += 1;
                let buffer = ReplayBuffer::with_prefix(prefix.as_bytes(), order.prefix_tokens);
                let repeatable = order.repeatable;
                agent.buffers.insert(order.request, (buffer, repeatable));
                let offset = prefix.len() as u64;
                agent
                    .streams
                    .push((e, order.request, order.attempt, offset));
            }
            Admission::Join(_) => {
                let offset = prefix.len() as u64;
                agent
                    .streams
                    .push((e, order.request, order.attempt, offset));
            }
            Admission::Refuse(refusal) => {
                let frame = Frame {
                    request: order.request,
                    attempt: order.attempt,
                    body: FrameBody::Refused(refusal),
                };
                self.network.push(Message::Frame(e, frame));
            }
        }
    }

    /// Generates one more byte of each running answer and sends the new bytes.
    fn generate(&mut self, a: usize) {
        let agent = &mut self.agents[a];
        for (request, (buffer, _)) in &mut agent.buffers {
            let text = answer(request_index(*request));
            if buffer.len() < text.len() {
                buffer.push(&text[buffer.len()..=buffer.len()]);
            } else {
                buffer.finish(
                    FinishReason::Stop,
                    Tokens(1),
                    Tokens(text.len() as u64),
                    0,
                    "",
                );
                agent.admission.finish(*request, Time(0));
            }
        }
        self.send_streams(a);
    }

    fn send_streams(&mut self, a: usize) {
        let agent = &mut self.agents[a];
        let mut open = Vec::new();
        for (e, request, attempt, offset) in std::mem::take(&mut agent.streams) {
            let Some((buffer, _)) = agent.buffers.get(&request) else {
                continue;
            };
            let Some(body) = buffer.next_body(offset) else {
                open.push((e, request, attempt, offset));
                continue;
            };
            let next = match &body {
                FrameBody::Chunk { bytes, .. } => Some(offset + bytes.len() as u64),
                FrameBody::Final(_) | FrameBody::Refused(_) => None,
            };
            open.extend(next.map(|next| (e, request, attempt, next)));
            let frame = Frame {
                request,
                attempt,
                body,
            };
            self.network.push(Message::Frame(e, frame));
        }
        agent.streams = open;
    }

    /// Fails the endpoint in the middle of all its answers.
    fn fail_endpoint(&mut self, a: usize) {
        let agent = &mut self.agents[a];
        let mut finished = Vec::new();
        for (request, (buffer, repeatable)) in &mut agent.buffers {
            if buffer.final_event().is_none() {
                buffer.finish(FinishReason::Failed, Tokens(0), Tokens(0), 0, "");
                agent.admission.finish(*request, Time(0));
                if *repeatable {
                    agent.admission.allow_retry(*request);
                    finished.push(*request);
                }
            }
        }
        self.send_streams(a);
        for request in finished {
            self.agents[a].buffers.remove(&request);
        }
    }

    fn on_frame(&mut self, e: usize, frame: Frame) {
        let r = request_index(frame.request);
        let Some(task) = self.tasks[e]
            .get_mut(&r)
            .filter(|task| task.reported.is_none())
        else {
            return;
        };
        match task.assembly.receive(frame) {
            Received::Appended(_) => {
                task.retry.note_progress();
                assert!(answer(r).starts_with(task.assembly.bytes()));
            }
            Received::Complete(_) => {
                assert_eq!(task.assembly.bytes(), answer(r), "the complete answer");
                task.reported = Some(Reported::Complete);
            }
            Received::Incomplete(_) => self.on_failure(e, r, AttemptFailure::EndpointFailed),
            Received::Refused(refusal) => self.on_failure(e, r, AttemptFailure::Refused(refusal)),
            Received::Dropped => {}
        }
    }

    fn lose_agent(&mut self, a: usize) {
        for e in 0..ENTRIES {
            let open: Vec<usize> = self.tasks[e].keys().copied().collect();
            for r in open {
                if self.tasks[e][&r].agent == a {
                    self.on_failure(e, r, AttemptFailure::StreamBroken);
                }
            }
        }
    }

    fn on_failure(&mut self, e: usize, r: usize, failure: AttemptFailure) {
        let Some(task) = self.tasks[e]
            .get_mut(&r)
            .filter(|task| task.reported.is_none())
        else {
            return;
        };
        let agent = task.agent;
        match task.retry.on_failure(failure, true, Time(0)) {
            RetryDecision::Resume => {
                let target = task
                    .claim
                    .map_or(self.agents[agent].id, |claim| claim.agent);
                let attempt = task.retry.attempt();
                let stream = Stream {
                    entry: e,
                    serial: task.serial,
                };
                self.network
                    .push(Message::Cancel(stream, agent, target, r, attempt));
            }
            RetryDecision::Retry => {
                task.agent = (agent + 1) % AGENTS;
                if let Some(claim) = task.claim.take() {
                    self.claims.release(&claim);
                }
                self.dispatch(e, r);
            }
            RetryDecision::NotRun(_) => {
                if let Some(claim) = task.claim.take() {
                    self.claims.release(&claim);
                }
                task.reported = Some(Reported::NotRun);
                let starts_before = task.starts_before;
                self.check_not_run(r, starts_before);
            }
            RetryDecision::Unknown => task.reported = Some(Reported::Unknown),
        }
    }

    /// Resumes the stream if the request runs at the agent; otherwise the cancellation
    /// stands there.
    fn on_cancel_result(&mut self, e: usize, r: usize, cancelled: bool) {
        let Some(task) = self.tasks[e]
            .get_mut(&r)
            .filter(|task| task.reported.is_none())
        else {
            return;
        };
        if cancelled {
            self.on_failure(e, r, AttemptFailure::Refused(request::Refusal::Cancelled));
            return;
        }
        let agent = &mut self.agents[task.agent];
        if agent.buffers.contains_key(&request_id(r)) {
            let offset = task.assembly.bytes().len() as u64;
            let own = Stream {
                entry: e,
                serial: task.serial,
            };
            agent
                .streams
                .push((own, request_id(r), task.retry.attempt(), offset));
        } else {
            self.on_failure(e, r, AttemptFailure::AgentUnreachable);
        }
    }

    /// Checks that a call reported as not run has not started since its claim was
    /// granted.
    fn check_not_run(&self, r: usize, starts_before: u32) {
        let starts = self.starts.get(&r).copied().unwrap_or(0);
        let ran = !repeatable(r) && starts != starts_before;
        assert!(!ran, "request {r} was reported as not run, but it ran");
    }

    fn check(&self) {
        for (&r, &starts) in &self.starts {
            assert!(
                repeatable(r) || starts <= 1,
                "request {r} ran {starts} times"
            );
        }
    }
}

fn run_history(steps: Vec<Step>) -> bool {
    let mut simulation = Simulation::new();
    for step in steps {
        simulation.step(step);
        simulation.check();
    }
    true
}

#[test]
fn random_histories_run_once_and_answer_completely() {
    let histories = env::var("HISTORIES").map_or(HISTORIES, |n| n.parse().unwrap());
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, SEED))
        .tests(histories)
        .max_tests(histories)
        .quickcheck(run_history as fn(Vec<Step>) -> bool);
}
