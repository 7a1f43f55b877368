//! Documents: faults listed in data files, exact round trips, concurrent submissions
//! and retries.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use base::TeamId;
use base::Tokens;
use config::Document;
use config::FaultKind;
use config::Patch;
use config::Register;
use config::SubmitResult;
use config::canonical;
use config::check;
use config::check::ClusterState;
use config::document::Endpoint;
use config::document::Model;
use config::document::Plan;
use config::document::Priority;
use config::document::Team;
use config::parse;
use config::register::new_submission;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const SEED: u64 = 6;

#[test]
fn parsing_reports_the_faults_listed_in_the_files() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/files");
    let mut count = 0;
    for item in fs::read_dir(folder).unwrap() {
        let path = item.unwrap().path();
        let text = fs::read_to_string(&path).unwrap();
        let (input, expected) = text.split_once("---\n").unwrap();
        let faults = parse::parse_document(input).unwrap_err();
        let mut found: Vec<String> = faults.iter().map(ToString::to_string).collect();
        let mut expected: Vec<&str> = expected.lines().collect();
        found.sort();
        expected.sort_unstable();
        assert_eq!(found, expected, "{}", path.display());
        count += 1;
    }
    assert!(count >= 4, "missing test files");
}

/// A random document.
#[derive(Clone, Debug)]
struct RandomDocument(Document);

impl Arbitrary for RandomDocument {
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
            let key = base::Digest::of(&[number]).to_hex();
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
fn round_trips(random: RandomDocument) -> bool {
    let text = canonical::to_canonical_json(&random.0);
    let again = parse::parse_document(&text).unwrap();
    assert_eq!(canonical::to_canonical_json(&again), text);
    again == random.0
}

fn patches_produce_the_new_document(old: RandomDocument, new: RandomDocument) -> bool {
    let (old, mut new) = (old.0, new.0);
    new.number = 2;
    new.follows = 1;
    let patch = Patch::between(&old, &new);
    let digest = canonical::digest(&new);
    assert!(
        patch.apply(&new).is_err(),
        "the patch applies to another number"
    );
    patch.apply_verified(&old, &digest) == Ok(new)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the generator hands values over"
)]
fn any_text_parses_or_has_faults(text: String) -> bool {
    match parse::parse_document(&text) {
        Ok(document) => {
            parse::parse_document(&canonical::to_canonical_json(&document)) == Ok(document)
        }
        Err(faults) => !faults.is_empty(),
    }
}

#[test]
fn documents_round_trip_exactly() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(2_000)
        .quickcheck(round_trips as fn(RandomDocument) -> bool);
}

#[test]
fn a_patch_produces_the_document_it_was_made_for() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(2_000)
        .quickcheck(patches_produce_the_new_document as fn(RandomDocument, RandomDocument) -> bool);
}

#[test]
fn any_text_is_parsed_or_rejected() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, SEED))
        .tests(5_000)
        .quickcheck(any_text_parses_or_has_faults as fn(String) -> bool);
}

/// A step of an operator or a keeper.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An operator submits a document based on the one that it last fetched.
    Submit(u8, u8),
    /// An operator retries its last submission.
    Retry(u8),
    /// An operator fetches the current document.
    Fetch(u8),
    /// A keeper restarts from a snapshot.
    Restart,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let a = u8::arbitrary(g);
        match u8::arbitrary(g) % 8 {
            0..3 => Self::Submit(a, u8::arbitrary(g)),
            3..5 => Self::Retry(a),
            5..7 => Self::Fetch(a),
            _ => Self::Restart,
        }
    }
}

const OPERATORS: usize = 3;

#[derive(Default)]
struct Operator {
    fetched: Document,
    last: Option<(Document, SubmitResult)>,
}

/// The oracle is the current number and the accepted digest of each number.
fn one_submission_wins_each_number(steps: Vec<Step>) -> bool {
    let mut register = Register::default();
    let mut operators: Vec<Operator> = (0..OPERATORS).map(|_| Operator::default()).collect();
    let mut winners: BTreeMap<u64, String> = BTreeMap::new();
    let mut current = 0;
    for step in steps {
        match step {
            Step::Fetch(n) => {
                operators[usize::from(n) % OPERATORS].fetched = register.current().as_ref().clone();
            }
            Step::Restart => {
                let text = serde_json::to_string(&register).unwrap();
                register = serde_json::from_str(&text).unwrap();
            }
            Step::Submit(n, weight) => {
                let n = usize::from(n) % OPERATORS;
                let mut document = operators[n].fetched.clone();
                document.follows = document.number;
                document.number += 1;
                let name = format!("team-{n}");
                let team = document.teams.entry(name).or_default();
                team.weight = u32::from(weight) + 1;
                let answer = submit(&mut register, &document, n);
                if let SubmitResult::Accepted(accepted) = &answer {
                    let digest = canonical::digest(&document).to_hex();
                    let winner = winners.entry(accepted.number).or_insert(digest.clone());
                    assert_eq!(*winner, digest, "one winner for each number");
                }
                operators[n].last = Some((document, answer));
            }
            Step::Retry(n) => {
                let n = usize::from(n) % OPERATORS;
                if let Some((document, first)) = operators[n].last.take() {
                    let again = submit(&mut register, &document, n);
                    let stale = matches!(first, SubmitResult::Stale { .. });
                    assert!(stale || again == first, "a retry gets the first result");
                    operators[n].last = Some((document, first));
                }
            }
        }
        assert!(
            register.current().number >= current,
            "the number never decreases"
        );
        current = register.current().number;
        assert_eq!(winners.len() as u64, current);
    }
    true
}

fn submit(register: &mut Register, document: &Document, operator: usize) -> SubmitResult {
    let mut submission = new_submission(register.current(), document, &operator.to_string());
    submission.patch.follows = document.follows;
    register.submit(&submission, &ClusterState::default(), 7)
}

#[test]
fn one_submission_of_a_number_is_accepted_and_retries_get_the_same_result() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, SEED))
        .tests(5_000)
        .quickcheck(one_submission_wins_each_number as fn(Vec<Step>) -> bool);
}

fn reasons(old: &Document, new: &Document, world: &ClusterState) -> Vec<(String, FaultKind)> {
    let faults = check::check_change(old, new, world);
    faults.into_iter().map(|f| (f.path, f.reason)).collect()
}

#[test]
fn a_budget_cannot_be_reduced_below_spent_tokens() {
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
    let mut world = ClusterState::default();
    world.free_tokens.insert(TeamId::from_name("a"), Tokens(59));
    world
        .unspent_tokens
        .insert(TeamId::from_name("b"), Tokens(1));
    let spent = FaultKind::BudgetInUse {
        reduction: Tokens(60),
        available: Tokens(59),
    };
    let expected = vec![
        ("teams.a.budget".to_owned(), spent),
        ("teams.b".to_owned(), FaultKind::UnspentTokens(Tokens(1))),
    ];
    assert_eq!(reasons(&old, &new, &world), expected);
    world.free_tokens.insert(TeamId::from_name("a"), Tokens(60));
    world.unspent_tokens.clear();
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
    let mut world = ClusterState::default();
    let serves = |names: &[&str]| names.iter().map(|&n| n.to_owned()).collect::<Vec<_>>();
    world
        .served_models
        .insert("one".to_owned(), serves(&["a", "b"]));
    world.served_models.insert("two".to_owned(), serves(&["a"]));
    let last = FaultKind::LastEndpoint("b".to_owned());
    let expected = vec![("endpoints.one.plan".to_owned(), last)];
    assert_eq!(reasons(&old, &new, &world), expected);
}

/// Checks that an object has exactly the members that its schema lists.
fn assert_same_members(path: &str, value: &serde_json::Value, schema: &serde_json::Value) {
    let Some(object) = value.as_object() else {
        return;
    };
    if let Some(named) = schema["properties"].as_object() {
        let found: Vec<&String> = object.keys().collect();
        let known: Vec<&String> = named.keys().collect();
        assert_eq!(found, known, "{path}");
        for (name, item) in object {
            assert_same_members(&format!("{path}.{name}"), item, &named[name]);
        }
    } else {
        for (name, item) in object {
            let inner = &schema["additionalProperties"];
            assert_same_members(&format!("{path}.{name}"), item, inner);
        }
    }
}

#[test]
fn the_schema_lists_every_member_of_a_document() {
    let mut full = Document::default();
    full.teams.insert("t".to_owned(), Team::default());
    full.models.insert("m".to_owned(), Model::default());
    full.routes.entry("r".to_owned()).or_default();
    let service = full.services.entry("s".to_owned()).or_default();
    service.calls.entry("c".to_owned()).or_default();
    full.endpoints.entry("e".to_owned()).or_default();
    let value = serde_json::from_str(&canonical::to_canonical_json(&full)).unwrap();
    let schema = serde_json::from_str(config::document::SCHEMA).unwrap();
    assert_same_members("document", &value, &schema);
}
