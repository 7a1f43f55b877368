//! A small site in one process, with real traffic over real sockets.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use eyre::Result;
use eyre::ensure;
use host::Pool;
use serde::Serialize;

use crate::client;
use crate::client::Ask;
use crate::client::Outcome;
use crate::client::Seen;
use crate::site::Layout;
use crate::site::LocalSite;
use crate::site::MODEL;

/// Requests of the demo's chats.
const CHATS: usize = 600;

/// Requests of the demo's calls that may run once.
const CALLS: usize = 60;

/// Callers at once.
const CALLERS: usize = 24;

/// Most tokens of an answer.
const CAP: u64 = 64;

/// Longest wait for the last bills.
const SETTLE_WAIT: Duration = Duration::from_secs(15);

/// The summary that the demo prints as its last line.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Requests sent.
    pub requests: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Bills above those told to callers, and calls that ran twice.
    pub billed_twice: u64,
    /// Tokens billed beyond a budget.
    pub overspent_tokens: u64,
    /// Requests refused for want of budget though it would have covered them.
    pub false_refusals: u64,
    /// Median of the time for a whole answer, in milliseconds.
    pub p50_ms: f64,
    /// 95 in 100 of the answers took at most this time, in milliseconds.
    pub p95_ms: f64,
    /// What the path adds to the median wait for the first token, in milliseconds.
    pub added_p50_ms: f64,
}

/// Returns the folder for a site of this process.
#[must_use]
pub fn scratch(name: &str) -> PathBuf {
    let unique = format!("mulberrytally-{name}-{}", std::process::id());
    std::env::temp_dir().join(unique)
}

/// Returns the value below which `part` of the sorted values lie, in milliseconds.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a place in a short list"
)]
pub fn percentile(values: &mut [Duration], part: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_unstable();
    let place = ((values.len() - 1) as f64 * part).round() as usize;
    values[place].as_secs_f64() * 1e3
}

/// Runs the demo; with `serve` the site stays up until it's told to stop.
///
/// # Errors
///
/// Fails where the site doesn't start or a promise was broken.
pub async fn run(pool: &Pool, serve: bool) -> Result<()> {
    println!("starting three failure domains with 3 keepers, 3 entries, 6 engines, 2 desks");
    let site = LocalSite::start(pool, &scratch("demo"), &Layout::default()).await?;
    if serve {
        return stay(&site).await;
    }
    let site = Arc::new(site);
    let direct = ask_directly(&site).await;
    let begun = Instant::now();
    let (chats, calls) = traffic(pool, &site).await;
    let took = begun.elapsed();
    let summary = sum_up(&site, &chats, &calls, direct).await?;
    println!(
        "{} of {} requests answered whole in {:.1} s; {} refused, {} unknown",
        summary.answered,
        summary.requests,
        took.as_secs_f64(),
        summary.refused,
        summary.unknown
    );
    println!("{}", serde_json::to_string(&summary)?);
    ensure!(
        summary.billed_twice == 0 && summary.overspent_tokens == 0 && summary.false_refusals == 0,
        "a promise was broken"
    );
    ensure!(
        summary.answered + summary.refused + summary.unknown == summary.requests,
        "a caller was left without an answer"
    );
    Ok(())
}

async fn stay(site: &LocalSite) -> Result<()> {
    let stops = host::signals::stop_signals()?;
    for address in site.callers() {
        println!("entry: http://{address}");
    }
    println!("key:   {}", site.bearers[0]);
    println!("model: {MODEL}");
    let _ = stops.recv().await;
    Ok(())
}

fn prompt(n: usize) -> String {
    let shared = "Review the double seam record and explain the defect. ";
    format!("{}Record {n}", shared.repeat(1 + n % 4))
}

/// Asks the stand-ins without the fleet between; returns the waits.
async fn ask_directly(site: &LocalSite) -> Vec<Duration> {
    let mut waits = Vec::new();
    for n in 0..40 {
        let engine = &site.engines[n % site.engines.len()];
        let chat = engine::ChatRequest {
            id: format!("direct-{n}"),
            model: MODEL.to_owned(),
            messages: client::messages(&prompt(n)),
            max_tokens: CAP,
            prefix: String::new(),
            priority: 0,
            stream: true,
        };
        let begun = Instant::now();
        let stall = Duration::from_secs(5);
        if let Ok(mut stream) = engine::ChatStream::open(engine.address(), &chat, stall).await
            && stream.next().await.is_ok()
        {
            waits.push(begun.elapsed());
        }
    }
    waits
}

type Chats = Vec<(usize, Seen)>;
type Calls = Vec<(String, Outcome)>;

async fn traffic(pool: &Pool, site: &Arc<LocalSite>) -> (Chats, Calls) {
    let (jobs, queue) = async_channel::unbounded();
    for n in 0..CHATS + CALLS {
        let _ = jobs.try_send(n);
    }
    jobs.close();
    let (results, collected) = async_channel::unbounded();
    for _ in 0..CALLERS {
        let queue = queue.clone();
        let site = Arc::clone(site);
        let results = results.clone();
        pool.spawn(async move {
            while let Ok(n) = queue.recv().await {
                let _ = results.send(one(&site, n).await).await;
            }
        });
    }
    drop(results);
    let mut chats = Vec::new();
    let mut calls = Vec::new();
    while let Ok(result) = collected.recv().await {
        match result {
            Done::Chat(n, seen) => chats.push((n, seen)),
            Done::Call(body, outcome) => calls.push((body, outcome)),
        }
        let count = chats.len() + calls.len();
        if count.is_multiple_of(200) {
            println!("{count} requests done");
        }
    }
    (chats, calls)
}

enum Done {
    Chat(usize, Seen),
    Call(String, Outcome),
}

async fn one(site: &LocalSite, n: usize) -> Done {
    let callers = site.callers();
    let entry = callers[n % callers.len()];
    let bearer = &site.bearers[n % site.bearers.len()];
    let key = format!("demo-{n}");
    if n < CHATS {
        let ask = Ask {
            entry,
            bearer,
            key: Some(&key),
            model: MODEL,
            prompt: &prompt(n),
            cap: CAP,
        };
        return Done::Chat(n, client::chat(&ask).await);
    }
    let body = format!("{{\"hold\":{n}}}");
    let path = "/v1/services/desk/hold";
    let outcome = client::call(entry, bearer, &key, path, &body).await;
    Done::Call(body, outcome)
}

async fn sum_up(
    site: &LocalSite,
    chats: &Chats,
    calls: &Calls,
    mut direct: Vec<Duration>,
) -> Result<Summary> {
    let mut summary = Summary {
        requests: (chats.len() + calls.len()) as u64,
        ..Summary::default()
    };
    let mut told = 0;
    for (n, seen) in chats {
        if let Outcome::Whole { text, tokens } = &seen.outcome {
            let expected = standin::engine::expected_answer(&client::messages(&prompt(*n)), CAP);
            ensure!(*text == expected, "request {n} got another answer");
            told += tokens;
        }
        tally(&mut summary, &seen.outcome);
    }
    for (body, outcome) in calls {
        tally(&mut summary, outcome);
        if let Outcome::Whole { .. } = outcome {
            told += 1;
        }
        let runs: u64 = site
            .desks
            .iter()
            .map(|desk| desk.run_count(body.as_bytes()))
            .sum();
        summary.billed_twice += runs.saturating_sub(1);
    }
    let settled = settled(site, told).await?;
    summary.billed_twice += settled.saturating_sub(told);
    let status = site.status(0).await?;
    for balance in &status.balances {
        summary.overspent_tokens += balance.settled.saturating_sub(balance.credits).0;
    }
    let mut whole: Vec<Duration> = chats.iter().map(|(_, seen)| seen.whole).collect();
    let mut first: Vec<Duration> = chats.iter().map(|(_, seen)| seen.first).collect();
    summary.p50_ms = percentile(&mut whole, 0.5);
    summary.p95_ms = percentile(&mut whole, 0.95);
    summary.added_p50_ms = percentile(&mut first, 0.5) - percentile(&mut direct, 0.5);
    Ok(summary)
}

fn tally(summary: &mut Summary, outcome: &Outcome) {
    match outcome {
        Outcome::Whole { .. } => summary.answered += 1,
        Outcome::NotRun(name) => {
            summary.refused += 1;
            // The demo's budgets cover all of its traffic.
            summary.false_refusals += u64::from(name == "budget");
        }
        Outcome::Unknown | Outcome::Broken => summary.unknown += 1,
    }
}

/// Returns the tokens billed in the ledger once they reach `least`.
async fn settled(site: &LocalSite, least: u64) -> Result<u64> {
    let begun = Instant::now();
    loop {
        let status = site.status(0).await?;
        let sum: u64 = status.balances.iter().map(|b| b.settled.0).sum();
        if sum >= least {
            return Ok(sum);
        }
        ensure!(
            begun.elapsed() < SETTLE_WAIT,
            "{sum} tokens are billed, callers were told of {least}"
        );
        Timer::after(Duration::from_millis(100)).await;
    }
}
