//! A daemon's part of the peak through one entry and one agent.
//!
//! The same streams are driven straight at the stand-in first and then through
//! the path, in one run, so that what the path adds is measured on one machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use eyre::Result;
use futures_lite::AsyncBufReadExt as _;
use futures_lite::future::block_on;
use hdrhistogram::Histogram;
use host::Pool;
use serde_json::json;
use standin::Pace;

use super::Plan;
use super::machine;
use crate::client;
use crate::client::ChatRequest;
use crate::demo::scratch_folder;
use crate::site::Layout;
use crate::site::LocalSite;
use crate::site::MODEL_NAME;
use crate::site::ProcessPools;

/// Time between two tokens of a stream, so that 1,200 streams give 23,300 a second.
const STEP: Duration = Duration::from_micros(51_500);

/// Tokens of an answer, so that 23,300 a second make 62 requests.
const WORDS: u64 = 376;

/// Times before the first counted request, for streams to spread out.
const WARM_UP: Duration = Duration::from_secs(3);

/// Largest time in a histogram, in microseconds.
const MOST_MICROS: u64 = 60_000_000;

/// What a load saw.
struct Load {
    first: Histogram<u64>,
    gaps: Histogram<u64>,
    requests: u64,
    tokens: u64,
    failed: u64,
}

impl Load {
    fn new() -> Self {
        let empty = || Histogram::new_with_max(MOST_MICROS, 2).expect("the bounds are valid");
        Self {
            first: empty(),
            gaps: empty(),
            requests: 0,
            tokens: 0,
            failed: 0,
        }
    }

    fn add(&mut self, other: &Self) {
        self.first += &other.first;
        self.gaps += &other.gaps;
        self.requests += other.requests;
        self.tokens += other.tokens;
        self.failed += other.failed;
    }
}

/// Where a load goes.
#[derive(Clone)]
enum Target {
    Engine(SocketAddr),
    Entry(SocketAddr, String),
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(MOST_MICROS)
}

fn prompt(stream: usize) -> String {
    format!("summarise the shift history of team {stream} for the dawn notice")
}

/// Runs one request and notes its times.
async fn request(target: &Target, stream: usize, load: &mut Load) {
    let begun = Instant::now();
    let text = prompt(stream);
    let opened = match target {
        Target::Entry(entry, bearer) => {
            let ask = ChatRequest {
                entry: *entry,
                bearer_key: bearer,
                idempotency_key: None,
                model: MODEL_NAME,
                prompt: &text,
                max_tokens: WORDS,
            };
            client::open_chat(&ask).await
        }
        Target::Engine(address) => {
            let body = json!({
                "id": "direct",
                "model": MODEL_NAME,
                "messages": client::messages(&text),
                "max_tokens": WORDS,
                "stream": true,
            });
            let path = "/v1/chat/completions";
            let body = body.to_string().into_bytes();
            client::send(*address, http_types::Method::Post, path, &[], body).await
        }
    };
    let Ok(mut response) = opened else {
        load.failed += 1;
        return;
    };
    if response.status() != http_types::StatusCode::Ok {
        load.failed += 1;
        return;
    }
    let mut body = response.take_body();
    let mut line = Vec::new();
    let mut last = None;
    let mut ended = false;
    loop {
        line.clear();
        match body.read_until(b'\n', &mut line).await {
            Ok(count) if count > 0 => {}
            Ok(_) | Err(_) => break,
        }
        ended |= line.starts_with(b"data: [DONE]");
        let token = line.windows(11).any(|part| part == b"\"content\":\"");
        if !token {
            continue;
        }
        let now = Instant::now();
        match last {
            None => load.first.saturating_record(micros(now - begun)),
            Some(before) => load.gaps.saturating_record(micros(now - before)),
        }
        last = Some(now);
        // A slow moment can put two tokens into one event.
        load.tokens += line.windows(2).filter(|pair| pair == b" w").count() as u64 + 1;
    }
    load.requests += 1;
    load.failed += u64::from(!ended);
}

/// Keeps `streams` requests going for `time`.
async fn drive(pool: &Pool, target: Target, streams: usize, time: Duration) -> Load {
    let begun = Instant::now();
    let mut tasks = Vec::new();
    for stream in 0..streams {
        let target = target.clone();
        tasks.push(pool.spawn_with_handle(async move {
            // Streams start spread over an answer's length, as in a steady state.
            let spread =
                WARM_UP.mul_f64(f64::from(u32::try_from(stream % 1_000).unwrap_or(0)) / 1e3);
            Timer::after(spread).await;
            let mut load = Load::new();
            while begun.elapsed() < WARM_UP + time {
                request(&target, stream, &mut load).await;
            }
            load
        }));
    }
    let mut sum = Load::new();
    for task in tasks {
        sum.add(&task.await);
    }
    sum
}

/// Runs the experiment for 100 streams, the given number and 2,000.
///
/// # Errors
///
/// Fails where the site doesn't start.
pub fn run(plan: &Plan) -> Result<()> {
    let mut rows = Vec::new();
    let mut counts = vec![100, plan.streams, 2_000];
    counts.dedup();
    for streams in counts {
        rows.push(block_on(one(plan, streams))?);
    }
    println!(
        "{}",
        serde_json::to_string_pretty(&json!({ "path": rows }))?
    );
    Ok(())
}

async fn one(plan: &Plan, streams: usize) -> Result<serde_json::Value> {
    let pools = ProcessPools {
        entries: Pool::start_named("entry", 2),
        agents: Pool::start_named("agent", 2),
        others: Pool::start_named("other", 2),
    };
    let callers = Pool::start_named("caller", 3);
    let layout = Layout {
        domains: 1,
        engines: 1,
        services: 0,
        teams: 1,
        team_budget: 1_000_000_000_000,
        engine_pace: Pace {
            room: u32::try_from(streams + 200).unwrap_or(u32::MAX),
            step: STEP,
            crowd: Duration::ZERO,
            words: Some(WORDS),
            ..Pace::default()
        },
    };
    let folder = scratch_folder(&format!("path-{streams}"));
    let site = Arc::new(LocalSite::start_with_pools(&pools, &folder, &layout).await?);
    let time = Duration::from_secs(plan.seconds);
    let engine = Target::Engine(site.engines[0].address());
    let alone = drive(&callers, engine, streams, time).await;
    let before = [
        machine::thread_time("entry"),
        machine::thread_time("agent"),
        machine::thread_time("async-io"),
    ];
    let begun = Instant::now();
    let entry = Target::Entry(site.entry_addresses()[0], site.bearer_keys[0].clone());
    let through = drive(&callers, entry, streams, time).await;
    let took = begun.elapsed().as_secs_f64();
    let spent = |at: usize, name: &str| machine::thread_time(name).saturating_sub(before[at]);
    let each = |time| machine::micros_each(time, through.tokens);
    let value = |h: &Histogram<u64>, part: f64| h.value_at_quantile(part);
    let added = |a: &Histogram<u64>, b: &Histogram<u64>, part: f64| {
        let difference = i128::from(value(a, part)) - i128::from(value(b, part));
        i64::try_from(difference).unwrap_or(i64::MAX)
    };
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
    let rate = |count: u64| count as f64 / took;
    Ok(json!({
        "streams": streams,
        "requests_per_s": rate(through.requests),
        "tokens_per_s": rate(through.tokens),
        "failed": through.failed,
        "failed_alone": alone.failed,
        "added_first_p50_us": added(&through.first, &alone.first, 0.5),
        "added_first_p95_us": added(&through.first, &alone.first, 0.95),
        "added_gap_p50_us": added(&through.gaps, &alone.gaps, 0.5),
        "added_gap_p95_us": added(&through.gaps, &alone.gaps, 0.95),
        "entry_us_per_token": each(spent(0, "entry")),
        "agent_us_per_token": each(spent(1, "agent")),
        "reactor_us_per_token": each(spent(2, "async-io")),
        "entry_us_per_request": machine::micros_each(spent(0, "entry"), through.requests),
        "resident_mb_all_roles_and_load": machine::resident() / 1_000_000,
    }))
}
