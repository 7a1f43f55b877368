//! Keys: peers of one fleet reach each other, strangers don't, new keys take over.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use base::Span;
use fleet::Answer;
use fleet::Ask;
use fleet::Keys;
use fleet::Node;
use fleet::Service;
use fleet::keys;
use fleet::node::BoxFuture;
use futures_lite::future::block_on;
use host::Pool;

const WAIT: Span = Span::secs(5);

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("fleet-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    keys::make_authority(&path).unwrap();
    keys::make_process(&path, "one").unwrap();
    keys::make_process(&path, "two").unwrap();
    path
}

fn node(pool: &Pool, folder: &Path, name: &str) -> Node {
    let service = Service {
        ask: Arc::new(|_, _| Box::pin(std::future::ready(Answer::Done)) as BoxFuture<Answer>),
        open: Arc::new(|_, _| Box::pin(std::future::ready(())) as BoxFuture<()>),
    };
    let keys = Keys::open(folder, name).unwrap();
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    Node::bind(pool, address, &keys, service, fleet::node::MANY_STREAMS).unwrap()
}

fn reaches(from: &Node, to: &Node) -> bool {
    let answer = block_on(from.ask(to.address(), Ask::Status, WAIT));
    matches!(answer, Ok(Answer::Done))
}

#[test]
fn strangers_are_not_answered() {
    let pool = Pool::start(2);
    let own = folder("own");
    let other = folder("other");
    let one = node(&pool, &own, "one");
    let two = node(&pool, &own, "two");
    let stranger = node(&pool, &other, "one");
    assert!(reaches(&one, &two));
    assert!(!reaches(&stranger, &two));
    assert!(!reaches(&two, &stranger));
    fs::remove_dir_all(own).unwrap();
    fs::remove_dir_all(other).unwrap();
}

#[test]
fn new_keys_take_over_and_open_connections_go_on() {
    let pool = Pool::start(2);
    let own = folder("rotate");
    let one = node(&pool, &own, "one");
    let mut two = node(&pool, &own, "two");
    assert!(reaches(&one, &two));
    // The fleet gets a new authority; both trust it from now on.
    for file in ["authority.pem", "authority.key"] {
        fs::remove_file(own.join(file)).unwrap();
    }
    keys::make_authority(&own).unwrap();
    keys::make_process(&own, "two").unwrap();
    keys::make_process(&own, "three").unwrap();
    let three = node(&pool, &own, "three");
    assert!(!reaches(&three, &two), "the old keys are still in use");
    two.rotate(&Keys::open(&own, "two").unwrap()).unwrap();
    let four = node(&pool, &own, "three");
    assert!(reaches(&four, &two));
    assert!(reaches(&one, &two), "the open connection goes on");
    fs::remove_dir_all(own).unwrap();
}

#[test]
fn a_missing_or_broken_file_is_named() {
    let own = folder("missing");
    let error = Keys::open(&own, "nobody").unwrap_err().to_string();
    assert!(error.contains("nobody.pem"), "{error}");
    fs::write(own.join("one.key"), "no key").unwrap();
    let error = Keys::open(&own, "one").unwrap_err().to_string();
    assert!(error.contains("one.key"), "{error}");
    let error = keys::make_authority(&own).unwrap_err().to_string();
    assert!(error.contains("there already"), "{error}");
    fs::remove_dir_all(own).unwrap();
}
