//! Whole sessions of callers, kept as data: bytes in, bytes out, and the bill.
//!
//! A file holds requests that start with `>>>`, each followed by the answer that
//! must come, and a last line with the tokens billed. Lines end with a line feed in
//! the files and with both control characters on the wire. Headers are sorted and
//! `date` is left out.

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

const ROUNDS: u32 = 200;

/// Sends raw bytes and reads until the server closes.
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
    // The order of headers means nothing.
    lines[1..].sort_unstable();
    format!("{}\n\n{}\n", lines.join("\n"), body.trim_end())
}

async fn billed(site: &LocalSite, least: u64) -> u64 {
    let mut sum = 0;
    for _ in 0..ROUNDS {
        let status = site.status(0).await.unwrap();
        sum = status.balances.iter().map(|b| b.settled.0).sum();
        if sum >= least {
            break;
        }
        Timer::after(Duration::from_millis(50)).await;
    }
    // Nothing may be added later.
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
        desks: 1,
        teams: 2,
        domains: 1,
        ..Layout::default()
    };
    block_on(async {
        let site = LocalSite::start(pool, &folder, &layout).await.unwrap();
        let text = fs::read_to_string(path).unwrap();
        let (exchanges, bill) = text.rsplit_once("\nbilled ").unwrap();
        let bill: u64 = bill.trim().parse().unwrap();
        let mut found = String::new();
        for part in exchanges.split(">>>\n").skip(1) {
            let (request, _) = part.split_once("<<<\n").unwrap();
            found.push_str(">>>\n");
            found.push_str(request);
            found.push_str("<<<\n");
            found.push_str(&exchange(site.callers()[0], request));
        }
        let long = "x".repeat((4 << 20) + 1);
        let head = "POST /v1/chat/completions HTTP/1.1\nauthorization: Bearer local-key-0";
        let answer = exchange(site.callers()[0], &format!("{head}\n\n{long}"));
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
        let sum = billed(&site, bill).await;
        write!(found, "\nbilled {sum}\n").unwrap();
        if std::env::var_os("BLESS").is_some() {
            fs::write(path, &found).unwrap();
        }
        let start = text.find(">>>\n").unwrap();
        assert_eq!(found, text[start..], "{}", path.display());
        let entry = site.entries[0].entry.as_ref().unwrap();
        assert_eq!(
            (entry.open_answers(), entry.reservation_count()),
            (0, 0),
            "nothing is held"
        );
    });
}

#[test]
fn sessions_go_as_their_files_say() {
    let pool = Pool::start(4);
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/sessions");
    let mut count = 0;
    for item in fs::read_dir(folder).unwrap() {
        replay(&pool, &item.unwrap().path());
        count += 1;
    }
    assert!(count >= 3, "the files are there");
}
