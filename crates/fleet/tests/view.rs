//! When a process that has started or stood still may act on what it knows of engines.

use std::net::SocketAddr;

use base::Span;
use base::Time;
use fleet::mesh::Member;
use fleet::peers::PeerTable;
use fleet::peers::UPDATE_TIMEOUT;
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
    let mut view = View::open(true, at(0));
    view.begin_round(at(500));
    assert!(view.is_current(at(600)));
    // The clock tells before the next round begins.
    let woken = at(500) + MAX_ROUND_GAP + Span::millis(1);
    assert!(!view.is_current(woken));
    assert!(view.begin_round(woken) > MAX_ROUND_GAP);
    assert!(!view.settle(&table, woken) && !view.is_current(woken));
    // An answer to a question from before the pause shows nothing.
    exchange(&mut table, 1, at(500), woken);
    exchange(&mut table, 2, woken, woken);
    assert!(!view.settle(&table, woken));
    exchange(&mut table, 1, woken, woken);
    assert!(view.settle(&table, woken) && view.is_current(woken));
}

/// A process that nobody answers goes on with what it knows.
#[test]
fn a_process_without_answers_goes_on_after_a_time() {
    let table = table(3, at(0));
    let mut view = View::open(false, at(0));
    let mut now = at(0);
    while !view.settle(&table, now) {
        assert!(!view.is_current(now));
        now = now + Span::millis(100);
        view.begin_round(now);
    }
    assert!(view.is_current(now) && now > at(0) + UPDATE_TIMEOUT);
    assert!(View::open(true, at(0)).is_current(at(0)), "without peers");
}
