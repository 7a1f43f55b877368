//! Announcements that come late, twice, crossed or after their run has ended.

use std::net::SocketAddrV4;

use base::Time;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use routing::Directory;
use routing::directory::Announcement;
use routing::directory::News;
use routing::directory::Phase;

fn said(id: &str, born: u64, sequence: u64, phase: Phase) -> Announcement {
    Announcement {
        id: id.to_owned(),
        born,
        sequence,
        service: "llm".to_owned(),
        address: SocketAddrV4::new([10, 0, 0, 1].into(), 80),
        domain: "a".to_owned(),
        slots: 8,
        phase,
    }
}

#[test]
fn a_late_announcement_does_not_bring_a_leaving_engine_back() {
    let mut directory = Directory::default();
    let now = Time(1);
    assert_eq!(
        directory.announce(said("e", 5, 1, Phase::Ready), now),
        News::Changed
    );
    assert_eq!(
        directory.announce(said("e", 5, 3, Phase::Draining), now),
        News::Changed
    );
    assert_eq!(
        directory.announce(said("e", 5, 2, Phase::Ready), now),
        News::Stale
    );
    assert_eq!(
        directory.announce(said("e", 5, 4, Phase::Ready), now),
        News::Stale
    );
    assert!(directory.leave("e", Some(5), now).is_some());
    assert_eq!(
        directory.announce(said("e", 5, 9, Phase::Ready), now),
        News::Stale
    );
    // A new run under the same name counts anew.
    assert_eq!(
        directory.announce(said("e", 6, 1, Phase::Ready), now),
        News::Changed
    );
}

#[test]
fn a_farewell_of_an_earlier_run_changes_nothing() {
    let mut directory = Directory::default();
    directory.announce(said("e", 6, 1, Phase::Ready), Time(1));
    assert!(directory.leave("e", Some(5), Time(2)).is_none());
    assert_eq!(directory.get("e").unwrap().said.phase, Phase::Ready);
}

/// An address is used again by another engine while announcements of the engine
/// before, which has crashed, are still on their way.
#[test]
fn the_younger_run_has_the_address() {
    let mut directory = Directory::default();
    directory.announce(said("old", 5, 1, Phase::Ready), Time(1));
    directory.announce(said("new", 9, 1, Phase::Ready), Time(2));
    assert_eq!(
        directory.announce(said("old", 5, 7, Phase::Ready), Time(3)),
        News::Stale
    );
    let old = directory.get("old").unwrap().clone();
    let new = directory.get("new").unwrap().clone();
    assert!(!directory.current(&old));
    assert!(directory.current(&new));
}

#[derive(Clone, Debug)]
struct Word(u64, u64, u8);

impl Arbitrary for Word {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(
            u64::arbitrary(g) % 3,
            u64::arbitrary(g) % 6,
            u8::arbitrary(g) % 3,
        )
    }
}

/// Any order of the same announcements ends in the same run and phase.
#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn order_does_not_matter(words: Vec<Word>, seed: u64) -> bool {
    let take = |words: &[Word]| {
        let mut directory = Directory::default();
        for Word(born, sequence, phase) in words {
            let phase = [Phase::Ready, Phase::Draining, Phase::Gone][usize::from(*phase)];
            directory.announce(said("e", *born, *sequence, phase), Time(1));
        }
        let end = directory.get("e");
        end.map(|engine| (engine.said.born, engine.said.phase))
    };
    let mut shuffled = words.clone();
    fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
    take(&words) == take(&shuffled)
}

#[test]
fn orders_end_alike() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 3))
        .tests(2_000)
        .quickcheck(order_does_not_matter as fn(Vec<Word>, u64) -> bool);
}
