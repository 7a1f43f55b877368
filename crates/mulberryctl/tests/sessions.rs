//! Replays recorded HTTP sessions of callers and compares the bytes of the answers and the
//! tokens billed.
//!
//! A file holds requests, each after a line `>>>`, and the expected answers, each after a
//! line `<<<`; its last line gives the tokens billed. Lines end with LF in the files and
//! with CRLF on the wire. The headers of answers are sorted, without `date`. With `BLESS`
//! set in the environment, the files are rewritten with the answers received.

use std::fmt::Write as _;
use std::fs;
use std::io::Read as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future::block_on;
use host::Pool;
use mulberryctl::site::Layout;
use mulberryctl::site::LocalSite;

/// Maximum polls of a wait.
const MAX_POLLS: u32 = 200;

/// Sends a request as raw bytes, reads until the server closes the connection and returns
/// the answer in the form of the files.
fn exchange(address: SocketAddr, request: &str) -> String {
    let (head, body) = request.split_once("\n\n").unwrap_or((request, ""));
    let body = body.trim_end();
    let mut wire = head.replace('\n', "\r\n");
    if !head.contains("content-length") {
        write!(wire, "\r\ncontent-length: {}", body.len()).unwrap();
    }
    wire.push_str("\r\nconnection: close\r\nhost: site\r\n\r\n");
    wire.push_str(body);
    let mut stream = TcpStream::connect(address).unwrap();
    std::io::Write::write_all(&mut stream, wire.as_bytes()).unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer).replace("\r\n", "\n");
    let (head, body) = answer.split_once("\n\n").unwrap_or((&answer, ""));
    let mut lines: Vec<&str> = head.lines().collect();
    lines.retain(|line| !line.starts_with("date:"));
    // The order of headers has no meaning.
    lines[1..].sort_unstable();
    format!("{}\n\n{}\n", lines.join("\n"), body.trim_end())
}

/// Waits until the ledger has billed at least `min_tokens`, checks that the sum stays and
/// returns it.
async fn wait_for_settlement(site: &LocalSite, min_tokens: u64) -> u64 {
    let mut sum = 0;
    for _ in 0..MAX_POLLS {
        let status = site.status(0).await.unwrap();
        sum = status.balances.iter().map(|b| b.settled.0).sum();
        if sum >= min_tokens {
            break;
        }
        Timer::after(Duration::from_millis(50)).await;
    }
    // Late receipts must not add to the sum.
    Timer::after(Duration::from_millis(300)).await;
    let status = site.status(0).await.unwrap();
    assert_eq!(
        sum,
        status.balances.iter().map(|b| b.settled.0).sum::<u64>()
    );
    sum
}

fn replay(pool: &Pool, path: &Path) {
    let name = path.file_stem().unwrap().to_str().unwrap();
    let folder = std::env::temp_dir().join(format!("session-{name}-{}", std::process::id()));
    let layout = Layout {
        engines: 1,
        services: 1,
        teams: 2,
        domains: 1,
        ..Layout::default()
    };
    block_on(async {
        let site = LocalSite::start(pool, &folder, &layout).await.unwrap();
        let text = fs::read_to_string(path).unwrap();
        let (exchanges, billed) = text.rsplit_once("\nbilled ").unwrap();
        let billed: u64 = billed.trim().parse().unwrap();
        let mut received = String::new();
        for part in exchanges.split(">>>\n").skip(1) {
            let (request, _) = part.split_once("<<<\n").unwrap();
            received.push_str(">>>\n");
            received.push_str(request);
            received.push_str("<<<\n");
            received.push_str(&exchange(site.entry_addresses()[0], request));
        }
        let oversized = "x".repeat((4 << 20) + 1);
        let head = "POST /v1/chat/completions HTTP/1.1\nauthorization: Bearer local-key-0";
        let answer = exchange(site.entry_addresses()[0], &format!("{head}\n\n{oversized}"));
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
        let sum = wait_for_settlement(&site, billed).await;
        write!(received, "\nbilled {sum}\n").unwrap();
        if std::env::var_os("BLESS").is_some() {
            fs::write(path, &received).unwrap();
        }
        let start = text.find(">>>\n").unwrap();
        assert_eq!(received, text[start..], "{}", path.display());
        let entry = site.entries[0].entry.as_ref().unwrap();
        assert_eq!(
            (entry.open_answers(), entry.reservation_count()),
            (0, 0),
            "no request is open and no reservation is left"
        );
    });
}

#[test]
fn recorded_sessions_replay_byte_for_byte() {
    let pool = Pool::start(4);
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/sessions");
    let mut count = 0;
    for item in fs::read_dir(folder).unwrap() {
        replay(&pool, &item.unwrap().path());
        count += 1;
    }
    assert!(count >= 3, "the session files are missing");
}
