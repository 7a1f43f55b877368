//! Rules that random histories seldom reach.

use base::KeeperId;
use consensus::Entry;
use consensus::Envelope;
use consensus::Members;
use consensus::Message;
use consensus::Payload;
use consensus::Position;
use consensus::Replica;
use consensus::Saved;
use consensus::Snapshot;
use consensus::Write;
use consensus::log::Log;
use consensus::replica::ELECTION_TICKS;

fn members() -> Members {
    Members {
        voters: (0..3).map(|n| (KeeperId(n), u64::from(n) + 1)).collect(),
        ..Members::default()
    }
}

fn entry(index: u64, term: u64, payload: Payload) -> Entry {
    Entry {
        position: Position { term, index },
        at: 0,
        payload,
    }
}

fn log() -> Log {
    let snapshot = Snapshot {
        members: members(),
        ..Snapshot::default()
    };
    let entries = vec![
        entry(1, 1, Payload::Noop),
        entry(2, 2, Payload::Data(vec![1])),
    ];
    Log::new(snapshot, entries)
}

fn from(sender: u32, term: u64, message: Message) -> Envelope {
    Envelope {
        from: KeeperId(sender),
        disk: u64::from(sender) + 1,
        to: KeeperId(0),
        term,
        message,
    }
}

fn campaign(sender: u32, term: u64) -> Envelope {
    let message = Message::Campaign {
        pre: false,
        last: Position { term: 2, index: 2 },
    };
    from(sender, term, message)
}

fn granted(effects: &consensus::Effects) -> bool {
    let vote = |e: &Envelope| matches!(e.message, Message::Ballot { granted: true, .. });
    effects.sends.iter().any(vote)
}

#[test]
fn a_vote_is_remembered_over_a_restart() {
    let mut replica = Replica::new(KeeperId(0), 1, Saved::default(), log(), 1);
    let effects = replica.receive(campaign(1, 5));
    assert!(granted(&effects));
    let mut saved = Saved::default();
    for write in effects.writes {
        if let Write::Save(new) = write {
            saved = new;
        }
    }
    let mut again = Replica::new(KeeperId(0), 1, saved, log(), 1);
    assert!(!granted(&again.receive(campaign(2, 5))), "one vote a term");
    assert!(
        granted(&again.receive(campaign(1, 5))),
        "the same vote again"
    );
}

#[test]
fn an_entry_of_an_earlier_term_is_committed_only_with_one_of_the_present() {
    let saved = Saved {
        term: 3,
        vote: None,
    };
    let mut replica = Replica::new(KeeperId(0), 1, saved, log(), 1);
    for _ in 0..2 * ELECTION_TICKS {
        replica.tick(0);
    }
    let ballot = |pre| Message::Ballot { pre, granted: true };
    replica.receive(from(1, 4, ballot(true)));
    replica.receive(from(1, 4, ballot(false)));
    assert_eq!(replica.leader(), Some(KeeperId(0)));
    let appended = |index| Message::Appended {
        matched: Some(index),
        hint: 0,
        round: 0,
    };
    replica.receive(from(1, 4, appended(2)));
    assert_eq!(replica.commit(), 0, "entry 2 is of term 2");
    replica.receive(from(1, 4, appended(3)));
    assert_eq!(replica.commit(), 3);
}

/// A replica is gone for good and another has joined: the first still counts towards
/// the quorum until it's removed.
#[test]
fn a_member_that_is_gone_is_removed_where_enough_remain() {
    let id = KeeperId;
    let members = Members {
        voters: (1..=4).map(|n| (id(n), u64::from(n))).collect(),
        learners: [(id(5), 5)].into(),
    };
    let all: Vec<KeeperId> = (1..=5).map(id).collect();
    assert_eq!(members.superfluous(&all, 3), None, "all are there");
    let without_two = [id(1), id(3), id(4), id(5)];
    assert_eq!(members.superfluous(&without_two, 3), Some(id(2)));
    let too_few = [id(1), id(3), id(5)];
    assert_eq!(
        members.superfluous(&too_few, 3),
        None,
        "a learner isn't a voter"
    );
    let without_learner = [id(1), id(2), id(3), id(4)];
    assert_eq!(members.superfluous(&without_learner, 3), Some(id(5)));
}
