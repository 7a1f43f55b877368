//! The operator: sends configurations and reads them back, as the pages describe.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::random;
use crate::http;

/// Sends a configuration until it is acknowledged or `timeout` has passed; moves on to
/// another daemon, with increasing backoff, after each failure. Returns the time that it
/// took and the number of calls; `Err` holds the last failure.
pub fn submit(
    controls: &[SocketAddr],
    body: &str,
    timeout: Duration,
) -> Result<(Duration, u32), String> {
    let started = Instant::now();
    let mut last = String::new();
    let first = random() as usize;
    let mut backoff = Duration::from_millis(50);
    for call in 1.. {
        let address = controls[(first + call as usize) % controls.len()];
        let headers = "Host: control\r\nContent-Type: application/json\r\n";
        let sent = http::call(
            address,
            "POST",
            "/Config.Replace",
            headers,
            body.as_bytes(),
            Duration::from_secs(2),
        );
        match sent {
            Ok(answer) if answer.status == 200 => return Ok((started.elapsed(), call)),
            Ok(answer) => last = format!("{address} answered {}", answer.status),
            Err(error) => last = format!("{address}: {error}"),
        }
        if started.elapsed() > timeout {
            return Err(last);
        }
        thread::sleep(backoff);
        backoff = (backoff * 2).min(Duration::from_millis(800));
    }
    Err(last)
}

/// Reads the configuration at a daemon; returns the status and the version.
pub fn fetch(address: SocketAddr) -> (u16, Option<u64>) {
    let answer = http::call(
        address,
        "GET",
        "/Config.Fetch",
        "Host: control\r\n",
        b"",
        Duration::from_secs(2),
    );
    match answer {
        Ok(answer) => {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let version = text.split("\"version\":").nth(1);
            let digits = version.map(|rest| {
                rest.chars()
                    .skip_while(|c| c.is_whitespace())
                    .take_while(char::is_ascii_digit)
                    .collect::<String>()
            });
            (answer.status, digits.and_then(|digits| digits.parse().ok()))
        }
        Err(_) => (0, None),
    }
}
