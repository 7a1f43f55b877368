//! State updates between processes, and the requests that peers send.
//!
//! `fleet::peers` decides who is sent what, and when; this module carries it out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use base::Map;
use base::Span;
use base::Time;
use fleet::mesh::MeshRequest;
use fleet::mesh::MeshResponse;
use fleet::mesh::Profile;
use fleet::mesh::Update;
use fleet::peers::Applied;
use fleet::peers::PEER_TIMEOUT;
use fleet::peers::UPDATE_TIMEOUT;
use fleet::view::MAX_ROUND_GAP;
use futures_lite::FutureExt as _;
use routing::placement::EnginePool;

use crate::budget;
use crate::crash_news;
use crate::departures;
use crate::engines;
use crate::evacuations;
use crate::group::Input;
use crate::leader_requests::request_leader_directly;
use crate::leader_requests::request_local_leader;
use crate::peer_requests::request_peer;
use crate::state::ProcessContext;
use crate::state::ProcessState;
use crate::witness;

/// Time between two rounds while this process has requests at engines.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(33);

/// Time between two rounds otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two checks for expired state and for readiness.
const MAINTENANCE_INTERVAL: Span = Span::millis(200);

/// Time between two notifications of the tasks that check something regularly.
const TICK_INTERVAL: Span = Span::millis(100);

/// Time between two checks for expired peers.
const EXPIRY_INTERVAL: Span = Span::millis(1_000);

/// Delay of a round after a change, so that changes that occur together are sent together.
const UPDATE_BATCH_DELAY: Duration = Duration::from_millis(8);

/// Maximum wait for the leader's response to a request forwarded for another process.
const FORWARDED_REQUEST_TIMEOUT: Span = Span::millis(300);

/// Time between two log lines with the memory in use.
const MEMORY_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Time after the start in which a process isn't ready with a configuration that the group
/// hasn't confirmed. After it, a process that can't reach the group serves what its
/// configuration allows, but denies nothing.
const CONFIRMATION_TIMEOUT: Span = Span::millis(1_500);

/// Time after the start for which an arbiter without a disk waits for processes with one
/// before it chooses the founder.
const FOUNDER_DELAY: Span = Span::millis(400);

/// Handles a peer's request.
pub async fn handle_request(shared: Arc<ProcessContext>, request: MeshRequest) -> MeshResponse {
    match request {
        MeshRequest::Update(update) => {
            let address = update.sender.address;
            apply_update(&shared, *update, true);
            let mut state = shared.state();
            let update = build_update(&shared, &mut state, address, shared.now());
            MeshResponse::Update(Box::new(update))
        }
        MeshRequest::Replica(envelopes) => match &shared.group {
            Some(group) => {
                group.send(Input::Messages(envelopes));
                MeshResponse::Done
            }
            None => MeshResponse::Unavailable,
        },
        MeshRequest::ConfigPart(version, offset) => shared
            .state()
            .held_config
            .part(version, offset)
            .map_or(MeshResponse::Unavailable, MeshResponse::ConfigPart),
        MeshRequest::CrashNews(news) => {
            crash_news::apply_crash_news(&shared, &news);
            MeshResponse::Done
        }
        MeshRequest::Lend(requests) => budget::lend_tokens(&shared, requests).await,
        // A new disk at the address of a lost one knows nothing of what that one recorded.
        MeshRequest::Mark(replica, _) | MeshRequest::Fence(replica, _)
            if shared.own_member.keeper != Some(replica) =>
        {
            MeshResponse::Unavailable
        }
        MeshRequest::Mark(_, mark) => witness::record_mark(&shared, mark).await,
        MeshRequest::MarkVia(replicas, mark) => {
            witness::forward_mark(&shared, &replicas, mark).await
        }
        MeshRequest::Fence(_, lease) => witness::fence_lease(&shared, lease).await,
        MeshRequest::Forward(request) => match *request {
            // A request is forwarded only once. The sender can't reach the leader, but
            // this process may.
            MeshRequest::Submit(..)
            | MeshRequest::AwaitConfig(_)
            | MeshRequest::LatestVersion
            | MeshRequest::Evacuate(..)
            | MeshRequest::LatestEvacuations
            | MeshRequest::NumberEntry(_)
            | MeshRequest::Depart(_)
            | MeshRequest::LatestDepartures
            | MeshRequest::Draw(..) => {
                request_leader_directly(&shared, &request, FORWARDED_REQUEST_TIMEOUT).await
            }
            _ => MeshResponse::Unavailable,
        },
        MeshRequest::Join(..)
        | MeshRequest::Submit(..)
        | MeshRequest::AwaitConfig(_)
        | MeshRequest::LatestVersion
        | MeshRequest::Evacuate(..)
        | MeshRequest::LatestEvacuations
        | MeshRequest::NumberEntry(_)
        | MeshRequest::Depart(_)
        | MeshRequest::LatestDepartures
        | MeshRequest::Draw(..) => {
            let leader = shared.state().leader;
            match &shared.group {
                Some(group) if leader == Some(shared.own_member.address) => {
                    request_local_leader(&shared, group, request).await
                }
                _ => MeshResponse::NotLeader(leader),
            }
        }
    }
}

/// Carries out the effects of meeting processes and of the end of runs.
fn apply_members(shared: &ProcessContext, state: &mut ProcessState, applied: &Applied) {
    for old in &applied.replaced {
        if let Some(node) = shared.node.get() {
            // The new process doesn't know the connection.
            node.disconnect(old.address);
        }
        for engine_pool in state.engine_pools.values_mut() {
            engine_pool.remove_peer(old.run_id);
        }
        let present = state.peers.get(old.address);
        let same_disk = present.is_some_and(|peer| peer.member.disk == old.disk);
        if let Some(keeper) = old.keeper
            && !same_disk
        {
            state.lost_replicas.push(keeper);
        }
    }
    for member in &applied.met {
        log::info!(
            "mesh: event=met peer={} domain={} keeper={:?} processor={}",
            member.address,
            member.domain,
            member.keeper,
            member.processor
        );
    }
}

/// Applies a peer's update to the state; `asks` if it is a request.
fn apply_update(shared: &Arc<ProcessContext>, update: Update, asks: bool) {
    let now = shared.now();
    let from = (update.sender.run_id, update.sender.address);
    let mut guard = shared.state();
    let state = &mut *guard;
    let before = state.peers.position();
    let applied = state.peers.apply(update, asks, now);
    apply_members(shared, state, &applied);
    engines::learn(shared, state, applied.announcements, from, now);
    for address in &applied.loaded {
        let Some(peer) = state.peers.get(*address) else {
            continue;
        };
        let loads = peer.loads();
        for engine_pool in state.engine_pools.values_mut() {
            engine_pool.set_peer_load(peer.member.run_id, &loads);
        }
    }
    for engine_pool in state.engine_pools.values_mut() {
        for sent in &applied.prompts {
            engine_pool.record_peer_dispatch(sent.engine, &sent.parts, now);
        }
    }
    let local_member = shared.group.is_some() && state.is_member;
    if !local_member && let Some(leader) = state.peers.reported_leader(now) {
        state.leader = Some(leader);
    }
    let is_urgent = state.peers.has_news(before);
    shared.record_config_version_in(state, applied.newest_version, now);
    drop(guard);
    shared.peers_changed.notify(usize::MAX);
    evacuations::learn(shared, &applied.evacuations);
    if is_urgent {
        shared.update_needed.notify(usize::MAX);
    }
}

/// Builds the update for a peer.
fn build_update(
    shared: &ProcessContext,
    state: &mut ProcessState,
    address: SocketAddr,
    now: Time,
) -> Update {
    let update = state.peers.update_for(address, &state.directory, now);
    shared.metrics.mesh.record_sent(&update);
    update
}

/// Records what this process tells its peers.
fn describe_self(shared: &ProcessContext, state: &mut ProcessState, now: Time) {
    let own_leader = state
        .leader
        .filter(|_| shared.group.is_some() && state.is_member);
    let profile = Profile {
        member: shared.own_member.clone(),
        version: 0,
        config_version: state.held_config.version(),
        lease: state.grants.lease_id(),
        serving: shared.health.is_serving(),
        leaving: shared.health.is_stopping(),
        leader: own_leader,
        pressure: shared.load_monitor.pressure(),
    };
    state.peers.describe(profile, now);
    let newest = state.held_config.newest_version();
    state.peers.set_newest_version(newest, now);
    state.peers.set_evacuations(&shared.evacuations.set(), now);
    let pools = state.engine_pools.values();
    let loads: Vec<_> = pools.flat_map(EnginePool::own_loads).collect();
    state.peers.set_own_loads(&loads, now);
    for prompt in state.sent_prompts.drain(..) {
        state.peers.add_prompt(prompt, now);
    }
}

/// Returns the mesh address of the process with this control address. All processes are
/// reached at the same port.
fn mesh_address(shared: &ProcessContext, control: std::net::SocketAddrV4) -> SocketAddr {
    SocketAddr::from((*control.ip(), shared.own_member.address.port()))
}

/// Sends updates to peers until the process ends.
pub async fn send_updates(shared: Arc<ProcessContext>) {
    let mut maintained = Time(0);
    let mut ticked = Time(0);
    loop {
        let listener = shared.update_needed.listen();
        let now = shared.now();
        let gap = shared.state().view.begin_round(now);
        if gap > MAX_ROUND_GAP {
            log::warn!("gateway: event=woke gap_ms={}", gap.as_millis());
            shared.view_outdated.notify(usize::MAX);
        }
        choose_founder(&shared, now);
        let active = start_exchanges(&shared, now);
        if maintained.until(now) >= MAINTENANCE_INTERVAL {
            maintained = now;
            run_maintenance(&shared, now);
        }
        if ticked.until(now) >= TICK_INTERVAL {
            ticked = now;
            shared.tick.notify(usize::MAX);
        }
        let interval = if active {
            ACTIVE_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        let tick = async {
            shared.load_monitor.sleep(interval, &shared.clock).await;
            false
        };
        let told = async {
            listener.await;
            true
        };
        if told.or(tick).await {
            shared
                .load_monitor
                .sleep(UPDATE_BATCH_DELAY, &shared.clock)
                .await;
        }
    }
}

/// Starts the exchanges that are due; returns whether this process has requests at engines.
fn start_exchanges(shared: &Arc<ProcessContext>, now: Time) -> bool {
    let mut state = shared.state();
    describe_self(shared, &mut state, now);
    departures::settle_view(shared, &mut state, now);
    let seeds = state.seeds.iter().map(|&seed| mesh_address(shared, seed));
    let seeds: Vec<SocketAddr> = seeds.collect();
    for address in state.peers.due(&seeds, now) {
        let update = build_update(shared, &mut state, address, now);
        state.peers.begin_exchange(address, now);
        let shared = Arc::clone(shared);
        let pool = shared.pool.clone();
        pool.spawn(async move { exchange_updates(&shared, address, update).await });
    }
    state.peers.is_active()
}

/// Sends an update to one peer and applies the one that it responds with.
async fn exchange_updates(shared: &Arc<ProcessContext>, address: SocketAddr, update: Update) {
    let request = MeshRequest::Update(Box::new(update));
    let answer = request_peer(shared, address, request, UPDATE_TIMEOUT).await;
    let answered = answer.is_some();
    if let Some(MeshResponse::Update(update)) = answer {
        apply_update(shared, *update, false);
    }
    let now = shared.now();
    let mut state = shared.state();
    state.peers.finish_exchange(address, answered, now);
    departures::settle_view(shared, &mut state, now);
}

/// Logs the memory in use regularly, as reported by the operating system in pages.
pub async fn report_memory() {
    loop {
        match std::fs::read_to_string("/proc/self/statm") {
            Ok(text) => log::info!("gateway: event=memory pages=\"{}\"", text.trim_end()),
            Err(error) => log::debug!("gateway: event=memory outcome=failed reason=\"{error}\""),
        }
        Timer::after(MEMORY_LOG_INTERVAL).await;
    }
}

/// Removes expired peers, and applies the loads of the others: engines may have become known
/// after them.
fn expire_peers(state: &mut ProcessState, now: Time) {
    if !state.peers.is_expiry_due(EXPIRY_INTERVAL, now) {
        return;
    }
    let known = state.peers.values().map(|peer| &peer.member);
    let runs: Map<SocketAddr, u64> = known.map(|known| (known.address, known.run_id)).collect();
    for address in state.peers.expire(now) {
        for engine_pool in state.engine_pools.values_mut() {
            engine_pool.remove_peer(runs.get(&address).copied().unwrap_or_default());
        }
        log::warn!("mesh: event=forgot peer={address}");
    }
    let directory = &state.directory;
    state.peers.retain_engines(|id| directory.get(id).is_some());
    for peer in state.peers.values() {
        for engine_pool in state.engine_pools.values_mut() {
            if peer.is_heard(PEER_TIMEOUT, now) {
                engine_pool.set_peer_load(peer.member.run_id, &peer.loads());
            } else {
                engine_pool.silence_peer(peer.member.run_id);
            }
        }
    }
}

/// Removes expired state and updates the readiness.
fn run_maintenance(shared: &ProcessContext, now: Time) {
    let mut state = shared.state();
    let state = &mut *state;
    if state.leader.is_none() && state.leading_replica.is_some() {
        state.find_leader(&shared.own_member);
    }
    state.connections.remove_expired(now);
    state.directory.expire(now);
    state.update_engine_pools(shared, now);
    let pools = state.engine_pools.values();
    let engines = pools.flat_map(|pool| pool.availabilities(now));
    shared.metrics.record_engines(engines);
    shared.metrics.mesh.record_links(state.peers.links());
    expire_peers(state, now);
    let pools = state.engine_pools.values();
    let cold = pools.flat_map(|pool| pool.cold_engines(now)).count();
    shared.metrics.record_cold(cold);
    let confirmed = state.held_config.is_confirmed();
    let overdue = state.is_config_overdue(&shared.settings, now);
    let ordered = confirmed && shared.evacuations.is_confirmed();
    let serves = (ordered || Span(now.0) > CONFIRMATION_TIMEOUT) && !overdue;
    if serves && !confirmed && state.site_index.is_some() && !state.unconfirmed_logged {
        log::warn!(
            "config: event=unconfirmed outcome=serving reason=\"the group has not confirmed the configuration\""
        );
        state.unconfirmed_logged = true;
    }
    let spends = state.grants.accepts_callers(now);
    let sheds = shared.load_monitor.update(shared, state, now);
    shared
        .health
        .set_ready(serves && state.site_index.is_some() && spends && !sheds);
}

/// At the first start of the system, the process at the lowest seed address (the
/// arbiter) chooses the replica that forms the group. All processes have the same seeds
/// then.
fn choose_founder(shared: &ProcessContext, now: Time) {
    if !shared.settings.bootstrap {
        return;
    }
    let mut state = shared.state();
    let arbiter = state
        .seeds
        .iter()
        .min()
        .map(|&seed| mesh_address(shared, seed));
    if state.peers.founder.is_none() && arbiter == Some(shared.own_member.address) {
        let founding = state
            .peers
            .values()
            .filter(|peer| peer.member.bootstrapping);
        let other = founding.filter_map(|peer| peer.member.keeper).min();
        let named = shared
            .own_member
            .keeper
            .or(other.filter(|_| Span(now.0) > FOUNDER_DELAY));
        if let Some(founder) = named {
            log::info!("group: event=founder replica={founder}");
            state.peers.founder = named;
        }
    }
    let founder = state.peers.founder;
    let chosen = founder.is_some() && founder == shared.own_member.keeper;
    if chosen
        && !state.is_member
        && let Some(group) = &shared.group
    {
        group.send(Input::FormGroup);
    }
}
