//! The queue of messages to a replica behind a slow link.

use base::KeeperId;
use consensus::Envelope;
use consensus::Message;
use gateway::outbox::Outbox;

fn message(term: u64) -> Envelope {
    Envelope {
        from: KeeperId(1),
        disk: 1,
        to: KeeperId(2),
        term,
        message: Message::TimeoutNow,
    }
}

#[test]
fn messages_are_sent_in_order_one_batch_at_a_time() {
    let mut outbox = Outbox::default();
    let mut sent = Vec::new();
    for term in 0..10 {
        outbox.push(message(term));
        if term % 3 == 0 {
            sent.extend(outbox.next_batch().unwrap_or_default());
        }
        assert!(
            outbox.next_batch().is_none(),
            "a batch is under way already"
        );
        if term % 3 == 2 {
            outbox.finish_batch();
        }
    }
    outbox.finish_batch();
    sent.extend(outbox.next_batch().unwrap_or_default());
    let terms: Vec<u64> = sent.iter().map(|envelope| envelope.term).collect();
    assert_eq!(terms, (0..10).collect::<Vec<u64>>());
}

/// Guards against unbounded memory use while a replica accepts no messages for a long
/// time.
#[test]
fn queue_is_bounded() {
    let mut outbox = Outbox::default();
    outbox.push(message(0));
    assert_eq!(outbox.next_batch().map(|batch| batch.len()), Some(1));
    for term in 1..10_000 {
        outbox.push(message(term));
    }
    outbox.finish_batch();
    let batch = outbox.next_batch().unwrap();
    assert!(batch.len() <= 16, "{} wait", batch.len());
    assert_eq!(batch.last().unwrap().term, 9_999);
}
