//! Documents: faults kept as data, exact round trips, races and resends.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use base::TeamId;
use base::Tokens;
use config::Answer;
use config::Document;
use config::Patch;
use config::Reason;
use config::Register;
use config::check;
use config::check::World;
use config::document::Endpoint;
use config::document::Model;
use config::document::Plan;
use config::document::Priority;
use config::document::Team;
use config::read;
use config::register::submission;
use config::write;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const SEED: u64 = 6;

#[test]
fn faults_are_named_as_the_files_say() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/files");
    let mut count = 0;
    for item in fs::read_dir(folder).unwrap() {
        let path = item.unwrap().path();
        let text = fs::read_to_string(&path).unwrap();
        let (input, expected) = text.split_once("---\n").unwrap();
        let faults = read::read(input).unwrap_err();
        let mut found: Vec<String> = faults.iter().map(ToString::to_string).collect();
        let mut expected: Vec<&str> = expected.lines().collect();
        found.sort();
        expected.sort_unstable();
        assert_eq!(found, expected, "{}", path.display());
        count += 1;
    }
    assert!(count >= 4, "the files are there");
}

/// A document made of what a generator draws.
#[derive(Clone, Debug)]
struct Drawn(Document);

impl Arbitrary for Drawn {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut document = Document {
            number: 1,
            ..Document::default()
        };
        for _ in 0..u8::arbitrary(g) % 5 {
            let model = Model {
                context: u32::from(u8::arbitrary(g)) + 1,
                answer: 1,
            };
            let name = format!("m{}", u8::arbitrary(g));
            document.models.insert(name, model);
        }
        for _ in 0..u8::arbitrary(g) % 5 {
            let number = u8::arbitrary(g);
            let key = base::Digest::of(&[number]).hex();
            let team = Team {
                keys: vec![key],
                budget: Tokens(u64::from(u16::arbitrary(g))),
                priority: [Priority::High, Priority::Normal, Priority::Low]
                    [usize::from(number % 3)],
                weight: u32::from(number) + 1,
            };
            document.teams.insert(format!("t{number}"), team);
        }
        Self(document)
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the generator hands values over"
)]
fn round_trips(drawn: Drawn) -> bool {
    let text = write::write(&drawn.0);
    let again = read::read(&text).unwrap();
    assert_eq!(write::write(&again), text);
    again == drawn.0
}

fn patches_lead_there(old: Drawn, new: Drawn) -> bool {
    let (old, mut new) = (old.0, new.0);
    new.number = 2;
    new.follows = 1;
    let patch = Patch::between(&old, &new);
    let digest = write::digest(&new);
    assert!(patch.apply(&new).is_err(), "it follows another number");
    patch.apply_exact(&old, &digest) == Ok(new)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the generator hands values over"
)]
fn no_text_breaks_the_reader(text: String) -> bool {
    match read::read(&text) {
        Ok(document) => read::read(&write::write(&document)) == Ok(document),
        Err(faults) => !faults.is_empty(),
    }
}

#[test]
fn documents_round_trip_exactly() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(2_000)
        .quickcheck(round_trips as fn(Drawn) -> bool);
}

#[test]
fn a_patch_leads_to_the_document_it_was_made_for() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(2_000)
        .quickcheck(patches_lead_there as fn(Drawn, Drawn) -> bool);
}

#[test]
fn any_text_is_read_or_refused() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, SEED))
        .tests(5_000)
        .quickcheck(no_text_breaks_the_reader as fn(String) -> bool);
}

/// What operators and keepers do.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An operator submits against the number that it last saw.
    Submit(u8, u8),
    /// An operator sends its last document again.
    Resend(u8),
    /// An operator looks at the number in force.
    Look(u8),
    /// A keeper restarts from a snapshot.
    Restart,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let a = u8::arbitrary(g);
        match u8::arbitrary(g) % 8 {
            0..3 => Self::Submit(a, u8::arbitrary(g)),
            3..5 => Self::Resend(a),
            5..7 => Self::Look(a),
            _ => Self::Restart,
        }
    }
}

const OPERATORS: usize = 3;

#[derive(Default)]
struct Desk {
    seen: Document,
    last: Option<(Document, Answer)>,
}

/// The oracle is one number and who holds it.
fn races_have_one_winner(steps: Vec<Step>) -> bool {
    let mut register = Register::default();
    let mut desks: Vec<Desk> = (0..OPERATORS).map(|_| Desk::default()).collect();
    let mut winners: BTreeMap<u64, String> = BTreeMap::new();
    let mut in_force = 0;
    for step in steps {
        match step {
            Step::Look(n) => {
                desks[usize::from(n) % OPERATORS].seen = register.current().as_ref().clone();
            }
            Step::Restart => {
                let text = serde_json::to_string(&register).unwrap();
                register = serde_json::from_str(&text).unwrap();
            }
            Step::Submit(n, weight) => {
                let n = usize::from(n) % OPERATORS;
                let mut document = desks[n].seen.clone();
                document.follows = document.number;
                document.number += 1;
                let name = format!("team-{n}");
                let team = document.teams.entry(name).or_default();
                team.weight = u32::from(weight) + 1;
                let answer = submit(&mut register, &document, n);
                if let Answer::Accepted(accepted) = &answer {
                    let digest = write::digest(&document).hex();
                    let winner = winners.entry(accepted.number).or_insert(digest.clone());
                    assert_eq!(*winner, digest, "one winner for each number");
                }
                desks[n].last = Some((document, answer));
            }
            Step::Resend(n) => {
                let n = usize::from(n) % OPERATORS;
                if let Some((document, first)) = desks[n].last.take() {
                    let again = submit(&mut register, &document, n);
                    let stale = matches!(first, Answer::Stale { .. });
                    assert!(stale || again == first, "a resend gets its first answer");
                    desks[n].last = Some((document, first));
                }
            }
        }
        assert!(register.current().number >= in_force, "never reverts");
        in_force = register.current().number;
        assert_eq!(winners.len() as u64, in_force);
    }
    true
}

fn submit(register: &mut Register, document: &Document, operator: usize) -> Answer {
    let mut made = submission(register.current(), document, &operator.to_string());
    made.patch.follows = document.follows;
    register.submit(&made, &World::default(), 7)
}

#[test]
fn of_equal_numbers_one_is_accepted_and_resends_get_the_same_answer() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, SEED))
        .tests(5_000)
        .quickcheck(races_have_one_winner as fn(Vec<Step>) -> bool);
}

fn reasons(old: &Document, new: &Document, world: &World) -> Vec<(String, Reason)> {
    let faults = check::change(old, new, world);
    faults.into_iter().map(|f| (f.path, f.reason)).collect()
}

#[test]
fn a_budget_is_not_lowered_under_what_is_spent() {
    let team = |budget| Team {
        budget: Tokens(budget),
        weight: 1,
        ..Team::default()
    };
    let mut old = Document::default();
    old.teams.insert("a".to_owned(), team(100));
    old.teams.insert("b".to_owned(), team(100));
    let mut new = old.clone();
    new.teams.insert("a".to_owned(), team(40));
    new.teams.remove("b");
    let mut world = World::default();
    world.free.insert(TeamId::named("a"), Tokens(59));
    world.unspent.insert(TeamId::named("b"), Tokens(1));
    let spent = Reason::Spent {
        lowered: Tokens(60),
        free: Tokens(59),
    };
    let expected = vec![
        ("teams.a.budget".to_owned(), spent),
        ("teams.b".to_owned(), Reason::Unspent(Tokens(1))),
    ];
    assert_eq!(reasons(&old, &new, &world), expected);
    world.free.insert(TeamId::named("a"), Tokens(60));
    world.unspent.clear();
    assert_eq!(reasons(&old, &new, &world), Vec::new());
}

#[test]
fn a_planned_stop_must_leave_each_model_an_endpoint() {
    let old = Document::default();
    let mut new = old.clone();
    let stop = Endpoint {
        plan: Plan::Stop,
        load: Vec::new(),
    };
    new.endpoints.insert("one".to_owned(), stop);
    let mut world = World::default();
    let serves = |names: &[&str]| names.iter().map(|&n| n.to_owned()).collect::<Vec<_>>();
    world.serving.insert("one".to_owned(), serves(&["a", "b"]));
    world.serving.insert("two".to_owned(), serves(&["a"]));
    let last = Reason::LastEndpoint("b".to_owned());
    let expected = vec![("endpoints.one.plan".to_owned(), last)];
    assert_eq!(reasons(&old, &new, &world), expected);
}

/// Checks that an object's members are those that its schema names.
fn same_members(path: &str, value: &serde_json::Value, schema: &serde_json::Value) {
    let Some(object) = value.as_object() else {
        return;
    };
    if let Some(named) = schema["properties"].as_object() {
        let found: Vec<&String> = object.keys().collect();
        let known: Vec<&String> = named.keys().collect();
        assert_eq!(found, known, "{path}");
        for (name, item) in object {
            same_members(&format!("{path}.{name}"), item, &named[name]);
        }
    } else {
        for (name, item) in object {
            let inner = &schema["additionalProperties"];
            same_members(&format!("{path}.{name}"), item, inner);
        }
    }
}

#[test]
fn the_schema_names_what_a_document_holds() {
    let mut full = Document::default();
    full.teams.insert("t".to_owned(), Team::default());
    full.models.insert("m".to_owned(), Model::default());
    full.routes.entry("r".to_owned()).or_default();
    let service = full.services.entry("s".to_owned()).or_default();
    service.calls.entry("c".to_owned()).or_default();
    full.endpoints.entry("e".to_owned()).or_default();
    let value = serde_json::from_str(&write::write(&full)).unwrap();
    let schema = serde_json::from_str(config::document::SCHEMA).unwrap();
    same_members("document", &value, &schema);
}
