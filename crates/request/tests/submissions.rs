//! Submissions that wait at entries: "not run" needs proof that no other entry waits.

use base::EntryId;
use base::RequestId;
use base::Span;
use base::Time;
use fastrand::Rng;
use request::Submissions;

/// Of entries that give up one after the other, in any order, only the last may be told that
/// no other waits.
#[test]
fn only_the_last_of_several_waiting_entries_is_told_that_none_waits() {
    for seed in 0..50 {
        let mut rng = Rng::with_seed(seed);
        let mut submissions = Submissions::default();
        let request = RequestId(rng.u128(..));
        let mut entries: Vec<EntryId> = (0..rng.u64(1..6)).map(EntryId).collect();
        let now = Time(1);
        for &entry in &entries {
            submissions.register(request, entry, Span::secs(9), now);
            submissions.register(request, entry, Span::secs(9), now);
        }
        rng.shuffle(&mut entries);
        let last = entries.pop().unwrap();
        for entry in entries {
            assert!(submissions.withdraw(request, entry, now), "seed {seed}");
        }
        assert!(!submissions.withdraw(request, last, now), "seed {seed}");
        assert!(submissions.is_empty());
    }
}

#[test]
fn a_killed_entry_blocks_a_request_no_longer_than_its_deadline() {
    let mut submissions = Submissions::default();
    let (request, killed, other) = (RequestId(7), EntryId(1), EntryId(2));
    submissions.register(request, killed, Span::secs(30), Time(0));
    assert!(submissions.withdraw(request, other, Time(0) + Span::secs(30)));
    assert!(!submissions.withdraw(request, other, Time(0) + Span::secs(40)));
    submissions.register(request, killed, Span::secs(30), Time(0));
    submissions.register(
        RequestId(8),
        other,
        Span::secs(30),
        Time(0) + Span::secs(90),
    );
    assert_eq!(submissions.len(), 1, "expired submissions are removed");
}
