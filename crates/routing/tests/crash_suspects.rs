//! Tests of the detection of prompt segments that crash engines.

use base::Span;
use base::Time;
use routing::CrashSuspects;
use routing::metadata::PromptSegment;

const COMMON: u64 = 1;
const DEADLY: u64 = 2;

/// Returns a prompt with these shared segments and one of its own.
fn prompt(shared: &[u64]) -> Vec<PromptSegment> {
    let shared = shared.iter().copied().chain([u64::MAX]);
    shared.map(|id| PromptSegment { id, tokens: 9 }).collect()
}

fn at(ms: u64) -> Time {
    Time(0) + Span::millis(ms)
}

/// Crashes `count` engines, 300 ms apart, and answers a sound request after each crash.
fn crash_engines(suspects: &mut CrashSuspects, count: u64) -> Vec<u64> {
    let mut blocked = Vec::new();
    for n in 0..count {
        let now = at(1_000 + 300 * n);
        suspects.record_answer(&prompt(&[COMMON, 50 + n]), now);
        blocked.extend(suspects.record_crash(n, &prompt(&[COMMON, DEADLY, 50 + n]), now));
        suspects.record_answer(&prompt(&[COMMON]), at(1_100 + 300 * n));
    }
    blocked
}

#[test]
fn segment_that_crashes_engines_is_blocked_at_the_third_crash() {
    let mut suspects = CrashSuspects::default();
    assert_eq!(crash_engines(&mut suspects, 2), []);
    let mut suspects = CrashSuspects::default();
    assert_eq!(crash_engines(&mut suspects, 3), [DEADLY]);
    let now = at(3_000);
    let deadly = suspects.blocked_segment(&prompt(&[77, DEADLY]), now);
    assert_eq!(deadly, Some(DEADLY));
    let sound = suspects.blocked_segment(&prompt(&[COMMON, 51]), now);
    assert_eq!(sound, None);
    let later = now + Span::secs(600);
    let released = suspects.blocked_segment(&prompt(&[DEADLY]), later);
    assert_eq!(released, None);
}

/// A segment that was answered often becomes deadly.
#[test]
fn segment_that_turns_deadly_is_blocked_after_more_crashes() {
    let mut suspects = CrashSuspects::default();
    for n in 0..1_000 {
        suspects.record_answer(&prompt(&[COMMON, DEADLY]), at(n));
    }
    assert_eq!(crash_engines(&mut suspects, 11), []);
    let mut suspects = CrashSuspects::default();
    for n in 0..1_000 {
        suspects.record_answer(&prompt(&[COMMON, DEADLY]), at(n));
    }
    assert_eq!(crash_engines(&mut suspects, 12), [DEADLY]);
}

/// A caller's own segment occurs in the same requests as the deadly one, and its sound
/// requests have been answered before.
#[test]
fn segments_beside_a_blocked_one_stay_usable() {
    let mut suspects = CrashSuspects::default();
    suspects.record_answer(&prompt(&[COMMON, 60]), at(500));
    let mut blocked = Vec::new();
    for n in 0..9 {
        let now = at(1_000 + 300 * n);
        blocked.extend(suspects.record_crash(n, &prompt(&[60, DEADLY]), now));
        suspects.record_answer(&prompt(&[COMMON]), at(1_100 + 300 * n));
    }
    assert_eq!(blocked, [DEADLY]);
}

/// A failure domain goes dark while hundreds of requests wait for their first event.
#[test]
fn engines_that_fail_together_block_nothing() {
    let mut suspects = CrashSuspects::default();
    suspects.record_answer(&prompt(&[COMMON]), at(900));
    for n in 0..200 {
        let now = at(1_000 + n);
        let blocked = suspects.record_crash(n % 18, &prompt(&[COMMON, 100 + n % 7]), now);
        assert_eq!(blocked, []);
    }
    suspects.record_answer(&prompt(&[COMMON]), at(1_300));
    assert_eq!(suspects.record_crash(19, &prompt(&[COMMON]), at(1_301)), []);
}

/// All engines fail one after the other, and nothing is answered meanwhile.
#[test]
fn engines_that_all_fail_block_nothing() {
    let mut suspects = CrashSuspects::default();
    suspects.record_answer(&prompt(&[COMMON]), at(900));
    for n in 0..20 {
        let now = at(1_000 + 500 * n);
        assert_eq!(suspects.record_crash(n, &prompt(&[COMMON]), now), []);
    }
}

/// Each of three entries sees one crash. The third one, and one that has restarted, learn
/// of all of them; so does one that was partitioned meanwhile.
#[test]
fn entries_learn_of_crashes_from_peers() {
    let mut entries: Vec<CrashSuspects> = vec![CrashSuspects::default(); 3];
    for n in 0..3_u64 {
        let now = at(1_000 + 400 * n);
        let index = usize::try_from(n).unwrap();
        let common = prompt(&[COMMON, 70 + n]);
        for entry in &mut entries {
            entry.record_answer(&prompt(&[COMMON]), at(1_001 + 400 * n));
        }
        entries[index].record_answer(&common, at(1_001 + 400 * n));
        entries[index].record_crash(n, &prompt(&[COMMON, DEADLY, 70 + n]), now);
        let news = entries[index].news(now);
        for entry in &mut entries {
            entry.apply_news(&news, at(1_002 + 400 * n));
        }
    }
    let now = at(8_000);
    let mut restarted = CrashSuspects::default();
    restarted.apply_news(&entries[0].news(now), now);
    entries.push(restarted);
    for entry in &entries {
        assert_eq!(entry.blocked_segment(&prompt(&[DEADLY]), now), Some(DEADLY));
        for sound in [COMMON, 70, 71, 72] {
            assert_eq!(entry.blocked_segment(&prompt(&[sound]), now), None);
        }
    }
}

/// An engine that resets many of its requests counts once.
#[test]
fn one_failing_engine_blocks_nothing() {
    let mut suspects = CrashSuspects::default();
    for n in 0..100 {
        let now = at(1_000 + 300 * n);
        assert_eq!(suspects.record_crash(7, &prompt(&[DEADLY]), now), []);
        suspects.record_answer(&prompt(&[COMMON]), now);
    }
}

#[test]
fn request_that_may_have_crashed_its_engine_is_unproven() {
    let mut suspects = CrashSuspects::default();
    suspects.record_answer(&prompt(&[COMMON]), at(900));
    assert!(suspects.is_proven(&prompt(&[COMMON])));
    assert!(!suspects.is_proven(&prompt(&[COMMON, DEADLY])));
}
