//! Commits, recovery and memory of a keeper.

use std::fs;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::KeeperId;
use base::RequestId;
use base::Span;
use base::TeamId;
use base::Tokens;
use consensus::Entry;
use consensus::LogWrite;
use consensus::Payload;
use consensus::Position;
use daemon::keeper::disk::Disk;
use daemon::keeper::site::Change;
use eyre::Result;
use fleet::PeerRequest;
use fleet::PeerResponse;
use futures_lite::future::block_on;
use hdrhistogram::Histogram;
use host::Pool;
use ledger::Batch;
use ledger::Command;
use ledger::Ledger;
use ledger::Posting;
use ledger::TopUp;
use serde_json::Value;
use serde_json::json;
use store::JournalOptions;

use super::Plan;
use super::machine;
use crate::command::worker_threads;
use crate::demo::scratch_folder;
use crate::site::Layout;
use crate::site::LocalSite;
use crate::site::team_name;

/// Operators' clients at once.
const CLIENTS: [u64; 3] = [1, 16, 256];

/// Records of the journals whose recovery is timed.
const JOURNALS: [u64; 3] = [10_000, 50_000, 200_000];

/// Budgets whose memory is measured.
const BUDGETS: [u64; 2] = [11_000, 110_000];

/// Billed requests whose memory is measured.
const BILLED: [u64; 2] = [1_000_000, 4_000_000];

/// Moves of one batch.
const MOVES: u64 = 1_000;

/// Longest wait for a commit.
const WAIT: Span = Span::secs(5);

async fn commits(site: &Arc<LocalSite>, pool: &Pool, clients: u64, time: Duration) -> Value {
    let begun = Instant::now();
    let mut tasks = Vec::new();
    for client in 0..clients {
        let site = Arc::clone(site);
        tasks.push(pool.spawn_with_handle(async move {
            let mut times = Vec::new();
            let mut number = 0;
            while begun.elapsed() < time {
                number += 1;
                let id = format!("ledger/b-{clients}-{client}-{number}");
                let Ok(id) = id.parse() else { break };
                let topup = TopUp {
                    id,
                    team: TeamId::from_name(&team_name(0)),
                    amount: Tokens(1),
                };
                let sent = Instant::now();
                let address = site.peers[0].address;
                let answer = site
                    .operator
                    .request(address, PeerRequest::TopUp(topup), WAIT)
                    .await;
                if let Ok(PeerResponse::TopUpOutcome(fleet::wire::TopUpOutcome::Replicated)) =
                    answer
                {
                    times.push(sent.elapsed());
                }
            }
            times
        }));
    }
    let mut histogram = Histogram::<u64>::new(3).expect("the precision is valid");
    for task in tasks {
        for time in task.await {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            histogram += micros;
        }
    }
    #[expect(clippy::cast_precision_loss, reason = "a count below 2^52")]
    let rate = histogram.len() as f64 / begun.elapsed().as_secs_f64();
    json!({
        "clients": clients,
        "commits_per_s": rate,
        "p50_us": histogram.value_at_quantile(0.5),
        "p99_us": histogram.value_at_quantile(0.99),
    })
}

fn recovery(records: u64) -> Result<Value> {
    let folder = scratch_folder("recovery");
    let _ = fs::remove_dir_all(&folder);
    let keeper = KeeperId(1);
    let options = JournalOptions {
        fsync: false,
        ..JournalOptions::default()
    };
    {
        let (mut disk, _) = Disk::open(&folder, keeper, &[keeper], options)?;
        let mut writes = Vec::new();
        for index in 1..=records {
            let topup = TopUp {
                id: format!("ledger/r-{index}").parse()?,
                team: TeamId(index % 1_000),
                amount: Tokens(1),
            };
            let change = Change::Ledger(Command::TopUp(topup));
            let entry = Entry {
                position: Position { term: 1, index },
                time_ms: 1,
                payload: Payload::Data(postcard::to_stdvec(&change)?),
            };
            writes.push(LogWrite::Append(entry));
        }
        disk.write(&writes, &[])?;
    }
    let begun = Instant::now();
    let (_, found) = Disk::open(&folder, keeper, &[keeper], options)?;
    let took = begun.elapsed();
    fs::remove_dir_all(&folder)?;
    Ok(json!({
        "records": found.replayed,
        "recovery_ms": took.as_secs_f64() * 1e3,
        "us_per_record": machine::micros_each(took, records),
    }))
}

fn top_up(ledger: &mut Ledger, team: u64) {
    let Ok(id) = format!("ledger/m-{team}").parse() else {
        return;
    };
    let topup = TopUp {
        id,
        team: TeamId(team),
        amount: Tokens(1_000_000_000),
    };
    ledger.apply(&Command::TopUp(topup), 1);
}

fn post(ledger: &mut Ledger, moves: Vec<Posting>) {
    let keeper = KeeperId(1);
    let number = ledger.last_batch(keeper) + 1;
    let batch = Batch {
        keeper,
        number,
        postings: moves,
    };
    ledger.apply(&Command::Post(batch), 1);
}

fn ask(team: u64) -> Posting {
    let want = ledger::accounts::KeeperDemand {
        required: Tokens(100_000_000),
        prefetch: Tokens::ZERO,
    };
    Posting::Request {
        team: TeamId(team),
        demand: want,
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn budgets_memory(count: u64) -> Value {
    let before = machine::resident();
    let mut ledger = Ledger::default();
    for team in 0..count {
        top_up(&mut ledger, team);
        post(&mut ledger, vec![ask(team)]);
    }
    let bytes = machine::resident().saturating_sub(before);
    let row = json!({ "budgets": count, "bytes_per_budget": bytes as f64 / count as f64 });
    drop(ledger);
    row
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn billed_memory(count: u64) -> Value {
    let mut ledger = Ledger::default();
    top_up(&mut ledger, 0);
    post(&mut ledger, vec![ask(0)]);
    let before = machine::resident();
    let begun = Instant::now();
    for first in (0..count).step_by(usize::try_from(MOVES).unwrap_or(1)) {
        let settle = |n: u64| Posting::Settle {
            team: TeamId(0),
            request: RequestId(
                u128::from(n) << 64 | u128::from(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            ),
            amount: Tokens(1),
        };
        post(&mut ledger, (first..first + MOVES).map(settle).collect());
    }
    let took = begun.elapsed();
    let bytes = machine::resident().saturating_sub(before);
    let row = json!({
        "billed": ledger.billed_requests().len(),
        "bytes_per_billed": bytes as f64 / count as f64,
        "us_per_billed": machine::micros_each(took, count),
    });
    drop(ledger);
    row
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails where the site doesn't start or the disk can't be used.
pub fn run(plan: &Plan) -> Result<()> {
    // The sizes in memory come first, while the process is small.
    let budgets: Vec<Value> = BUDGETS.into_iter().map(budgets_memory).collect();
    let billed: Vec<Value> = BILLED.into_iter().map(billed_memory).collect();
    let mut recoveries = Vec::new();
    for records in JOURNALS {
        recoveries.push(recovery(records)?);
    }
    let pool = Pool::start(worker_threads());
    let rows = block_on(async {
        let layout = Layout {
            engines: 1,
            services: 0,
            ..Layout::default()
        };
        let site = LocalSite::start(&pool, &scratch_folder("keeper"), &layout).await?;
        let site = Arc::new(site);
        let mut rows = Vec::new();
        for clients in CLIENTS {
            let time = Duration::from_secs(plan.seconds);
            rows.push(commits(&site, &pool, clients, time).await);
        }
        Ok::<_, eyre::Report>(rows)
    })?;
    let result = json!({
        "commits": rows,
        "recovery": recoveries,
        "budgets": budgets,
        "billed": billed,
    });
    println!("{}", serde_json::to_string_pretty(&result)?);
    Ok(())
}
