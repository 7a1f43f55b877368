//! A request that has timed out takes no more of the link.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use base::Span;
use fleet::Node;
use fleet::PeerRequest;
use fleet::PeerResponse;
use fleet::Service;
use fleet::TlsCredentials;
use fleet::mesh::MeshRequest;
use fleet::node::BoxFuture;
use futures_lite::future;
use host::Pool;

const BODY_BYTES: usize = 250_000;

/// Bytes a second that the relay carries to the server.
const RATE: u32 = 250_000;

fn bind(pool: &Pool) -> Node {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let keys = TlsCredentials::ephemeral().unwrap();
    let service = Service {
        on_request: Arc::new(|_, _| {
            Box::pin(future::ready(PeerResponse::Done)) as BoxFuture<PeerResponse>
        }),
        on_stream: Arc::new(|_, _| Box::pin(future::ready(())) as BoxFuture<()>),
    };
    Node::bind(pool, address, &keys, service, 16).unwrap()
}

/// Carries datagrams between one client and `server`; returns its address and the number of
/// bytes that it has carried to the server.
fn relay(server: SocketAddr) -> (SocketAddr, Arc<AtomicUsize>) {
    let front = UdpSocket::bind("127.0.0.1:0").unwrap();
    let back = UdpSocket::bind("127.0.0.1:0").unwrap();
    back.connect(server).unwrap();
    let address = front.local_addr().unwrap();
    let carried = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&carried);
    let (sender, receiver) = (front.try_clone().unwrap(), back.try_clone().unwrap());
    thread::spawn(move || {
        let mut bytes = [0; 2_048];
        let mut answers = None;
        while let Ok((length, client)) = front.recv_from(&mut bytes) {
            if answers.replace(client).is_none() {
                let (sender, receiver) = (sender.try_clone(), receiver.try_clone());
                let (sender, receiver) = (sender.unwrap(), receiver.unwrap());
                thread::spawn(move || {
                    let mut bytes = [0; 2_048];
                    while let Ok(length) = receiver.recv(&mut bytes) {
                        let _ = sender.send_to(&bytes[..length], client);
                    }
                });
            }
            thread::sleep(Duration::from_secs(1) * u32::try_from(length).unwrap() / RATE);
            counter.fetch_add(length, Ordering::Relaxed);
            let _ = back.send(&bytes[..length]);
        }
    });
    (address, carried)
}

/// Without a reset, what a request has written before its timeout is still sent, beside the
/// next try: each try makes the next one slower.
#[test]
fn tries_that_have_timed_out_are_not_sent_to_their_end() {
    let pool = Pool::start(2);
    let server = bind(&pool);
    let client = bind(&pool);
    let (address, carried) = relay(server.address());
    future::block_on(async {
        let status = client.request(address, PeerRequest::Status, Span::secs(5));
        assert_eq!(status.await.unwrap(), PeerResponse::Done);
        for _ in 0..6 {
            let body = MeshRequest::Submit(1, vec![7; BODY_BYTES]);
            let request = PeerRequest::Mesh(body);
            let answer = client.request(address, request, Span::millis(200));
            assert!(answer.await.is_err());
        }
    });
    let at_end = carried.load(Ordering::Relaxed);
    thread::sleep(Duration::from_secs(6));
    let later = carried.load(Ordering::Relaxed) - at_end;
    assert!(
        later < 2 * BODY_BYTES,
        "{at_end} bytes until the last timeout, {later} bytes after it"
    );
}
