//! Measures how fast a configuration document comes into force, how large its
//! messages are and how long a restart takes.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use base::EntryId;
use base::Span;
use base::Tokens;
use config::Document;
use config::Patch;
use config::register::new_submission;
use daemon::keeper::state::ReplicatedState;
use daemon::keeper::state::StateCommand;
use eyre::Result;
use eyre::ensure;
use fleet::PeerRequest;
use fleet::PeerResponse;
use fleet::wire::DocumentUpdate;
use fleet::wire::Watch;
use futures_lite::future::block_on;
use host::Pool;
use serde_json::Value;
use serde_json::json;

use super::BenchOptions;
use super::process_stats;
use crate::command::worker_threads;
use crate::demo::percentile_ms;
use crate::demo::scratch_folder;
use crate::site::Layout;
use crate::site::LocalSite;
use crate::site::initial_document;
use crate::site::operator_node;
use crate::site::team_name;

/// Numbers of concurrent subscribers.
const SUBSCRIBER_COUNTS: [u64; 3] = [10, 50, 200];

/// Changes submitted for each number of subscribers.
const CHANGES: u64 = 12;

/// Interval between two watch requests of a subscriber, as in an entry.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of one request.
const REQUEST_TIMEOUT: Span = Span::secs(3);

/// Numbers of teams in the documents whose messages and digest are measured.
const TEAM_COUNTS: [usize; 3] = [10, 2_500, 25_000];

/// Numbers of teams and of the changes replayed after a restart.
const REPLAY_CASES: [(usize, u64); 3] = [(10, 1_000), (10, 20_000), (25_000, 100)];

fn next_document(document: &Document, n: u64) -> Document {
    let mut next = document.clone();
    next.follows = document.number;
    next.number += 1;
    if let Some(team) = next.teams.get_mut(&team_name(0)) {
        team.weight = u32::try_from(n % 900).unwrap_or(0) + 2;
    }
    next
}

/// Polls every keeper for new documents, as one entry process does, up to document `last_number`.
///
/// Returns each new document number with the time at which it was seen.
async fn subscribe(site: Arc<LocalSite>, id: u64, last_number: u64) -> Vec<(u64, Instant)> {
    let pool = &site.pools.others;
    let Ok(node) = operator_node(pool, &site.folder.join("keys"), "operator") else {
        return Vec::new();
    };
    let mut number = 0;
    let mut observations = Vec::new();
    while number < last_number {
        for peer in &site.peers {
            let watch = Watch {
                entry: EntryId(id),
                version: u64::MAX - 1,
                document: number,
            };
            let response = node
                .request(peer.address, PeerRequest::Watch(watch), REQUEST_TIMEOUT)
                .await;
            if let Ok(PeerResponse::Changes(_, update)) = response {
                let newest_number = match update {
                    DocumentUpdate::Unchanged => number,
                    DocumentUpdate::Patches(patches) => patches.last().map_or(number, |p| p.number),
                    DocumentUpdate::Full(document) => document.number,
                };
                if newest_number > number {
                    number = newest_number;
                    observations.push((number, Instant::now()));
                }
            }
        }
        Timer::after(WATCH_INTERVAL).await;
    }
    node.close();
    observations
}

async fn measure_propagation(pool: &Pool, subscribers: u64) -> Result<Value> {
    let layout = Layout {
        engines: 1,
        services: 0,
        teams: 10,
        ..Layout::default()
    };
    let folder = scratch_folder(&format!("config-{subscribers}"));
    let site = Arc::new(LocalSite::start(pool, &folder, &layout).await?);
    let last_number = 1 + CHANGES;
    let tasks: Vec<_> = (0..subscribers)
        .map(|id| pool.spawn_with_handle(subscribe(Arc::clone(&site), id, last_number)))
        .collect();
    let mut current = initial_document(10, 1_000_000);
    let mut accepted = Vec::new();
    for n in 0..CHANGES {
        Timer::after(Duration::from_millis(400)).await;
        let next = next_document(&current, n);
        let outcome = site.submit(&next).await?;
        let is_accepted = matches!(outcome, fleet::wire::SubmitOutcome::Accepted(_));
        ensure!(is_accepted, "{outcome:?}");
        accepted.push((next.number, Instant::now()));
        current = next;
    }
    let mut delays = Vec::new();
    for task in tasks {
        let observations = task.await;
        for (number, accepted_at) in &accepted {
            let observation = observations.iter().find(|(found, _)| found >= number);
            ensure!(
                observation.is_some(),
                "a subscriber missed document {number}"
            );
            delays.extend(
                observation
                    .map(|(_, observed_at)| observed_at.saturating_duration_since(*accepted_at)),
            );
        }
    }
    Ok(json!({
        "subscribers": subscribers,
        "in_force_p50_ms": percentile_ms(&mut delays.clone(), 0.5),
        "in_force_p95_ms": percentile_ms(&mut delays.clone(), 0.95),
        "in_force_max_ms": percentile_ms(&mut delays, 1.0),
    }))
}

fn measure_sizes(teams: usize) -> Result<Value> {
    let mut first = initial_document(teams, 1);
    first.number = 1;
    let next = next_document(&first, 1);
    let patch = Patch::between(&first, &next);
    let patch_message = PeerResponse::Changes(
        routing::MembershipDelta::default(),
        DocumentUpdate::Patches(vec![patch]),
    );
    let full_message = PeerResponse::Changes(
        routing::MembershipDelta::default(),
        DocumentUpdate::Full(Box::new(first.clone())),
    );
    let started = Instant::now();
    let digest = config::canonical::digest(&first);
    let digest_time = started.elapsed();
    ensure!(!digest.to_hex().is_empty(), "the digest is empty");
    Ok(json!({
        "teams": teams,
        "bytes_per_change": postcard::to_stdvec(&patch_message)?.len(),
        "bytes_whole": postcard::to_stdvec(&full_message)?.len(),
        "digest_us": process_stats::micros_per_item(digest_time, 1),
    }))
}

fn measure_replay(teams: usize, count: u64) -> Result<Value> {
    let mut current = Document::default();
    let mut next = initial_document(teams, 1);
    let mut commands = Vec::new();
    for n in 0..count {
        for team in next.teams.values_mut().take(1) {
            team.budget = Tokens(n + 1);
        }
        commands.push(StateCommand::Submit(new_submission(
            &current, &next, "bench",
        )));
        current = next;
        next = next_document(&current, n);
    }
    let mut state = ReplicatedState::default();
    let started = Instant::now();
    for command in &commands {
        state.apply(command, 1);
    }
    let elapsed = started.elapsed();
    ensure!(
        state.register.current().number == count,
        "not all changes were accepted"
    );
    Ok(json!({
        "teams": teams,
        "changes": count,
        "restart_ms": elapsed.as_secs_f64() * 1e3,
        "us_per_change": process_stats::micros_per_item(elapsed, count),
    }))
}

/// Runs the experiment and prints its results as JSON.
///
/// # Errors
///
/// Returns an error if a site doesn't start, a change isn't accepted or a subscriber
/// misses a change.
pub fn run(_options: &BenchOptions) -> Result<()> {
    let pool = Pool::start(worker_threads());
    let mut rows = Vec::new();
    for subscribers in SUBSCRIBER_COUNTS {
        rows.push(block_on(measure_propagation(&pool, subscribers))?);
    }
    let sizes: Result<Vec<Value>> = TEAM_COUNTS.into_iter().map(measure_sizes).collect();
    let replays: Result<Vec<Value>> = REPLAY_CASES
        .into_iter()
        .map(|(t, c)| measure_replay(t, c))
        .collect();
    let result = json!({ "spread": rows, "sizes": sizes?, "restart": replays? });
    println!("{}", serde_json::to_string_pretty(&result)?);
    Ok(())
}
