//! Tests of mutual TLS: peers of one deployment reach each other, others don't, and
//! credentials can be rotated.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use base::Span;
use fleet::Node;
use fleet::PeerRequest;
use fleet::PeerResponse;
use fleet::Service;
use fleet::TlsCredentials;
use fleet::credentials;
use fleet::node::BoxFuture;
use futures_lite::future::block_on;
use host::Pool;

const REQUEST_TIMEOUT: Span = Span::secs(5);

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("fleet-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    credentials::create_authority(&path).unwrap();
    credentials::issue_certificate(&path, "one").unwrap();
    credentials::issue_certificate(&path, "two").unwrap();
    path
}

fn node(pool: &Pool, folder: &Path, name: &str) -> Node {
    let service = Service {
        on_request: Arc::new(|_, _| {
            Box::pin(std::future::ready(PeerResponse::Done)) as BoxFuture<PeerResponse>
        }),
        on_stream: Arc::new(|_, _| Box::pin(std::future::ready(())) as BoxFuture<()>),
    };
    let keys = TlsCredentials::load(folder, name).unwrap();
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    Node::bind(
        pool,
        address,
        &keys,
        service,
        fleet::node::MAX_FRAME_STREAMS,
    )
    .unwrap()
}

fn reaches(from: &Node, to: &Node) -> bool {
    let answer = block_on(from.request(to.address(), PeerRequest::Status, REQUEST_TIMEOUT));
    matches!(answer, Ok(PeerResponse::Done))
}

#[test]
fn peers_of_another_authority_are_rejected() {
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
fn rotation_applies_to_new_connections_only() {
    let pool = Pool::start(2);
    let own = folder("rotate");
    let one = node(&pool, &own, "one");
    let mut two = node(&pool, &own, "two");
    assert!(reaches(&one, &two));
    // The deployment gets a new authority, which `two` trusts after its rotation.
    for file in ["authority.pem", "authority.key"] {
        fs::remove_file(own.join(file)).unwrap();
    }
    credentials::create_authority(&own).unwrap();
    credentials::issue_certificate(&own, "two").unwrap();
    credentials::issue_certificate(&own, "three").unwrap();
    let three = node(&pool, &own, "three");
    assert!(!reaches(&three, &two), "the old keys are still in use");
    two.rotate(&TlsCredentials::load(&own, "two").unwrap())
        .unwrap();
    let four = node(&pool, &own, "three");
    assert!(reaches(&four, &two));
    assert!(reaches(&one, &two), "the open connection goes on");
    fs::remove_dir_all(own).unwrap();
}

#[test]
fn missing_or_malformed_file_is_named() {
    let own = folder("missing");
    let error = TlsCredentials::load(&own, "nobody")
        .unwrap_err()
        .to_string();
    assert!(error.contains("nobody.pem"), "{error}");
    fs::write(own.join("one.key"), "no key").unwrap();
    let error = TlsCredentials::load(&own, "one").unwrap_err().to_string();
    assert!(error.contains("one.key"), "{error}");
    let error = credentials::create_authority(&own).unwrap_err().to_string();
    assert!(error.contains("there already"), "{error}");
    fs::remove_dir_all(own).unwrap();
}
