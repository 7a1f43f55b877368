//! The relay between processes limits, loses and delays datagrams as its links say.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::time::Duration;
use std::time::Instant;

use soak::link::LinkEnd;
use soak::link::LinkLimits;
use soak::link::Network;
use soak::plan::PeerLinkMode;
use soak::setup;

const DATAGRAM_BYTES: usize = 1_000;

const FAST: LinkLimits = LinkLimits {
    rate: 1_000_000_000,
    delay: Duration::ZERO,
    queue_bytes: 1 << 20,
};

/// Two processes with their sockets and links.
struct Pair {
    network: Network,
    sockets: [UdpSocket; 2],
    advertised: [SocketAddrV4; 2],
}

fn pair(limits: [LinkLimits; 2]) -> Pair {
    let port = setup::find_free_ports(2);
    let ip = |index: u8| Ipv4Addr::new(127, 0, 1, 1 + index);
    let bound = [0, 1].map(|index| SocketAddrV4::new(ip(index), port));
    let advertised = [0, 1].map(|index| SocketAddrV4::new(ip(index), port + 1));
    let ends = [0, 1].map(|index| LinkEnd {
        bound: bound[index],
        advertised: advertised[index],
        limits: limits[index],
    });
    let sockets = bound.map(|address| UdpSocket::bind(address).expect("the address is free"));
    for socket in &sockets {
        let timeout = Some(Duration::from_secs(10));
        socket.set_read_timeout(timeout).expect("a valid timeout");
    }
    Pair {
        network: Network::spawn(&ends).expect("the addresses are free"),
        sockets,
        advertised,
    }
}

impl Pair {
    fn send(&self, from: usize, text: u8) {
        let bytes = [text; DATAGRAM_BYTES];
        let to = self.advertised[1 - from];
        self.sockets[from].send_to(&bytes, to).expect("loopback");
    }

    /// Returns the next datagram's text and its sender.
    fn receive(&self, at: usize) -> (u8, std::net::SocketAddr) {
        let mut buffer = [0; 2 * DATAGRAM_BYTES];
        let (length, sender) = self.sockets[at].recv_from(&mut buffer).expect("a datagram");
        assert_eq!(length, DATAGRAM_BYTES);
        (buffer[0], sender)
    }
}

#[test]
fn a_response_comes_from_the_address_that_was_asked() {
    let pair = pair([FAST; 2]);
    pair.send(0, 7);
    let (text, sender) = pair.receive(1);
    assert_eq!(text, 7);
    let reply = [8; DATAGRAM_BYTES];
    pair.sockets[1].send_to(&reply, sender).expect("loopback");
    assert_eq!(pair.receive(0), (8, pair.advertised[1].into()));
    let total = pair.network.counts();
    let length = DATAGRAM_BYTES as u64;
    assert!(
        total
            .iter()
            .all(|link| link.sent == length && link.received == length)
    );
}

#[test]
fn a_link_passes_no_more_than_its_rate_and_keeps_the_order() {
    let slow = LinkLimits {
        rate: 100_000,
        ..FAST
    };
    for limits in [[slow, FAST], [FAST, slow]] {
        let pair = pair(limits);
        let start = Instant::now();
        for text in 0..20 {
            pair.send(0, text);
        }
        for text in 0..20 {
            assert_eq!(pair.receive(1).0, text);
        }
        assert!(start.elapsed() >= Duration::from_millis(200));
    }
}

#[test]
fn a_full_queue_loses_datagrams() {
    let short = LinkLimits {
        rate: 1_000,
        queue_bytes: 5 * DATAGRAM_BYTES as u64,
        ..FAST
    };
    let pair = pair([short, FAST]);
    for text in 0..20 {
        pair.send(0, text);
    }
    assert_eq!(pair.receive(1).0, 0);
    let counts = pair.network.counts()[0];
    let all = 20 * DATAGRAM_BYTES as u64;
    assert_eq!(counts.sent + counts.lost, all);
    assert!(counts.lost > 0);
}

#[test]
fn a_cut_or_silent_link_loses_what_it_should() {
    let pair = pair([FAST; 2]);
    pair.network.set_mode(0, PeerLinkMode::Silent);
    pair.send(0, 1);
    pair.send(1, 2);
    assert_eq!(pair.receive(0).0, 2, "a silent process still receives");
    pair.network.set_mode(0, PeerLinkMode::Cut);
    pair.send(1, 3);
    pair.send(0, 4);
    let length = DATAGRAM_BYTES as u64;
    while pair.network.counts()[0].lost < 3 * length {
        std::thread::sleep(Duration::from_millis(5));
    }
    pair.network.set_mode(0, PeerLinkMode::Open);
    pair.send(1, 5);
    pair.send(0, 6);
    assert_eq!(pair.receive(0).0, 5);
    assert_eq!(pair.receive(1).0, 6);
}
