//! Runs a small site in one process and sends requests to it over real sockets.

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
use crate::client::ChatRequest;
use crate::client::ChatResult;
use crate::client::Outcome;
use crate::site::Layout;
use crate::site::LocalSite;
use crate::site::MODEL_NAME;

/// Number of chat requests.
const CHAT_COUNT: usize = 600;

/// Number of calls of the service method that must not be repeated.
const CALL_COUNT: usize = 60;

/// Number of concurrent callers.
const CALLER_COUNT: usize = 24;

/// Maximum tokens generated for an answer.
const MAX_ANSWER_TOKENS: u64 = 64;

/// Maximum wait until the ledger has billed all answers.
const SETTLEMENT_TIMEOUT: Duration = Duration::from_secs(15);

/// The summary that the demo prints as its last line.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Requests sent.
    pub requests: u64,
    /// Requests answered completely.
    pub answered: u64,
    /// Requests refused without being run.
    pub refused: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Tokens billed beyond those stated in answers, plus repeated runs of calls.
    pub billed_twice: u64,
    /// Tokens billed beyond a budget.
    pub overspent_tokens: u64,
    /// Requests refused for lack of budget although the budget covered them.
    pub false_refusals: u64,
    /// Median of the time for a complete answer, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile of the time for a complete answer, in milliseconds.
    pub p95_ms: f64,
    /// Latency that the site adds to the median time to the first token, in milliseconds.
    pub added_p50_ms: f64,
}

/// Returns a folder in the system's temporary folder that only this process uses.
#[must_use]
pub fn scratch_folder(name: &str) -> PathBuf {
    let unique = format!("mulberrytally-{name}-{}", std::process::id());
    std::env::temp_dir().join(unique)
}

/// Sorts `values` and returns the quantile `quantile` (0 to 1), in milliseconds.
///
/// Returns 0 if there are no values.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "an index into a short list"
)]
pub fn percentile_ms(values: &mut [Duration], quantile: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_unstable();
    let index = ((values.len() - 1) as f64 * quantile).round() as usize;
    values[index].as_secs_f64() * 1e3
}

/// Runs the demo; with `serve`, only starts the site and keeps it up until a stop signal.
///
/// # Errors
///
/// Fails where the site doesn't start, a guarantee was violated or a request has no
/// outcome.
pub async fn run(pool: &Pool, serve: bool) -> Result<()> {
    println!("starting three failure domains with 3 keepers, 3 entries, 6 engines, 2 services");
    let site = LocalSite::start(pool, &scratch_folder("demo"), &Layout::default()).await?;
    if serve {
        return serve_until_stopped(&site).await;
    }
    let site = Arc::new(site);
    let direct = measure_engines(&site).await;
    let started = Instant::now();
    let (chats, calls) = run_traffic(pool, &site).await;
    let elapsed = started.elapsed();
    let summary = summarize(&site, &chats, &calls, direct).await?;
    println!(
        "{} of {} requests answered completely in {:.1} s; {} refused, {} unknown",
        summary.answered,
        summary.requests,
        elapsed.as_secs_f64(),
        summary.refused,
        summary.unknown
    );
    println!("{}", serde_json::to_string(&summary)?);
    ensure!(
        summary.billed_twice == 0 && summary.overspent_tokens == 0 && summary.false_refusals == 0,
        "a guarantee was violated: duplicate billing, overspending or a false refusal"
    );
    ensure!(
        summary.answered + summary.refused + summary.unknown == summary.requests,
        "some requests have no outcome"
    );
    Ok(())
}

async fn serve_until_stopped(site: &LocalSite) -> Result<()> {
    let stop_signals = host::signals::stop_signals()?;
    for address in site.entry_addresses() {
        println!("entry: http://{address}");
    }
    println!("key:   {}", site.bearer_keys[0]);
    println!("model: {MODEL_NAME}");
    let _ = stop_signals.recv().await;
    Ok(())
}

/// Returns the prompt of chat `n`, which starts with 1 to 4 copies of a shared sentence.
fn prompt(n: usize) -> String {
    let shared = "Review the double seam record and explain the defect. ";
    format!("{}Record {n}", shared.repeat(1 + n % 4))
}

/// Sends chats straight to the fake engines and returns the times to the first event.
async fn measure_engines(site: &LocalSite) -> Vec<Duration> {
    let mut waits = Vec::new();
    for n in 0..40 {
        let engine = &site.engines[n % site.engines.len()];
        let chat = engine::ChatRequest {
            id: format!("direct-{n}"),
            model: MODEL_NAME.to_owned(),
            messages: client::messages(&prompt(n)),
            max_tokens: MAX_ANSWER_TOKENS,
            prefix: String::new(),
            priority: 0,
            stream: true,
        };
        let started = Instant::now();
        let stall = Duration::from_secs(5);
        if let Ok(mut stream) = engine::ChatStream::open(engine.address(), &chat, stall).await
            && stream.next().await.is_ok()
        {
            waits.push(started.elapsed());
        }
    }
    waits
}

/// The chats' numbers and results.
type ChatResults = Vec<(usize, ChatResult)>;
/// The calls' bodies and outcomes.
type CallOutcomes = Vec<(String, Outcome)>;

async fn run_traffic(pool: &Pool, site: &Arc<LocalSite>) -> (ChatResults, CallOutcomes) {
    let (jobs, queue) = async_channel::unbounded();
    for n in 0..CHAT_COUNT + CALL_COUNT {
        let _ = jobs.try_send(n);
    }
    jobs.close();
    let (results, received) = async_channel::unbounded();
    for _ in 0..CALLER_COUNT {
        let queue = queue.clone();
        let site = Arc::clone(site);
        let results = results.clone();
        pool.spawn(async move {
            while let Ok(n) = queue.recv().await {
                let _ = results.send(run_request(&site, n).await).await;
            }
        });
    }
    drop(results);
    let mut chats = Vec::new();
    let mut calls = Vec::new();
    while let Ok(result) = received.recv().await {
        match result {
            RequestResult::Chat(n, result) => chats.push((n, result)),
            RequestResult::Call(body, outcome) => calls.push((body, outcome)),
        }
        let count = chats.len() + calls.len();
        if count.is_multiple_of(200) {
            println!("{count} requests done");
        }
    }
    (chats, calls)
}

enum RequestResult {
    Chat(usize, ChatResult),
    Call(String, Outcome),
}

async fn run_request(site: &LocalSite, n: usize) -> RequestResult {
    let entries = site.entry_addresses();
    let entry = entries[n % entries.len()];
    let bearer_key = &site.bearer_keys[n % site.bearer_keys.len()];
    let idempotency_key = format!("demo-{n}");
    if n < CHAT_COUNT {
        let request = ChatRequest {
            entry,
            bearer_key,
            idempotency_key: Some(&idempotency_key),
            model: MODEL_NAME,
            prompt: &prompt(n),
            max_tokens: MAX_ANSWER_TOKENS,
        };
        return RequestResult::Chat(n, client::run_chat(&request).await);
    }
    let body = format!("{{\"hold\":{n}}}");
    let path = "/v1/services/desk/hold";
    let outcome = client::call_service(entry, bearer_key, &idempotency_key, path, &body).await;
    RequestResult::Call(body, outcome)
}

async fn summarize(
    site: &LocalSite,
    chats: &ChatResults,
    calls: &CallOutcomes,
    mut direct: Vec<Duration>,
) -> Result<Summary> {
    let mut summary = Summary {
        requests: (chats.len() + calls.len()) as u64,
        ..Summary::default()
    };
    let mut stated = 0;
    for (n, result) in chats {
        if let Outcome::Completed { text, tokens } = &result.outcome {
            let expected =
                standin::engine::expected_answer(&client::messages(&prompt(*n)), MAX_ANSWER_TOKENS);
            ensure!(*text == expected, "request {n} got another answer");
            stated += tokens;
        }
        count_outcome(&mut summary, &result.outcome);
    }
    for (body, outcome) in calls {
        count_outcome(&mut summary, outcome);
        if let Outcome::Completed { .. } = outcome {
            stated += 1;
        }
        let runs: u64 = site
            .services
            .iter()
            .map(|service| service.run_count(body.as_bytes()))
            .sum();
        summary.billed_twice += runs.saturating_sub(1);
    }
    let settled = wait_for_settlement(site, stated).await?;
    summary.billed_twice += settled.saturating_sub(stated);
    let status = site.status(0).await?;
    for balance in &status.balances {
        summary.overspent_tokens += balance.settled.saturating_sub(balance.credits).0;
    }
    let mut total_times: Vec<Duration> =
        chats.iter().map(|(_, result)| result.total_time).collect();
    let mut first_token_times: Vec<Duration> =
        chats.iter().map(|(_, result)| result.first_token).collect();
    summary.p50_ms = percentile_ms(&mut total_times, 0.5);
    summary.p95_ms = percentile_ms(&mut total_times, 0.95);
    summary.added_p50_ms =
        percentile_ms(&mut first_token_times, 0.5) - percentile_ms(&mut direct, 0.5);
    Ok(summary)
}

fn count_outcome(summary: &mut Summary, outcome: &Outcome) {
    match outcome {
        Outcome::Completed { .. } => summary.answered += 1,
        Outcome::NotRun(name) => {
            summary.refused += 1;
            // The demo's budgets cover all of its traffic.
            summary.false_refusals += u64::from(name == "budget");
        }
        Outcome::Unknown | Outcome::Failed => summary.unknown += 1,
    }
}

/// Waits until the ledger has billed at least `min_tokens` and returns what it has billed.
///
/// # Errors
///
/// Fails where keeper 0 doesn't answer or the tokens aren't billed in time.
async fn wait_for_settlement(site: &LocalSite, min_tokens: u64) -> Result<u64> {
    let started = Instant::now();
    loop {
        let status = site.status(0).await?;
        let sum: u64 = status.balances.iter().map(|b| b.settled.0).sum();
        if sum >= min_tokens {
            return Ok(sum);
        }
        ensure!(
            started.elapsed() < SETTLEMENT_TIMEOUT,
            "{sum} tokens are billed, but the answers state {min_tokens}"
        );
        Timer::after(Duration::from_millis(100)).await;
    }
}
