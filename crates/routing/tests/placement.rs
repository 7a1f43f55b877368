//! Placement, admission and the shared retry budget under the loads that they handle.

use base::Span;
use base::Time;
use routing::admission;
use routing::admission::Shutdown;
use routing::metadata::PromptSegment;
use routing::placement::EngineCapacity;
use routing::placement::EngineLoad;
use routing::placement::EnginePool;
use routing::placement::PlacementError;
use routing::placement::PlacementRequest;
use routing::shared_retry::RetryLimits;
use routing::shared_retry::SharedRetryBudget;

const CAPACITY: EngineCapacity = EngineCapacity {
    max_requests: 96,
    kv_tokens: 297_824,
};

fn engines(count: u64) -> EnginePool {
    let mut pool = EnginePool::default();
    for engine in 0..count {
        pool.upsert(engine, CAPACITY, false);
    }
    pool
}

fn placement_request<'a>(
    segments: &'a [PromptSegment],
    excluded: &'a [u64],
) -> PlacementRequest<'a> {
    PlacementRequest {
        prompt_tokens: 9_190,
        max_output: 60,
        segments,
        max_ttft_ms: 800.0,
        excluded_engines: excluded,
    }
}

fn segments(session: u64) -> Vec<PromptSegment> {
    let segment = |id, tokens| PromptSegment { id, tokens };
    vec![
        segment(1, 2_520),
        segment(100 + session, 3_780),
        segment(9_999, 2_890),
    ]
}

/// A returning session is placed at the engine that has cached its segments.
#[test]
fn returning_session_uses_its_cached_engine() {
    let mut pool = engines(18);
    let mut engines_used = Vec::new();
    for session in 0..40 {
        let segments = segments(session);
        let choice = pool
            .choose(&placement_request(&segments, &[]), Time(1))
            .unwrap();
        pool.record_dispatch(&choice, &segments[..2], Time(1));
        let load = pool.record_first_event(&choice, choice.baseline_ttft_ms, Time(1));
        pool.record_completion(choice.engine, load, false);
        engines_used.push(choice.engine);
    }
    for (session, cached_engine) in (0..).zip(&engines_used) {
        let segments = segments(session);
        let choice = pool
            .choose(&placement_request(&segments, &[]), Time(2))
            .unwrap();
        assert_eq!(choice.engine, *cached_engine, "session {session}");
        assert!(choice.load.prefill_tokens < 3_000);
    }
}

/// A returning session stays at its engine while the engine is busier than others, as long
/// as the engine still responds in time.
#[test]
fn session_stays_at_a_busier_engine_that_is_in_time() {
    let mut pool = engines(18);
    let mut moved_sessions = 0;
    for session in 0..40 {
        let segments = segments(session);
        let choice = pool
            .choose(&placement_request(&segments, &[]), Time(1))
            .unwrap();
        pool.record_dispatch(&choice, &segments[..2], Time(1));
        let load = pool.record_first_event(&choice, choice.baseline_ttft_ms, Time(1));
        pool.record_completion(choice.engine, load, false);
        let other = EngineLoad {
            running_requests: 4,
            prefill_tokens: 10_000,
            kv_tokens: 30_000,
        };
        let cached_engine = choice.engine;
        pool.set_peer_load(7, &[(cached_engine, other)]);
        let returning = pool
            .choose(&placement_request(&segments, &[]), Time(2))
            .unwrap();
        moved_sessions += usize::from(returning.engine != cached_engine);
        let late = EngineLoad {
            prefill_tokens: 20_000,
            ..other
        };
        pool.set_peer_load(7, &[(cached_engine, late)]);
        let moved = pool
            .choose(&placement_request(&segments, &[]), Time(2))
            .unwrap();
        assert_ne!(moved.engine, cached_engine, "the engine would respond late");
        pool.set_peer_load(7, &[]);
    }
    assert_eq!(
        moved_sessions, 0,
        "sessions left an engine that was in time"
    );
}

/// A session with a large share of the traffic spreads to other engines once waiting
/// costs more than a second prefill.
#[test]
fn hot_session_spreads() {
    let mut pool = engines(18);
    let segments = segments(1);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..60 {
        let choice = pool
            .choose(&placement_request(&segments, &[]), Time(1))
            .unwrap();
        pool.record_dispatch(&choice, &segments[..2], Time(1));
        used.insert(choice.engine);
    }
    assert!(used.len() > 6, "{} engines", used.len());
}

/// In a burst of long prompts, requests that cannot start in time are rejected
/// immediately, and every accepted request starts in time.
#[test]
fn burst_is_rejected_once_it_would_start_late() {
    let mut pool = engines(2);
    let mut sent = 0;
    let rejection = loop {
        let segments = segments(sent);
        match pool.choose(&placement_request(&segments, &[]), Time(1)) {
            Ok(choice) => {
                assert!(choice.expected_ttft_ms <= 800.0);
                pool.record_dispatch(&choice, &segments[..2], Time(1));
                sent += 1;
            }
            Err(error) => break error,
        }
        assert!(sent < 1_000, "no request is rejected");
    };
    assert!(sent >= 4, "{sent} sent");
    assert!(matches!(rejection, PlacementError::Overloaded(wait_ms) if wait_ms > 0.0));
}

/// Several entries use the same engines, so placement includes the load that the other
/// entries report.
#[test]
fn placement_includes_the_load_of_other_entries() {
    let mut pool = engines(2);
    let heavy = EngineLoad {
        running_requests: 20,
        prefill_tokens: 60_000,
        kv_tokens: 100_000,
    };
    pool.set_peer_load(7, &[(0, heavy)]);
    let choice = pool.choose(&placement_request(&[], &[]), Time(1)).unwrap();
    assert_eq!(choice.engine, 1);
    pool.remove_peer(7);
    pool.set_peer_load(8, &[(1, heavy)]);
    let choice = pool.choose(&placement_request(&[], &[]), Time(1)).unwrap();
    assert_eq!(choice.engine, 0);
}

/// A slow engine and one that refuses connections are avoided, and used again after they
/// have recovered.
#[test]
fn slow_and_unreachable_engines_are_avoided_and_used_again() {
    let mut pool = engines(3);
    let mut now = Time(1);
    for _ in 0..30 {
        let mut request = placement_request(&[], &[1, 2]);
        request.max_ttft_ms = 1e6;
        let choice = pool.choose(&request, now).unwrap();
        pool.record_dispatch(&choice, &[], now);
        let load = pool.record_first_event(&choice, choice.baseline_ttft_ms * 6.0, now);
        pool.record_completion(choice.engine, load, false);
    }
    let slow = pool.choose(&placement_request(&[], &[1, 2]), now);
    assert!(
        matches!(slow, Err(PlacementError::Overloaded(_))),
        "{slow:?}"
    );
    pool.record_unavailable(1, now);
    let choice = pool.choose(&placement_request(&[], &[]), now).unwrap();
    assert_eq!(choice.engine, 2);
    now = now + Span::millis(4_000);
    let choice = pool.choose(&placement_request(&[], &[0, 2]), now).unwrap();
    assert_eq!(choice.engine, 1);
    now = now + Span::millis(8_000);
    assert!(pool.choose(&placement_request(&[], &[1, 2]), now).is_ok());
}

/// Where every engine is in backoff, requests are still placed.
#[test]
fn engines_in_backoff_are_used_as_a_last_resort() {
    let mut pool = engines(1);
    pool.record_unavailable(0, Time(1));
    assert!(pool.choose(&placement_request(&[], &[]), Time(1)).is_ok());
    assert_eq!(
        pool.choose(&placement_request(&[], &[0]), Time(1)),
        Err(PlacementError::NoEngine)
    );
}

#[test]
fn urgent_priorities_are_rejected_last() {
    let max_ttft_ms = |priority| admission::max_ttft_ms(600, priority, 4_000);
    assert!(max_ttft_ms(0) > max_ttft_ms(1) && max_ttft_ms(1) > max_ttft_ms(2));
    assert!(admission::max_ttft_ms(600, 0, 100) <= 100.0);
}

#[test]
fn retry_delay_lies_within_the_remaining_time() {
    for remaining in [500, 1_500, 6_000] {
        for capacity_wait_ms in [0.0, 400.0, 9_000.0] {
            let delay_ms = admission::retry_after_ms(capacity_wait_ms, remaining);
            assert!((150..=2_000).contains(&delay_ms));
            assert!(
                delay_ms <= (remaining / 3).max(150),
                "{delay_ms} of {remaining}"
            );
        }
    }
}

/// All endpoints of a service fail, and six entries retry at the same time.
#[test]
fn retries_of_all_entries_stay_within_the_limit() {
    let limits = RetryLimits {
        retry_ratio: 0.2,
        base_retries: 58.0,
        window: Span::secs(10),
    };
    let mut entries: Vec<SharedRetryBudget> =
        (0..6).map(|_| SharedRetryBudget::new(limits)).collect();
    let mut allowed = 0;
    let mut requests = 0;
    for step in 0..100 {
        let now = Time(1 + step * 100_000);
        for retries in &mut entries {
            for _ in 0..4 {
                retries.record_request("desk", now);
                requests += 1;
                allowed += u32::from(retries.try_retry("desk", 6, now));
            }
        }
    }
    let max_retries = 0.2 * f64::from(requests) + 58.0;
    assert!(
        f64::from(allowed) <= max_retries,
        "{allowed} of {max_retries}"
    );
    assert!(
        f64::from(allowed) >= max_retries / 2.0,
        "{allowed} of {max_retries}"
    );
}

/// Returns whether a process with a grace period of `grace` ms accepts a request that may last
/// `remaining` ms, `elapsed` ms after the start of its shutdown.
fn accepts(grace: u64, elapsed: u64, remaining: u64, must_finish: bool) -> bool {
    let shutdown = Shutdown {
        elapsed: Span::millis(elapsed),
        grace: Span::millis(grace),
    };
    shutdown.accepts(Span::millis(remaining), must_finish)
}

/// A stream that arrives four seconds after the start of shutdown would outlive the grace
/// period and is rejected. A short request then, and every stream right after the start
/// of shutdown, is accepted.
#[test]
fn stopping_process_accepts_requests_it_can_complete() {
    let accepts = |elapsed, remaining| accepts(7_500, elapsed, remaining, false);
    assert!(accepts(1_000, 15_000));
    assert!(!accepts(3_907, 15_000));
    assert!(accepts(3_907, 800));
    assert!(!accepts(7_000, 800));
}

/// Guards against calls that are cut without an answer, so that nobody knows whether they ran,
/// and against a short grace period that ends before the load balancer has reacted.
#[test]
fn stopping_process_accepts_no_call_that_must_finish_and_may_outlive_it() {
    assert!(accepts(7_500, 10, 1_500, true));
    assert!(!accepts(7_500, 10, 8_000, true));
    assert!(!accepts(7_500, 2_000, 6_000, true));
    assert!(accepts(2_000, 900, 15_000, false));
    assert!(!accepts(2_000, 1_100, 15_000, false));
}
