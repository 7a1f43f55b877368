//! News between processes, and questions to the group's leader.
//!
//! Every process tells every other what it knows, regularly and at once where
//! something changed. What an engine said goes from the process that heard it to
//! all others; processes with a disk pass it on, so that two that can't reach each
//! other still learn it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use base::KeeperId;
use base::Span;
use base::Time;
use consensus::Envelope;
use fleet::mesh::Member;
use fleet::mesh::MeshRequest;
use fleet::mesh::MeshResponse;
use fleet::mesh::ReceivedAnnouncement;
use fleet::mesh::Update;
use futures_lite::FutureExt as _;
use routing::directory::DirectoryUpdate;
use routing::placement::EnginePool;

use crate::budget;
use crate::group::Group;
use crate::group::Input;
use crate::group::Joiner;
use crate::state::PEER_GONE;
use crate::state::Peer;
use crate::state::Shared;
use crate::witness;

/// Time between two updates to a peer.
const EVERY: Duration = Duration::from_millis(200);

/// Least time between two updates, so that news that come together leave together.
const GATHER: Duration = Duration::from_millis(8);

/// Least time between two updates to a peer that doesn't answer. A peer that is back
/// speaks up itself.
const SILENT_EVERY: Span = Span::millis(900);

/// Longest wait for a peer's answer to an update.
const UPDATE_WAIT: Span = Span::millis(600);

/// Longest wait for a peer to take messages of the log: a megabyte takes half a second
/// on the slowest links.
const REPLICA_WAIT: Span = Span::millis(1_000);

/// Longest wait for one answer of the leader.
pub const LEADER_WAIT: Span = Span::millis(500);

/// Longest wait for the leader on another process's behalf.
const FORWARD_WAIT: Span = Span::millis(300);

/// Longest wait for a peer that asks the leader on this process's behalf.
const FORWARD_PATIENCE: Span = Span::millis(400);

/// Silence up to which a peer is asked to pass a question on.
pub const NEAR: Span = Span::millis(700);

/// Pause before the leader is asked once more.
const LEADER_PAUSE: Duration = Duration::from_millis(40);

/// Gap between two rounds of updates that is logged: the process stood still or was
/// very slow.
const STOOD_STILL: Span = Span::millis(1_000);

/// Time between two lines on the memory in use.
const MEMORY_EVERY: Duration = Duration::from_secs(5);

/// Silence after which a peer is forgotten.
const FORGET: Span = Span::millis(15_000);

/// Silence after which a replica may be replaced by one that joins.
pub const REPLACE: Span = Span::millis(6_000);

/// Time without a leader after which a replica asks to join again; elections are over
/// within a second or two.
const ALONE: Span = Span::millis(2_500);

/// Time between two requests to join the group.
pub const JOIN_EVERY: Duration = Duration::from_millis(300);

/// Time after the start in which a process without word from the group doesn't
/// serve with a configuration that it has from elsewhere.
const CONFIRM: Span = Span::millis(1_500);

/// Time that the arbiter waits for processes with a disk before it names the
/// founder.
const NAME_AFTER: Span = Span::millis(400);

/// Most other members named in an update.
const NAMED: usize = 24;

fn version(shared: &Shared) -> u64 {
    let state = shared.state();
    state.table.as_ref().map_or(0, |table| table.site().version)
}

/// Answers a peer.
pub async fn answer(shared: Arc<Shared>, ask: MeshRequest) -> MeshResponse {
    match ask {
        MeshRequest::Update(update) => {
            take_update(&shared, *update);
            MeshResponse::Version(version(&shared))
        }
        MeshRequest::Replica(envelopes) => match &shared.group {
            Some(group) => {
                group.send(Input::Messages(envelopes));
                MeshResponse::Done
            }
            None => MeshResponse::Unavailable,
        },
        MeshRequest::CurrentConfig => {
            let state = shared.state();
            let version = state.table.as_ref().map_or(0, |table| table.site().version);
            MeshResponse::Config(version, state.body.to_vec())
        }
        MeshRequest::Lend(wishes) => budget::lend(&shared, wishes),
        MeshRequest::Mark(mark) => witness::keep(&shared, mark).await,
        MeshRequest::MarkVia(replicas, mark) => witness::pass_on(&shared, &replicas, mark).await,
        MeshRequest::Fence(lease) => witness::fence(&shared, lease).await,
        MeshRequest::Forward(ask) => match *ask {
            // Passed on once: the asker can't reach the leader, this process may.
            MeshRequest::Submit(..) | MeshRequest::LatestConfig | MeshRequest::Draw(..) => {
                direct(&shared, &ask, FORWARD_WAIT).await
            }
            _ => MeshResponse::Unavailable,
        },
        MeshRequest::Join(..)
        | MeshRequest::Submit(..)
        | MeshRequest::LatestConfig
        | MeshRequest::Draw(..) => {
            let leader = shared.state().leader;
            match &shared.group {
                Some(group) if leader == Some(shared.own.address) => {
                    decide(&shared, group, ask).await
                }
                _ => MeshResponse::NotLeader(leader),
            }
        }
    }
}

/// Asks the replica here, which leads.
async fn decide(shared: &Shared, group: &Group, ask: MeshRequest) -> MeshResponse {
    let (reply, answer) = async_channel::bounded(1);
    let input = match ask {
        MeshRequest::Submit(version, body) => {
            let Ok(site) = platform::site::parse(&body) else {
                return MeshResponse::Unavailable;
            };
            let teams = site.teams.into_iter().flatten();
            let budgets = teams.filter_map(|team| Some((team.name, team.budget?)));
            Input::Submit(version, body, budgets.collect(), reply)
        }
        MeshRequest::LatestConfig => Input::Read(reply),
        MeshRequest::Draw(lease, demands) => Input::Draw(lease, demands, reply),
        MeshRequest::Join(id, disk, address) => {
            Input::Join(joiner(shared, id, disk, address), reply)
        }
        MeshRequest::Update(_)
        | MeshRequest::Replica(_)
        | MeshRequest::CurrentConfig
        | MeshRequest::Lend(_)
        | MeshRequest::Mark(_)
        | MeshRequest::MarkVia(..)
        | MeshRequest::Fence(_)
        | MeshRequest::Forward(_) => return MeshResponse::Unavailable,
    };
    group.send(input);
    let late = async {
        Timer::after(LEADER_WAIT.into()).await;
        MeshResponse::Unavailable
    };
    let decided = async { answer.recv().await.unwrap_or(MeshResponse::Unavailable) };
    decided.or(late).await
}

fn joiner(shared: &Shared, id: KeeperId, disk: u64, address: SocketAddr) -> Joiner {
    let now = shared.now();
    let state = shared.state();
    let heard = state
        .peers
        .values()
        .filter(|peer| peer.heard.until(now) < REPLACE);
    let present: Vec<KeeperId> = heard.filter_map(|peer| peer.member.keeper).collect();
    Joiner {
        id,
        disk,
        address,
        lost: state.lost.clone(),
        present: (Span(now.0) > REPLACE).then_some(present),
    }
}

/// Returns the peers heard a moment ago, but for the leader.
pub fn near(shared: &Shared) -> Vec<SocketAddr> {
    let now = shared.now();
    let state = shared.state();
    let heard = |peer: &&Peer| peer.direct.is_some_and(|at| at.until(now) < NEAR);
    let near = state.peers.values().filter(heard);
    let near = near.map(|peer| peer.member.address);
    near.filter(|&address| Some(address) != state.leader)
        .collect()
}

/// Asks the leader, itself or through a peer, for at most `patience`.
pub async fn lead(shared: &Shared, ask: &MeshRequest, patience: Span) -> MeshResponse {
    let answer = direct(shared, ask, patience).await;
    if !matches!(
        answer,
        MeshResponse::Unavailable | MeshResponse::NotLeader(_)
    ) {
        return answer;
    }
    let through = fastrand::choice(near(shared));
    let Some(address) = through else {
        return MeshResponse::Unavailable;
    };
    let ask = MeshRequest::Forward(Box::new(ask.clone()));
    peer(shared, address, ask, FORWARD_PATIENCE)
        .await
        .unwrap_or(MeshResponse::Unavailable)
}

/// Asks the leader, again where it can't be reached, for at most `patience`.
async fn direct(shared: &Shared, ask: &MeshRequest, patience: Span) -> MeshResponse {
    let until = shared.now() + patience;
    let mut hint = None;
    loop {
        let leader = hint.take().or(shared.state().leader);
        let answer = match (leader, &shared.group) {
            (Some(address), Some(group)) if address == shared.own.address => {
                decide(shared, group, ask.clone()).await
            }
            (Some(address), _) => {
                let wait = LEADER_WAIT.min(shared.now().until(until));
                peer(shared, address, ask.clone(), wait)
                    .await
                    .unwrap_or(MeshResponse::Unavailable)
            }
            (None, _) => MeshResponse::NotLeader(None),
        };
        match answer {
            MeshResponse::NotLeader(found) => hint = found.filter(|_| leader != found),
            MeshResponse::Unavailable => {}
            decided => return decided,
        }
        if shared.now() + Span::millis(60) >= until {
            return MeshResponse::Unavailable;
        }
        Timer::after(LEADER_PAUSE).await;
    }
}

/// Asks one peer.
pub async fn peer(
    shared: &Shared,
    address: SocketAddr,
    ask: MeshRequest,
    wait: Span,
) -> Option<MeshResponse> {
    let node = shared.node.get()?;
    match node
        .request(address, fleet::PeerRequest::Mesh(ask), wait)
        .await
    {
        Ok(fleet::PeerResponse::Mesh(answer)) => Some(answer),
        Ok(_) => None,
        Err(error) => {
            log::debug!("mesh: event=ask peer={address} outcome=failed reason=\"{error}\"");
            None
        }
    }
}

/// Takes in what a member says of itself, or another says of it.
fn meet(shared: &Shared, member: &Member, direct: bool, now: Time) {
    if member.address == shared.own.address {
        return;
    }
    let mut state = shared.state();
    let state = &mut *state;
    let known = state.peers.get(&member.address);
    let replaced = known.is_none_or(|peer| peer.member.run_id != member.run_id);
    if replaced && !direct && known.is_some_and(|peer| peer.heard.until(now) < PEER_GONE) {
        // Only a process itself says that it has started again.
        return;
    }
    if replaced {
        if let Some(old) = state.peers.remove(&member.address) {
            for places in state.places.values_mut() {
                places.remove_peer(old.member.run_id);
            }
            let same_disk = old.member.keeper.is_some() && old.member.disk == member.disk;
            if let Some(keeper) = old.member.keeper
                && !same_disk
            {
                state.lost.push(keeper);
            }
        }
        log::info!(
            "mesh: event=met peer={} domain={} keeper={:?} direct={direct}",
            member.address,
            member.domain,
            member.keeper
        );
        state.peers.insert(
            member.address,
            Peer {
                member: member.clone(),
                heard: now,
                direct: None,
                version: 0,
                serving: false,
                lease: 0,
                pending: Vec::new(),
                greeted: false,
                telling: None,
            },
        );
    }
    if direct && let Some(peer) = state.peers.get_mut(&member.address) {
        peer.heard = now;
        peer.direct = Some(now);
        peer.member = member.clone();
    }
}

fn take_update(shared: &Arc<Shared>, update: Update) {
    let now = shared.now();
    meet(shared, &update.sender, true, now);
    for member in &update.members {
        meet(shared, member, false, now);
    }
    let mut changed = false;
    let mut state = shared.state();
    for heard in update.announcements {
        let id = heard.announcement.id.clone();
        let at = Time(now.0.saturating_sub(Span::millis(heard.age_ms).0));
        let phase = heard.announcement.phase;
        let news = state.directory.apply_announcement(heard.announcement, at);
        if news == DirectoryUpdate::Changed {
            changed = true;
            if shared.group.is_some() {
                state.spread(&id);
            }
            log::info!(
                "engine: event=learned engine={id} phase={phase:?} from={} age_ms={}",
                update.sender.address,
                heard.age_ms
            );
        }
    }
    if changed {
        state.place_engines(&shared.settings, now);
    }
    for places in state.places.values_mut() {
        places.set_peer_load(update.sender.run_id, &update.loads);
        for sent in &update.prompts {
            places.record_peer_dispatch(sent.engine, &sent.parts, now);
        }
    }
    if let Some(peer) = state.peers.get_mut(&update.sender.address) {
        peer.version = update.config_version;
        peer.serving = update.serving && !update.leaving;
        peer.lease = update.lease;
    }
    state.told_leader = update.leader.or(state.told_leader);
    let own = shared.group.is_some() && state.joined;
    if !own && update.leader.is_some() {
        state.leader = update.leader;
    }
    if update.founder.is_some() && state.founder.is_none() {
        state.founder = update.founder;
    }
    let known = state.table.as_ref().map_or(0, |table| table.site().version);
    drop(state);
    if update.config_version > known {
        let shared = Arc::clone(shared);
        let pool = shared.pool.clone();
        pool.spawn(async move { pull(&shared, update.sender.address).await });
    }
    if changed && shared.group.is_some() {
        shared.news.notify(usize::MAX);
    }
}

/// Fetches the configuration that a peer has in force.
async fn pull(shared: &Shared, address: SocketAddr) {
    if let Some(MeshResponse::Config(version, body)) =
        peer(shared, address, MeshRequest::CurrentConfig, UPDATE_WAIT).await
    {
        shared.accept(version, body);
    }
}

/// Builds the update for a peer and the announcements that it carries.
fn update_for(shared: &Shared, address: SocketAddr, now: Time) -> (Update, Vec<String>) {
    let mut state = shared.state();
    let state = &mut *state;
    let mut ids = Vec::new();
    if let Some(peer) = state.peers.get_mut(&address) {
        ids = std::mem::take(&mut peer.pending);
        peer.telling = Some(now);
        if !peer.greeted {
            peer.greeted = true;
            ids = state
                .directory
                .iter()
                .map(|engine| engine.announcement.id.clone())
                .collect();
        }
    }
    let heard = ids.iter().filter_map(|id| state.directory.get(id));
    let heard = heard.map(|engine| ReceivedAnnouncement {
        announcement: engine.announcement.clone(),
        age_ms: engine.last_heard.until(now).as_millis(),
    });
    let heard = heard.collect();
    let near = state.peers.values().filter(|peer| {
        peer.direct.is_some_and(|at| at.until(now) < PEER_GONE) && peer.member.address != address
    });
    let members = near.take(NAMED).map(|peer| peer.member.clone()).collect();
    let loads = state
        .places
        .values()
        .flat_map(EnginePool::own_loads)
        .collect();
    let update = Update {
        sender: shared.own.clone(),
        members,
        announcements: heard,
        loads,
        prompts: state.sent.clone(),
        config_version: state.table.as_ref().map_or(0, |table| table.site().version),
        leader: state.leader,
        founder: state.founder,
        lease: state.grants.lease_id(),
        serving: shared.health.is_serving(),
        leaving: shared.health.is_stopping(),
    };
    (update, ids)
}

/// Returns where a process with this control address takes messages.
fn mesh_address(shared: &Shared, control: std::net::SocketAddrV4) -> SocketAddr {
    SocketAddr::from((*control.ip(), shared.settings.ports.0))
}

fn targets(shared: &Shared, now: Time) -> Vec<SocketAddr> {
    let state = shared.state();
    let seeds = state.seeds.iter().map(|&seed| mesh_address(shared, seed));
    let mut list: Vec<SocketAddr> = state.peers.keys().copied().chain(seeds).collect();
    list.sort();
    list.dedup();
    list.retain(|address| {
        let peer = state.peers.get(address);
        *address != shared.own.address && peer.is_none_or(|peer| due(peer, now))
    });
    list
}

/// Returns whether a peer should be sent an update now.
///
/// One update is under way to a peer at a time, and those to a silent peer are rare:
/// each takes memory for as long as the transport tries.
fn due(peer: &Peer, now: Time) -> bool {
    let silent = peer.direct.is_none_or(|at| at.until(now) > NEAR);
    match peer.telling {
        Some(at) if silent => at.until(now) > SILENT_EVERY,
        Some(at) => at.until(now) > UPDATE_WAIT,
        None => true,
    }
}

/// Tells all peers the news, for as long as the process runs.
pub async fn tell(shared: Arc<Shared>) {
    let mut last = shared.now();
    loop {
        let listener = shared.news.listen();
        let now = shared.now();
        let gap = last.until(now);
        if gap > STOOD_STILL {
            log::warn!("gateway: event=woke gap_ms={}", gap.as_millis());
        }
        last = now;
        name_founder(&shared, now);
        for address in targets(&shared, now) {
            let (update, ids) = update_for(&shared, address, now);
            let shared = Arc::clone(&shared);
            let pool = shared.pool.clone();
            pool.spawn(async move { tell_one(&shared, address, update, ids).await });
        }
        sweep(&shared, now);
        let tick = async {
            Timer::after(EVERY).await;
        };
        listener.or(tick).await;
        Timer::after(GATHER).await;
    }
}

async fn tell_one(shared: &Shared, address: SocketAddr, update: Update, ids: Vec<String>) {
    let version = update.config_version;
    let ask = MeshRequest::Update(Box::new(update));
    let answer = peer(shared, address, ask, UPDATE_WAIT).await;
    let Some(MeshResponse::Version(theirs)) = answer else {
        let mut state = shared.state();
        if let Some(peer) = state.peers.get_mut(&address) {
            // What was not taken in goes with the next update.
            for id in ids {
                if !peer.pending.contains(&id) {
                    peer.pending.push(id);
                }
            }
        }
        return;
    };
    if let Some(peer) = shared.state().peers.get_mut(&address) {
        peer.telling = None;
    }
    if theirs > version {
        pull(shared, address).await;
    }
}

/// Logs the memory in use, from the operating system's own figure in pages.
pub async fn report_memory() {
    loop {
        match std::fs::read_to_string("/proc/self/statm") {
            Ok(text) => log::info!("gateway: event=memory pages=\"{}\"", text.trim_end()),
            Err(error) => log::debug!("gateway: event=memory outcome=failed reason=\"{error}\""),
        }
        Timer::after(MEMORY_EVERY).await;
    }
}

/// Drops what is over.
fn sweep(shared: &Shared, now: Time) {
    let mut state = shared.state();
    let state = &mut *state;
    if state.leader.is_none() && state.leading.is_some() {
        state.find_leader(&shared.own);
    }
    state.sent.clear();
    state.links.sweep(now);
    state.directory.expire(now);
    state.place_engines(&shared.settings, now);
    let gone: Vec<SocketAddr> = state
        .peers
        .iter()
        .filter(|(_, peer)| peer.heard.until(now) > FORGET)
        .map(|(&address, _)| address)
        .collect();
    for peer in state.peers.values() {
        if peer.heard.until(now) > PEER_GONE {
            for places in state.places.values_mut() {
                places.remove_peer(peer.member.run_id);
            }
        }
    }
    for address in gone {
        state.peers.remove(&address);
        log::warn!("mesh: event=forgot peer={address}");
    }
    let confirmed = state.confirmed || Span(now.0) > CONFIRM;
    if confirmed && !state.confirmed && state.table.is_some() {
        log::warn!("config: event=unconfirmed outcome=serving reason=\"no word from the group\"");
        state.confirmed = true;
    }
    let spends = state.grants.accepts_callers(now);
    shared
        .health
        .set_ready(state.confirmed && state.table.is_some() && spends);
}

/// At the first start, the process at the lowest seed names the replica that forms
/// the group: all processes are given the same seeds then.
fn name_founder(shared: &Shared, now: Time) {
    if !shared.settings.bootstrap {
        return;
    }
    let mut state = shared.state();
    let arbiter = state
        .seeds
        .iter()
        .min()
        .map(|&seed| mesh_address(shared, seed));
    if state.founder.is_none() && arbiter == Some(shared.own.address) {
        let founding = state
            .peers
            .values()
            .filter(|peer| peer.member.bootstrapping);
        let other = founding.filter_map(|peer| peer.member.keeper).min();
        let named = shared
            .own
            .keeper
            .or(other.filter(|_| Span(now.0) > NAME_AFTER));
        if let Some(founder) = named {
            log::info!("group: event=founder replica={founder}");
            state.founder = named;
        }
    }
    let chosen = state.founder.is_some() && state.founder == shared.own.keeper;
    if chosen
        && !state.joined
        && let Some(group) = &shared.group
    {
        group.send(Input::Form);
    }
}

/// Sends messages of the log, those for one replica together and in order.
pub async fn carry(shared: Arc<Shared>, envelopes: Receiver<Envelope>) {
    while let Ok(envelope) = envelopes.recv().await {
        let keeper = envelope.to;
        shared.outboxes().entry(keeper).or_default().push(envelope);
        // Messages that were made together leave together.
        if envelopes.is_empty() {
            send_waiting(&shared);
        }
    }
}

/// Starts sending to replicas for which messages wait and none are under way.
fn send_waiting(shared: &Arc<Shared>) {
    let mut ready = Vec::new();
    for (&keeper, outbox) in shared.outboxes().iter_mut() {
        if let Some(batch) = outbox.take() {
            ready.push((keeper, batch));
        }
    }
    for (keeper, batch) in ready {
        let shared = Arc::clone(shared);
        let pool = shared.pool.clone();
        pool.spawn(async move { send_batches(&shared, keeper, batch).await });
    }
}

/// Sends batch after batch to a replica until nothing waits.
async fn send_batches(shared: &Shared, keeper: KeeperId, first: Vec<Envelope>) {
    let mut next = Some(first);
    while let Some(batch) = next {
        let address = {
            let state = shared.state();
            let mut peers = state.peers.values();
            let found = peers.find(|peer| peer.member.keeper == Some(keeper));
            found.map(|peer| peer.member.address)
        };
        if let Some(address) = address {
            // What is lost is sent again by the log's own protocol.
            let _ = peer(shared, address, MeshRequest::Replica(batch), REPLICA_WAIT).await;
        }
        let mut outboxes = shared.outboxes();
        let outbox = outboxes.entry(keeper).or_default();
        outbox.done();
        next = outbox.take();
    }
}

/// Asks to join the group while the replica here doesn't belong to it, or hears no
/// leader though others do: it may have been removed while it was cut off.
pub async fn join(shared: Arc<Shared>) {
    let Some(group) = &shared.group else {
        return;
    };
    let mut alone: Option<Time> = None;
    loop {
        Timer::after(JOIN_EVERY).await;
        let now = shared.now();
        let (joined, leader, told_leader) = {
            let state = shared.state();
            (state.joined, state.leader, state.told_leader)
        };
        alone = alone.or(Some(now)).filter(|_| leader.is_none());
        let ask = MeshRequest::Join(group.id(), group.disk(), shared.own.address);
        // The answers say nothing that membership itself doesn't.
        if !joined && leader.is_some() {
            let _ = lead(&shared, &ask, LEADER_WAIT).await;
        } else if joined
            && alone.is_some_and(|since| since.until(now) > ALONE)
            && let Some(leader) = told_leader
        {
            log::info!("group: event=join leader={leader} reason=\"no leader is heard\"");
            let _ = peer(&shared, leader, ask, LEADER_WAIT).await;
        }
    }
}

/// Asks for the newest configuration until the group has confirmed it.
pub async fn confirm(shared: Arc<Shared>) {
    while !shared.state().confirmed {
        if let MeshResponse::Config(version, body) =
            lead(&shared, &MeshRequest::LatestConfig, LEADER_WAIT).await
            && shared.accept(version, body)
        {
            shared.state().confirmed = true;
            log::info!("config: event=confirmed version={version}");
            return;
        }
        Timer::after(LEADER_PAUSE).await;
    }
}
