//! Measures a keeper's commit rate, recovery time and memory.

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
use consensus::Replica;
use daemon::keeper::state::StateCommand;
use daemon::keeper::storage::Storage;
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

use super::BenchOptions;
use super::process_stats;
use crate::command::worker_threads;
use crate::demo::scratch_folder;
use crate::site::Layout;
use crate::site::LocalSite;
use crate::site::team_name;

/// Numbers of concurrent operator clients.
const CLIENT_COUNTS: [u64; 3] = [1, 16, 256];

/// Numbers of journal records whose recovery is timed.
const JOURNAL_RECORDS: [u64; 3] = [10_000, 50_000, 200_000];

/// Numbers of team budgets whose memory is measured.
const BUDGET_COUNTS: [u64; 2] = [11_000, 110_000];

/// Numbers of billed requests whose memory is measured.
const BILLED_COUNTS: [u64; 2] = [1_000_000, 4_000_000];

/// Postings in one batch.
const BATCH_POSTINGS: u64 = 1_000;

/// Timeout of one commit.
const COMMIT_TIMEOUT: Span = Span::secs(5);

async fn measure_commits(
    site: &Arc<LocalSite>,
    pool: &Pool,
    clients: u64,
    duration: Duration,
) -> Value {
    let started = Instant::now();
    let mut tasks = Vec::new();
    for client in 0..clients {
        let site = Arc::clone(site);
        tasks.push(pool.spawn_with_handle(async move {
            let mut latencies = Vec::new();
            let mut number = 0;
            while started.elapsed() < duration {
                number += 1;
                let id = format!("ledger/b-{clients}-{client}-{number}");
                let Ok(id) = id.parse() else { break };
                let top_up = TopUp {
                    id,
                    team: TeamId::from_name(&team_name(0)),
                    amount: Tokens(1),
                };
                let sent_at = Instant::now();
                let address = site.peers[0].address;
                let response = site
                    .operator
                    .request(address, PeerRequest::TopUp(top_up), COMMIT_TIMEOUT)
                    .await;
                if let Ok(PeerResponse::TopUpOutcome(fleet::wire::TopUpOutcome::Replicated)) =
                    response
                {
                    latencies.push(sent_at.elapsed());
                }
            }
            latencies
        }));
    }
    let mut histogram = Histogram::<u64>::new(3).expect("the precision is valid");
    for task in tasks {
        for latency in task.await {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            histogram += micros;
        }
    }
    #[expect(clippy::cast_precision_loss, reason = "a count below 2^52")]
    let rate = histogram.len() as f64 / started.elapsed().as_secs_f64();
    json!({
        "clients": clients,
        "commits_per_s": rate,
        "p50_us": histogram.value_at_quantile(0.5),
        "p99_us": histogram.value_at_quantile(0.99),
    })
}

fn measure_recovery(records: u64) -> Result<Value> {
    let folder = scratch_folder("recovery");
    let _ = fs::remove_dir_all(&folder);
    let keeper = KeeperId(1);
    let options = JournalOptions {
        fsync: false,
        ..JournalOptions::default()
    };
    {
        let (mut storage, recovered) = Storage::open(&folder, keeper, &[keeper], options)?;
        let mut log = recovered.log;
        let mut writes = Vec::new();
        for index in 1..=records {
            let top_up = TopUp {
                id: format!("ledger/r-{index}").parse()?,
                team: TeamId(index % 1_000),
                amount: Tokens(1),
            };
            let command = StateCommand::Ledger(Command::TopUp(top_up));
            let entry = Entry {
                position: Position { term: 1, index },
                time_ms: 1,
                payload: Payload::Data(postcard::to_stdvec(&command)?),
            };
            log.push(entry.clone());
            writes.push(LogWrite::Append(entry));
        }
        let disk = storage.identity();
        let replica = Replica::new(keeper, disk, recovered.hard_state, log, 1);
        storage.write(&writes, &[], &replica)?;
    }
    let started = Instant::now();
    let (_, recovered) = Storage::open(&folder, keeper, &[keeper], options)?;
    let elapsed = started.elapsed();
    fs::remove_dir_all(&folder)?;
    Ok(json!({
        "records": recovered.replayed_records,
        "recovery_ms": elapsed.as_secs_f64() * 1e3,
        "us_per_record": process_stats::micros_per_item(elapsed, records),
    }))
}

fn apply_top_up(ledger: &mut Ledger, team: u64) {
    let Ok(id) = format!("ledger/m-{team}").parse() else {
        return;
    };
    let top_up = TopUp {
        id,
        team: TeamId(team),
        amount: Tokens(1_000_000_000),
    };
    ledger.apply(&Command::TopUp(top_up), 1);
}

fn apply_batch(ledger: &mut Ledger, postings: Vec<Posting>) {
    let keeper = KeeperId(1);
    let number = ledger.last_batch(keeper) + 1;
    let batch = Batch {
        keeper,
        number,
        postings,
    };
    ledger.apply(&Command::Post(batch), 1);
}

fn allocation_request(team: u64) -> Posting {
    let demand = ledger::accounts::KeeperDemand {
        required: Tokens(100_000_000),
        prefetch: Tokens::ZERO,
    };
    Posting::Request {
        team: TeamId(team),
        demand,
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn measure_budget_memory(count: u64) -> Value {
    let bytes_before = process_stats::resident_bytes();
    let mut ledger = Ledger::default();
    for team in 0..count {
        apply_top_up(&mut ledger, team);
        apply_batch(&mut ledger, vec![allocation_request(team)]);
    }
    let bytes = process_stats::resident_bytes().saturating_sub(bytes_before);
    let row = json!({ "budgets": count, "bytes_per_budget": bytes as f64 / count as f64 });
    drop(ledger);
    row
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn measure_billed_memory(count: u64) -> Value {
    let mut ledger = Ledger::default();
    apply_top_up(&mut ledger, 0);
    apply_batch(&mut ledger, vec![allocation_request(0)]);
    let bytes_before = process_stats::resident_bytes();
    let started = Instant::now();
    for first in (0..count).step_by(usize::try_from(BATCH_POSTINGS).unwrap_or(1)) {
        let settlement = |n: u64| Posting::Settle {
            team: TeamId(0),
            request: RequestId(
                u128::from(n) << 64 | u128::from(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            ),
            amount: Tokens(1),
        };
        apply_batch(
            &mut ledger,
            (first..first + BATCH_POSTINGS).map(settlement).collect(),
        );
    }
    let elapsed = started.elapsed();
    let bytes = process_stats::resident_bytes().saturating_sub(bytes_before);
    let row = json!({
        "billed": ledger.billed_requests().len(),
        "bytes_per_billed": bytes as f64 / count as f64,
        "us_per_billed": process_stats::micros_per_item(elapsed, count),
    });
    drop(ledger);
    row
}

/// Runs the experiment and prints its results as JSON.
///
/// # Errors
///
/// Returns an error if the site doesn't start or the storage can't be read or written.
pub fn run(options: &BenchOptions) -> Result<()> {
    // Memory is measured first, while the process is small.
    let budgets: Vec<Value> = BUDGET_COUNTS
        .into_iter()
        .map(measure_budget_memory)
        .collect();
    let billed: Vec<Value> = BILLED_COUNTS
        .into_iter()
        .map(measure_billed_memory)
        .collect();
    let mut recoveries = Vec::new();
    for records in JOURNAL_RECORDS {
        recoveries.push(measure_recovery(records)?);
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
        for clients in CLIENT_COUNTS {
            let duration = Duration::from_secs(options.load_secs);
            rows.push(measure_commits(&site, &pool, clients, duration).await);
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
