//! A connection outlives answers that come late.

use std::net::SocketAddr;
use std::sync::Arc;

use base::Span;
use fleet::Node;
use fleet::PeerRequest;
use fleet::PeerResponse;
use fleet::Service;
use fleet::TlsCredentials;
use fleet::node::BoxFuture;
use futures_lite::future;
use host::Pool;

fn bind(pool: &Pool, service: Service) -> Node {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let keys = TlsCredentials::ephemeral().unwrap();
    Node::bind(pool, address, &keys, service, 16).unwrap()
}

/// Serves [`PeerRequest::Status`] at once, [`PeerRequest::History`] when `release` is closed
/// and nothing else.
fn service(release: async_channel::Receiver<()>) -> Service {
    Service {
        on_request: Arc::new(move |_, request| {
            let release = release.clone();
            Box::pin(async move {
                match request {
                    PeerRequest::Status => {}
                    PeerRequest::History => drop(release.recv().await),
                    _ => future::pending().await,
                }
                PeerResponse::Done
            }) as BoxFuture<PeerResponse>
        }),
        on_stream: Arc::new(|_, _| Box::pin(future::ready(())) as BoxFuture<()>),
    }
}

/// Before, each timeout closed the connection, and everything else on it was lost.
#[test]
fn a_request_that_times_out_breaks_no_other_on_its_connection() {
    let pool = Pool::start(2);
    let (gate, release) = async_channel::bounded(1);
    let server = bind(&pool, service(release));
    let client = bind(&pool, service(async_channel::bounded(1).1));
    let address = server.address();
    future::block_on(async {
        let status = client.request(address, PeerRequest::Status, Span::secs(5));
        assert_eq!(status.await.unwrap(), PeerResponse::Done);
        let waiting = client.request(address, PeerRequest::History, Span::secs(30));
        let others = async {
            for _ in 0..5 {
                let unanswered = PeerRequest::Cancel(base::RequestId(7));
                let answer = client.request(address, unanswered, Span::millis(100)).await;
                assert!(answer.is_err());
            }
            gate.close();
        };
        let (answer, ()) = future::zip(waiting, others).await;
        assert_eq!(answer.unwrap(), PeerResponse::Done);
    });
}

/// Before, a batch of entries that took longer than its timeout was dropped and sent again
/// from its first byte, on a link that could carry it.
#[test]
fn a_long_request_goes_on_while_its_peer_answers() {
    let pool = Pool::start(2);
    let (gate, release) = async_channel::bounded(1);
    let server = bind(&pool, service(release));
    let client = bind(&pool, service(async_channel::bounded(1).1));
    let address = server.address();
    future::block_on(async {
        let long = client.request_bulk(address, PeerRequest::History, Span::millis(100));
        let others = async {
            for _ in 0..20 {
                let status = client.request(address, PeerRequest::Status, Span::secs(5));
                assert_eq!(status.await.unwrap(), PeerResponse::Done);
                async_io::Timer::after(std::time::Duration::from_millis(20)).await;
            }
            gate.close();
        };
        let (answer, ()) = future::zip(long, others).await;
        assert_eq!(answer.unwrap(), PeerResponse::Done);
    });
}
