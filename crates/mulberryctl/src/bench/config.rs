//! How fast a document is in force, what it costs, and how long a restart takes.

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
use daemon::keeper::site::Change;
use daemon::keeper::site::Site;
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

use super::Plan;
use super::machine;
use crate::command::worker_threads;
use crate::demo::percentile_ms;
use crate::demo::scratch_folder;
use crate::site::Layout;
use crate::site::LocalSite;
use crate::site::initial_document;
use crate::site::operator_node;
use crate::site::team_name;

/// Subscribers at once.
const SUBSCRIBERS: [u64; 3] = [10, 50, 200];

/// Changes submitted for each number of subscribers.
const CHANGES: u64 = 12;

/// Time between two questions of a subscriber, as entries ask.
const WATCH: Duration = Duration::from_millis(250);

/// Longest wait for an answer.
const WAIT: Span = Span::secs(3);

/// Teams of the documents whose changes are applied again after a restart.
const TEAMS: [usize; 3] = [10, 2_500, 25_000];

/// Changes applied again, with the number of teams.
const REPLAYS: [(usize, u64); 3] = [(10, 1_000), (10, 20_000), (25_000, 100)];

fn changed(document: &Document, n: u64) -> Document {
    let mut next = document.clone();
    next.follows = document.number;
    next.number += 1;
    if let Some(team) = next.teams.get_mut(&team_name(0)) {
        team.weight = u32::try_from(n % 900).unwrap_or(0) + 2;
    }
    next
}

/// One process's worth of a subscriber: asks each keeper as an entry does.
async fn subscribe(site: Arc<LocalSite>, id: u64, until: u64) -> Vec<(u64, Instant)> {
    let pool = &site.pools.others;
    let Ok(node) = operator_node(pool, &site.folder.join("keys"), "operator") else {
        return Vec::new();
    };
    let mut number = 0;
    let mut seen = Vec::new();
    while number < until {
        for peer in &site.peers {
            let watch = Watch {
                entry: EntryId(id),
                version: u64::MAX - 1,
                document: number,
            };
            let answer = node
                .request(peer.address, PeerRequest::Watch(watch), WAIT)
                .await;
            if let Ok(PeerResponse::Changes(_, news)) = answer {
                let newest = match news {
                    DocumentUpdate::Unchanged => number,
                    DocumentUpdate::Patches(patches) => patches.last().map_or(number, |p| p.number),
                    DocumentUpdate::Full(document) => document.number,
                };
                if newest > number {
                    number = newest;
                    seen.push((number, Instant::now()));
                }
            }
        }
        Timer::after(WATCH).await;
    }
    node.close();
    seen
}

async fn spread(pool: &Pool, subscribers: u64) -> Result<Value> {
    let layout = Layout {
        engines: 1,
        services: 0,
        teams: 10,
        ..Layout::default()
    };
    let folder = scratch_folder(&format!("config-{subscribers}"));
    let site = Arc::new(LocalSite::start(pool, &folder, &layout).await?);
    let last = 1 + CHANGES;
    let tasks: Vec<_> = (0..subscribers)
        .map(|id| pool.spawn_with_handle(subscribe(Arc::clone(&site), id, last)))
        .collect();
    let mut current = initial_document(10, 1_000_000);
    let mut accepted = Vec::new();
    for n in 0..CHANGES {
        Timer::after(Duration::from_millis(400)).await;
        let next = changed(&current, n);
        let verdict = site.submit(&next).await?;
        let taken = matches!(verdict, fleet::wire::SubmitOutcome::Accepted(_));
        ensure!(taken, "{verdict:?}");
        accepted.push((next.number, Instant::now()));
        current = next;
    }
    let mut waits = Vec::new();
    for task in tasks {
        let seen = task.await;
        for (number, at) in &accepted {
            let got = seen.iter().find(|(found, _)| found >= number);
            ensure!(got.is_some(), "a subscriber missed number {number}");
            waits.extend(got.map(|(_, when)| when.saturating_duration_since(*at)));
        }
    }
    Ok(json!({
        "subscribers": subscribers,
        "in_force_p50_ms": percentile_ms(&mut waits.clone(), 0.5),
        "in_force_p95_ms": percentile_ms(&mut waits.clone(), 0.95),
        "in_force_max_ms": percentile_ms(&mut waits, 1.0),
    }))
}

fn sizes(teams: usize) -> Result<Value> {
    let mut first = initial_document(teams, 1);
    first.number = 1;
    let next = changed(&first, 1);
    let patch = Patch::between(&first, &next);
    let news = PeerResponse::Changes(
        routing::MembershipDelta::default(),
        DocumentUpdate::Patches(vec![patch]),
    );
    let whole = PeerResponse::Changes(
        routing::MembershipDelta::default(),
        DocumentUpdate::Full(Box::new(first.clone())),
    );
    let begun = Instant::now();
    let digest = config::canonical::digest(&first);
    let digest_time = begun.elapsed();
    ensure!(!digest.to_hex().is_empty(), "a digest has digits");
    Ok(json!({
        "teams": teams,
        "bytes_per_change": postcard::to_stdvec(&news)?.len(),
        "bytes_whole": postcard::to_stdvec(&whole)?.len(),
        "digest_us": machine::micros_each(digest_time, 1),
    }))
}

fn replay(teams: usize, count: u64) -> Result<Value> {
    let mut current = Document::default();
    let mut next = initial_document(teams, 1);
    let mut changes = Vec::new();
    for n in 0..count {
        for team in next.teams.values_mut().take(1) {
            team.budget = Tokens(n + 1);
        }
        changes.push(Change::Submit(new_submission(&current, &next, "bench")));
        current = next;
        next = changed(&current, n);
    }
    let mut site = Site::default();
    let begun = Instant::now();
    for change in &changes {
        site.apply(change, 1);
    }
    let took = begun.elapsed();
    ensure!(site.register.current().number == count, "all are accepted");
    Ok(json!({
        "teams": teams,
        "changes": count,
        "restart_ms": took.as_secs_f64() * 1e3,
        "us_per_change": machine::micros_each(took, count),
    }))
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails where a site doesn't start or a subscriber misses a change.
pub fn run(_plan: &Plan) -> Result<()> {
    let pool = Pool::start(worker_threads());
    let mut rows = Vec::new();
    for subscribers in SUBSCRIBERS {
        rows.push(block_on(spread(&pool, subscribers))?);
    }
    let sizes: Result<Vec<Value>> = TEAMS.into_iter().map(sizes).collect();
    let replays: Result<Vec<Value>> = REPLAYS.into_iter().map(|(t, c)| replay(t, c)).collect();
    let result = json!({ "spread": rows, "sizes": sizes?, "restart": replays? });
    println!("{}", serde_json::to_string_pretty(&result)?);
    Ok(())
}
