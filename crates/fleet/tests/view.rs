//! When a process that has started or stood still may act on what it knows of engines.

use std::net::SocketAddr;

use base::KeeperId;
use base::Span;
use base::Time;
use fleet::mesh::Member;
use fleet::peers::PeerTable;
use fleet::peers::UPDATE_TIMEOUT;
use fleet::view::LOG_TIMEOUT;
use fleet::view::MAX_ROUND_GAP;
use fleet::view::View;
use routing::Directory;

fn member(index: u8) -> Member {
    Member {
        run_id: u64::from(index) + 1,
        address: SocketAddr::from(([10, 0, 0, index + 1], 7_000)),
        keeper: None,
        disk: 0,
        domain: "d".to_owned(),
        bootstrapping: false,
        processor: 300,
    }
}

fn at(ms: u64) -> Time {
    Time(0) + Span::millis(ms)
}

/// Returns the table of a process that knows one other, which has a replica.
fn table_with_replica(now: Time) -> PeerTable {
    let mut table = PeerTable::new(member(0));
    let replica = Member {
        keeper: Some(KeeperId(1)),
        disk: 1,
        ..member(1)
    };
    table.hear(&replica, now);
    table.due(&[], now + Span::millis(400));
    table
}

/// Returns the table of the first of `count` processes, which knows the others.
fn table(count: u8, now: Time) -> PeerTable {
    let mut table = PeerTable::new(member(0));
    for index in 1..count {
        table.hear(&member(index), now);
    }
    // Links are computed with the first round after the processes have settled.
    table.due(&[], now + Span::millis(400));
    table
}

/// The process asks a peer at `begun` and is answered at `now`.
fn exchange(table: &mut PeerTable, index: u8, begun: Time, now: Time) {
    let (own, peer) = (member(0).address, member(index).address);
    table.begin_exchange(peer, begun);
    let mut other = PeerTable::new(member(index));
    other.hear(&member(0), begun);
    let update = other.update_for(own, &Directory::default(), now);
    table.apply(update, false, now);
    table.finish_exchange(peer, true, now);
}

/// Guards against requests to engines that have left while the process stood still.
#[test]
fn a_process_that_stood_still_asks_its_peers_first() {
    let mut table = table(3, at(0));
    let mut view = View::open(true, false, at(0));
    view.begin_round(at(500));
    assert!(view.is_current(at(600)));
    // The clock tells before the next round begins.
    let woken = at(500) + MAX_ROUND_GAP + Span::millis(1);
    assert!(!view.is_current(woken));
    assert!(view.begin_round(woken) > MAX_ROUND_GAP);
    assert!(view.settle(&table, woken).is_none() && !view.is_current(woken));
    // An answer to a question from before the pause shows nothing.
    exchange(&mut table, 1, at(500), woken);
    exchange(&mut table, 2, woken, woken);
    assert!(view.settle(&table, woken).is_none());
    exchange(&mut table, 1, woken, woken);
    assert!(view.settle(&table, woken).is_some() && view.is_current(woken));
}

/// A process that nobody answers goes on with what it knows.
#[test]
fn a_process_without_answers_goes_on_after_a_time() {
    let table = table(3, at(0));
    let mut view = View::open(false, false, at(0));
    let mut now = at(0);
    while view.settle(&table, now).is_none() {
        assert!(!view.is_current(now));
        now = now + Span::millis(100);
        view.begin_round(now);
    }
    assert!(view.is_current(now) && now > at(0) + UPDATE_TIMEOUT);
    assert!(
        View::open(true, false, at(0)).is_current(at(0)),
        "without peers"
    );
}

/// Guards against requests to engines that have left, after the end of all processes: peers that
/// have just started know nothing of them, the replicated log does.
#[test]
fn a_process_that_has_started_waits_for_the_committed_departures() {
    let mut table = table_with_replica(at(0));
    let mut view = View::open(false, false, at(0));
    view.begin_round(at(400));
    exchange(&mut table, 1, at(400), at(410));
    assert!(table.has_asked(at(0)));
    assert!(view.settle(&table, at(410)).is_none() && !view.is_current(at(410)));
    view.confirm(at(420));
    let settled = view.settle(&table, at(420)).expect("settled");
    assert!(settled.peers && settled.log && view.is_current(at(420)));
}

/// Guards against an answer from before a pause that is taken for one from after it, and against
/// a process that stops asking when it stops waiting.
#[test]
fn a_process_asks_for_the_committed_departures_until_it_is_answered() {
    let mut table = table_with_replica(at(0));
    let mut view = View::open(false, true, at(0));
    let mut now = at(0);
    let settled = loop {
        if let Some(settled) = view.settle(&table, now) {
            break settled;
        }
        now = now + Span::millis(100);
        view.begin_round(now);
    };
    assert!(!settled.log && now >= at(0) + LOG_TIMEOUT);
    assert_eq!(view.unconfirmed(), Some(at(0)));
    view.confirm(now);
    assert_eq!(view.unconfirmed(), None);
    let woken = now + MAX_ROUND_GAP + Span::millis(1);
    view.begin_round(woken);
    exchange(&mut table, 1, woken, woken);
    view.confirm(now);
    assert_eq!(view.unconfirmed(), Some(woken));
    assert!(view.settle(&table, woken).is_none());
}

/// The only process of a site waits for its own replica.
#[test]
fn a_process_without_peers_waits_for_its_own_log() {
    let own = Member {
        keeper: Some(KeeperId(1)),
        ..member(0)
    };
    let table = PeerTable::new(own);
    let mut view = View::open(true, true, at(0));
    assert!(view.settle(&table, at(50)).is_none() && !view.is_current(at(50)));
    view.confirm(at(60));
    assert!(view.settle(&table, at(60)).is_some() && view.is_current(at(60)));
}

/// Guards against a process that has just started, has met a peer without a replica, and takes the
/// site for one without a log.
#[test]
fn a_process_that_has_started_waits_until_it_has_heard_of_a_replica() {
    let mut table = table(2, at(0));
    let mut view = View::open(false, false, at(0));
    view.begin_round(at(400));
    exchange(&mut table, 1, at(400), at(410));
    assert!(table.has_asked(at(0)) && !table.knows_replica());
    assert!(view.settle(&table, at(410)).is_none());
    let replica = Member {
        keeper: Some(KeeperId(1)),
        ..member(2)
    };
    table.hear(&replica, at(420));
    assert!(view.settle(&table, at(1_600)).is_none());
    view.confirm(at(1_650));
    view.begin_round(at(1_300));
    assert!(view.settle(&table, at(1_700)).is_some());
}
