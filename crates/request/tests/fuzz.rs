//! Random histories of entries and agents over a bad network.
//!
//! The oracle knows what each request's answer is, how often it ran and what its
//! callers were told.

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
use request::Assembly;
use request::Body;
use request::Claim;
use request::Claimed;
use request::Claims;
use request::End;
use request::Frame;
use request::Gate;
use request::Life;
use request::Next;
use request::Order;
use request::Spool;
use request::Work;
use request::assembly::Step as Taken;
use request::gate::Admission;
use request::life::Failure;

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
    Double(u16),
    Work(u8),
    Fail(u8),
    AgentDies(u8),
    EntryDies(u8),
    Break(u8, u8),
    Leave(u8),
    Stay(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let a = u8::arbitrary(g);
        let b = u8::arbitrary(g);
        let place = u16::arbitrary(g);
        match u8::arbitrary(g) % 64 {
            0..12 => Self::Submit(a, b),
            12..24 => Self::Deliver(place),
            24..34 => Self::DeliverAll,
            34..36 => Self::Drop(place),
            36..40 => Self::Double(place),
            40..54 => Self::Work(a),
            54 => Self::Fail(a),
            55 => Self::AgentDies(a),
            56 => Self::EntryDies(a),
            57..61 => Self::Break(a, b),
            61 => Self::Leave(a),
            _ => Self::Stay(a),
        }
    }
}

/// The entry and submission that a message belongs to.
///
/// Each submission has connections of its own, so nothing crosses to another.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Stream {
    entry: usize,
    serial: u64,
}

enum Message {
    Order(Stream, usize, Box<Order>),
    Frame(Stream, Frame),
    CallOff(Stream, usize, AgentId, usize, u32),
    CalledOff(Stream, usize, u32, bool),
}

impl Clone for Message {
    fn clone(&self) -> Self {
        match self {
            Self::Order(e, a, order) => Self::Order(*e, *a, order.clone()),
            Self::Frame(e, frame) => Self::Frame(*e, frame.clone()),
            Self::CallOff(e, a, id, r, n) => Self::CallOff(*e, *a, *id, *r, *n),
            Self::CalledOff(e, r, n, bars) => Self::CalledOff(*e, *r, *n, *bars),
        }
    }
}

#[derive(Clone)]
struct Task {
    life: Life,
    assembly: Assembly,
    agent: usize,
    told: Option<Told>,
    claim: Option<Claim>,
    before: u32,
    serial: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Whole,
    NotRun,
    Unknown,
}

struct Agent {
    id: AgentId,
    gate: Gate,
    spools: BTreeMap<RequestId, (Spool, bool)>,
    streams: Vec<(Stream, RequestId, u32, u64)>,
}

struct World {
    agents: Vec<Agent>,
    tasks: Vec<BTreeMap<usize, Task>>,
    claims: Claims,
    net: Vec<Message>,
    starts: BTreeMap<usize, u32>,
    epoch: u64,
    nonce: u64,
}

fn id(request: usize) -> RequestId {
    RequestId(request as u128 + 1)
}

fn number(request: RequestId) -> usize {
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

impl World {
    fn new() -> Self {
        let mut world = Self {
            agents: Vec::new(),
            tasks: vec![BTreeMap::new(); ENTRIES],
            claims: Claims::default(),
            net: Vec::new(),
            starts: BTreeMap::new(),
            epoch: 0,
            nonce: 0,
        };
        for n in 0..AGENTS {
            let agent = world.agent(n);
            world.agents.push(agent);
        }
        world
    }

    fn agent(&mut self, n: usize) -> Agent {
        self.epoch += 1;
        let id = AgentId {
            endpoint: EndpointId(n as u64),
            epoch: self.epoch,
        };
        Agent {
            id,
            gate: Gate::new(id, 4),
            spools: BTreeMap::new(),
            streams: Vec::new(),
        }
    }

    fn step(&mut self, step: Step) {
        let len = self.net.len();
        let place = |k: u16| usize::from(k) % len.max(1);
        match step {
            Step::Submit(e, r) => self.submit(usize::from(e) % ENTRIES, usize::from(r) % REQUESTS),
            Step::Deliver(k) if len > 0 => {
                let message = self.net.remove(place(k));
                self.deliver(message);
            }
            Step::Drop(k) if len > 0 => {
                let message = self.net.remove(place(k));
                self.lose(&message);
            }
            Step::Double(k) if len > 0 => {
                // Orders and call-offs go over ordered streams and never come twice.
                let message = self.net[place(k)].clone();
                if matches!(message, Message::Frame(..)) {
                    self.net.push(message);
                }
            }
            Step::Deliver(_) | Step::Drop(_) | Step::Double(_) => {}
            Step::DeliverAll => {
                for message in std::mem::take(&mut self.net) {
                    self.deliver(message);
                }
            }
            Step::Work(a) => self.work(usize::from(a) % AGENTS),
            Step::Fail(a) => self.fail(usize::from(a) % AGENTS),
            Step::AgentDies(a) => {
                let n = usize::from(a) % AGENTS;
                self.agents[n] = self.agent(n);
                self.lost_agent(n);
            }
            Step::EntryDies(e) => self.tasks[usize::from(e) % ENTRIES].clear(),
            Step::Break(e, r) => {
                let (e, r) = (usize::from(e) % ENTRIES, usize::from(r) % REQUESTS);
                self.failed(e, r, Failure::Broken);
            }
            Step::Leave(a) => self.agents[usize::from(a) % AGENTS].gate.leave(true),
            Step::Stay(a) => self.agents[usize::from(a) % AGENTS].gate.leave(false),
        }
    }

    fn submit(&mut self, e: usize, r: usize) {
        let over = self.tasks[e].get(&r).is_none_or(|task| task.told.is_some());
        if !over {
            return;
        }
        self.nonce += 1;
        let task = Task {
            life: Life::new(Time(u64::MAX), repeatable(r)),
            assembly: Assembly::new(id(r)),
            agent: (e + r) % AGENTS,
            told: None,
            claim: None,
            before: 0,
            serial: self.nonce,
        };
        self.tasks[e].insert(r, task);
        self.dispatch(e, r);
    }

    fn dispatch(&mut self, e: usize, r: usize) {
        let Some(task) = self.tasks[e].get_mut(&r) else {
            return;
        };
        let attempt = task.life.attempt();
        if !repeatable(r) {
            self.nonce += 1;
            let claim = Claim {
                request: id(r),
                digest: Digest::of(b"body"),
                entry: EntryId(e as u64),
                agent: self.agents[task.agent].id,
                nonce: self.nonce,
            };
            match self.claims.claim(&claim, 0) {
                Claimed::Granted => {
                    task.claim = Some(claim);
                    task.before = self.starts.get(&r).copied().unwrap_or(0);
                }
                Claimed::Taken(_) => {
                    task.told = Some(Told::Unknown);
                    return;
                }
                Claimed::OtherBody => unreachable!("all bodies are the same"),
            }
        }
        task.assembly.expect(attempt);
        let prefix = String::from_utf8(task.assembly.bytes().to_vec()).unwrap();
        let order = Order {
            agent: self.agents[task.agent].id,
            request: id(r),
            attempt,
            digest: Digest::of(b"body"),
            team: TeamId(1),
            lease: LeaseId {
                entry: EntryId(e as u64),
                epoch: 1,
            },
            keeper: KeeperId(1),
            left: Span::secs(1),
            prompt: Tokens(1),
            cap: Tokens(12),
            done: Tokens(prefix.len() as u64),
            patience: Span::secs(1),
            repeatable: repeatable(r),
            priority: 1,
            document: 1,
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
        self.net.push(message);
    }

    /// A lost order or answer shows as a broken stream.
    fn lose(&mut self, message: &Message) {
        let (stream, r, failure) = match message {
            Message::Order(stream, _, order) => (*stream, number(order.request), Failure::Broken),
            Message::Frame(stream, frame) => (*stream, number(frame.request), Failure::Broken),
            Message::CallOff(stream, _, _, r, _) | Message::CalledOff(stream, r, ..) => {
                (*stream, *r, Failure::Unreachable)
            }
        };
        if self.waits(stream, r) {
            self.failed(stream.entry, r, failure);
        }
    }

    /// Returns whether the submission that a message belongs to is still waited for.
    fn waits(&self, stream: Stream, r: usize) -> bool {
        let task = self.tasks[stream.entry].get(&r);
        task.is_some_and(|task| task.serial == stream.serial)
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Order(e, a, order) => self.on_order(e, a, &order),
            Message::Frame(stream, frame) => {
                if self.waits(stream, number(frame.request)) {
                    self.on_frame(stream.entry, frame);
                }
            }
            Message::CallOff(e, a, agent, r, n) => {
                let ours = self.agents[a].id == agent;
                let bars = ours && self.agents[a].gate.call_off(id(r), Time(0));
                self.net.push(Message::CalledOff(e, r, n, bars));
            }
            Message::CalledOff(e, r, n, bars) => {
                // The answer is awaited within its attempt and can't cross another.
                let same = |task: &Task| task.life.attempt() == n;
                let waits = self.waits(e, r);
                let e = e.entry;
                if waits && self.tasks[e].get(&r).is_some_and(same) {
                    self.on_called_off(e, r, bars);
                }
            }
        }
    }

    fn on_order(&mut self, e: Stream, a: usize, order: &Order) {
        let agent = &mut self.agents[a];
        let Work::Chat { prefix, .. } = &order.work else {
            return;
        };
        match agent.gate.admit(order, Time(0)) {
            Admission::Start => {
                *self.starts.entry(number(order.request)).or_default() += 1;
                let spool = Spool::after(prefix.as_bytes(), order.done);
                let kept = order.repeatable;
                agent.spools.insert(order.request, (spool, kept));
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
                    body: Body::Refused(refusal),
                };
                self.net.push(Message::Frame(e, frame));
            }
        }
    }

    /// Generates one more byte of each running answer and sends what is new.
    fn work(&mut self, a: usize) {
        let agent = &mut self.agents[a];
        for (request, (spool, _)) in &mut agent.spools {
            let text = answer(number(*request));
            if spool.len() < text.len() {
                spool.push(&text[spool.len()..=spool.len()]);
            } else {
                spool.finish(End::Stop, Tokens(1), Tokens(text.len() as u64), 0, "");
                agent.gate.finish(*request, Time(0));
            }
        }
        self.send_streams(a);
    }

    fn send_streams(&mut self, a: usize) {
        let agent = &mut self.agents[a];
        let mut open = Vec::new();
        for (e, request, attempt, offset) in std::mem::take(&mut agent.streams) {
            let Some((spool, _)) = agent.spools.get(&request) else {
                continue;
            };
            let Some(body) = spool.next(offset) else {
                open.push((e, request, attempt, offset));
                continue;
            };
            let next = match &body {
                Body::Piece { bytes, .. } => Some(offset + bytes.len() as u64),
                Body::Final(_) | Body::Refused(_) => None,
            };
            open.extend(next.map(|next| (e, request, attempt, next)));
            let frame = Frame {
                request,
                attempt,
                body,
            };
            self.net.push(Message::Frame(e, frame));
        }
        agent.streams = open;
    }

    /// The endpoint fails in the middle of all its answers.
    fn fail(&mut self, a: usize) {
        let agent = &mut self.agents[a];
        let mut gone = Vec::new();
        for (request, (spool, repeatable)) in &mut agent.spools {
            if spool.end().is_none() {
                spool.finish(End::Failed, Tokens(0), Tokens(0), 0, "");
                agent.gate.finish(*request, Time(0));
                if *repeatable {
                    agent.gate.reopen(*request);
                    gone.push(*request);
                }
            }
        }
        self.send_streams(a);
        for request in gone {
            self.agents[a].spools.remove(&request);
        }
    }

    fn on_frame(&mut self, e: usize, frame: Frame) {
        let r = number(frame.request);
        let Some(task) = self.tasks[e].get_mut(&r).filter(|task| task.told.is_none()) else {
            return;
        };
        match task.assembly.take(frame) {
            Taken::Grown(_) => {
                task.life.sent();
                assert!(answer(r).starts_with(task.assembly.bytes()));
            }
            Taken::Whole(_) => {
                assert_eq!(task.assembly.bytes(), answer(r), "the whole answer");
                task.told = Some(Told::Whole);
            }
            Taken::Broken(_) => self.failed(e, r, Failure::Failed),
            Taken::Refused(refusal) => self.failed(e, r, Failure::Refused(refusal)),
            Taken::Dropped => {}
        }
    }

    fn lost_agent(&mut self, a: usize) {
        for e in 0..ENTRIES {
            let open: Vec<usize> = self.tasks[e].keys().copied().collect();
            for r in open {
                if self.tasks[e][&r].agent == a {
                    self.failed(e, r, Failure::Broken);
                }
            }
        }
    }

    fn failed(&mut self, e: usize, r: usize, failure: Failure) {
        let Some(task) = self.tasks[e].get_mut(&r).filter(|task| task.told.is_none()) else {
            return;
        };
        let agent = task.agent;
        match task.life.failed(failure, true, Time(0)) {
            Next::Resume => {
                let target = task
                    .claim
                    .map_or(self.agents[agent].id, |claim| claim.agent);
                let attempt = task.life.attempt();
                let stream = Stream {
                    entry: e,
                    serial: task.serial,
                };
                self.net
                    .push(Message::CallOff(stream, agent, target, r, attempt));
            }
            Next::Retry => {
                task.agent = (agent + 1) % AGENTS;
                if let Some(claim) = task.claim.take() {
                    self.claims.free(&claim);
                }
                self.dispatch(e, r);
            }
            Next::NotRun(_) => {
                if let Some(claim) = task.claim.take() {
                    self.claims.free(&claim);
                }
                task.told = Some(Told::NotRun);
                let before = task.before;
                self.told_not_run(r, before);
            }
            Next::Unknown => task.told = Some(Told::Unknown),
        }
    }

    /// Takes the stream up again where the request runs; else it's barred there.
    fn on_called_off(&mut self, e: usize, r: usize, bars: bool) {
        let Some(task) = self.tasks[e].get_mut(&r).filter(|task| task.told.is_none()) else {
            return;
        };
        if bars {
            self.failed(e, r, Failure::Refused(request::Refusal::Tombstone));
            return;
        }
        let agent = &mut self.agents[task.agent];
        if agent.spools.contains_key(&id(r)) {
            let offset = task.assembly.bytes().len() as u64;
            let own = Stream {
                entry: e,
                serial: task.serial,
            };
            agent
                .streams
                .push((own, id(r), task.life.attempt(), offset));
        } else {
            self.failed(e, r, Failure::Unreachable);
        }
    }

    /// A call told as not run has not started since its claim was granted.
    fn told_not_run(&self, r: usize, before: u32) {
        let starts = self.starts.get(&r).copied().unwrap_or(0);
        let ran = !repeatable(r) && starts != before;
        assert!(!ran, "request {r} was told as not run, and it ran");
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

fn history_holds(steps: Vec<Step>) -> bool {
    let mut world = World::new();
    for step in steps {
        world.step(step);
        world.check();
    }
    true
}

#[test]
fn random_histories_run_once_and_answer_whole() {
    let histories = env::var("HISTORIES").map_or(HISTORIES, |n| n.parse().unwrap());
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, SEED))
        .tests(histories)
        .max_tests(histories)
        .quickcheck(history_holds as fn(Vec<Step>) -> bool);
}
