//! Election, commitment and membership rules that random histories rarely reach.

use base::KeeperId;
use consensus::Entry;
use consensus::Envelope;
use consensus::HardState;
use consensus::LogWrite;
use consensus::Members;
use consensus::MembershipChange;
use consensus::Message;
use consensus::Payload;
use consensus::Position;
use consensus::ReplacementPolicy;
use consensus::Replica;
use consensus::Snapshot;
use consensus::log::Log;
use consensus::replica::MIN_ELECTION_TICKS;

fn members() -> Members {
    Members {
        voters: (0..3).map(|n| (KeeperId(n), u64::from(n) + 1)).collect(),
        ..Members::default()
    }
}

fn entry(index: u64, term: u64, payload: Payload) -> Entry {
    Entry {
        position: Position { term, index },
        time_ms: 0,
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

fn envelope(sender: u32, term: u64, message: Message) -> Envelope {
    Envelope {
        from: KeeperId(sender),
        disk: u64::from(sender) + 1,
        to: KeeperId(0),
        term,
        message,
    }
}

fn vote_request(sender: u32, term: u64) -> Envelope {
    let message = Message::RequestVote {
        pre_vote: false,
        last_position: Position { term: 2, index: 2 },
    };
    envelope(sender, term, message)
}

fn granted(effects: &consensus::Effects) -> bool {
    let vote = |e: &Envelope| matches!(e.message, Message::VoteResponse { granted: true, .. });
    effects.messages.iter().any(vote)
}

#[test]
fn a_vote_survives_a_restart() {
    let mut replica = Replica::new(KeeperId(0), 1, HardState::default(), log(), 1);
    let effects = replica.receive(vote_request(1, 5));
    assert!(granted(&effects));
    let mut hard_state = HardState::default();
    for write in effects.writes {
        if let LogWrite::Save(new) = write {
            hard_state = new;
        }
    }
    let mut restarted = Replica::new(KeeperId(0), 1, hard_state, log(), 1);
    assert!(
        !granted(&restarted.receive(vote_request(2, 5))),
        "one vote per term"
    );
    assert!(
        granted(&restarted.receive(vote_request(1, 5))),
        "the same vote again"
    );
}

fn append_response(match_index: u64) -> Envelope {
    let message = Message::AppendResponse {
        match_index: Some(match_index),
        next_hint: 0,
        round: 0,
    };
    envelope(1, 4, message)
}

/// Returns a replica that was elected in term 4, with two entries of earlier terms and one
/// of its own.
fn elected_leader() -> Replica {
    let hard_state = HardState {
        term: 3,
        vote: None,
    };
    let mut replica = Replica::new(KeeperId(0), 1, hard_state, log(), 1);
    for _ in 0..2 * MIN_ELECTION_TICKS {
        replica.tick(0);
    }
    let vote = |pre| Message::VoteResponse {
        pre_vote: pre,
        granted: true,
    };
    replica.receive(envelope(1, 4, vote(true)));
    replica.receive(envelope(1, 4, vote(false)));
    assert_eq!(replica.leader(), Some(KeeperId(0)));
    replica
}

#[test]
fn an_entry_of_an_earlier_term_commits_only_with_one_of_the_current_term() {
    let mut replica = elected_leader();
    replica.receive(append_response(2));
    assert_eq!(replica.commit_index(), 0, "entry 2 is of term 2");
    replica.receive(append_response(3));
    assert_eq!(replica.commit_index(), 3);
}

/// An acknowledged entry could be lost: an earlier leader may have changed the members, too.
#[test]
fn members_change_only_once_an_entry_of_the_current_term_is_committed() {
    let mut replica = elected_leader();
    let change = MembershipChange::Remove(KeeperId(2));
    assert!(replica.change_members(change).is_err());
    replica.receive(append_response(2));
    assert!(replica.change_members(change).is_err());
    replica.receive(append_response(3));
    assert!(replica.change_members(change).is_ok());
}

/// A member that is lost permanently counts towards the quorum size until it is removed,
/// also after another member has joined.
#[test]
fn a_lost_member_is_removable_if_enough_voters_are_present() {
    let id = KeeperId;
    let members = Members {
        voters: (1..=4).map(|n| (id(n), u64::from(n))).collect(),
        learners: [(id(5), 5)].into(),
    };
    let all: Vec<KeeperId> = (1..=5).map(id).collect();
    assert_eq!(
        members.removable_member(&all, 3),
        None,
        "all members are present"
    );
    let without_two = [id(1), id(3), id(4), id(5)];
    assert_eq!(members.removable_member(&without_two, 3), Some(id(2)));
    let too_few = [id(1), id(3), id(5)];
    assert_eq!(
        members.removable_member(&too_few, 3),
        None,
        "a learner isn't a voter"
    );
    let without_learner = [id(1), id(2), id(3), id(4)];
    assert_eq!(members.removable_member(&without_learner, 3), Some(id(5)));
}

/// Guards against a group without a leader for good: all processes ended while the entry that
/// promotes a learner was on the leader's disk only, and its majority needs the learner's vote.
#[test]
fn a_learner_votes_for_a_candidate_that_may_list_it_as_a_voter() {
    let mut members = members();
    let disk = members.voters.remove(&KeeperId(0)).expect("a voter");
    members.learners.insert(KeeperId(0), disk);
    let snapshot = Snapshot {
        members,
        ..Snapshot::default()
    };
    let log = Log::new(snapshot, vec![entry(1, 1, Payload::Noop)]);
    let mut learner = Replica::new(KeeperId(0), 1, HardState::default(), log, 1);
    assert!(granted(&learner.receive(vote_request(1, 5))));
    assert!(
        !granted(&learner.receive(vote_request(2, 5))),
        "one vote per term"
    );
}

/// Guards against a leader that is lost and replaced later than its successor needs to catch
/// up: the time without a leader didn't count towards its absence.
#[test]
fn the_time_without_a_leader_counts_towards_its_absence() {
    let absence_ticks = 4 * MIN_ELECTION_TICKS;
    let policy = ReplacementPolicy {
        min_voters: 3,
        max_voters: 3,
        absence_ticks,
    };
    let mut members = members();
    members.learners.insert(KeeperId(3), 4);
    let snapshot = Snapshot {
        members,
        ..Snapshot::default()
    };
    let log = Log::new(snapshot, vec![entry(1, 1, Payload::Noop)]);
    let hard_state = HardState {
        term: 1,
        vote: None,
    };
    let mut replica = Replica::new(KeeperId(0), 1, hard_state, log, 1).with_policy(policy);
    let heartbeat = |round| Message::Heartbeat {
        commit_index: 1,
        round,
    };
    replica.receive(envelope(2, 1, heartbeat(1)));
    let mut ticks = 0;
    let answer = |replica: &mut Replica, from, message| {
        replica.receive(envelope(from, replica.term(), message))
    };
    while replica.term() == 1 {
        ticks += 1;
        replica.tick(0);
        let vote = |pre_vote| Message::VoteResponse {
            pre_vote,
            granted: true,
        };
        replica.receive(envelope(1, 2, vote(true)));
    }
    let granted = Message::VoteResponse {
        pre_vote: false,
        granted: true,
    };
    replica.receive(envelope(1, 2, granted));
    assert_eq!(replica.leader(), Some(KeeperId(0)));
    while replica.members().is_voter(KeeperId(2)) {
        ticks += 1;
        replica.tick(0);
        let stored = Message::AppendResponse {
            match_index: Some(replica.log().last_position().index),
            next_hint: 0,
            round: 0,
        };
        answer(&mut replica, 1, stored.clone());
        answer(&mut replica, 3, stored);
    }
    // A change waits for the next heartbeat.
    assert!(ticks <= absence_ticks + 4, "{ticks} of {absence_ticks}");
}
