//! Kills keepers of a site of real processes under load: acknowledged top-ups and bills must
//! survive.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use daemon::Settings;
use fleet::wire::Status;
use futures_lite::future::block_on;
use host::Pool;
use mulberryctl::client;
use mulberryctl::client::ChatRequest;
use mulberryctl::client::Outcome;
use mulberryctl::init;
use mulberryctl::init::SitePlan;
use mulberryctl::operate::OperatorClient;
use mulberryctl::site::MODEL_NAME;
use mulberryctl::site::SERVICE_NAME;
use mulberryctl::site::bearer_key;
use mulberryctl::site::team_name;
use standin::EngineProfile;
use standin::FakeEngine;
use standin::FakeService;
use standin::Faults;

const PLAN: SitePlan = SitePlan {
    domains: 3,
    engines: 2,
    services: 1,
    teams: 2,
    first_port: 0,
};

/// Upper bound on the ports that a site of this plan uses.
const MAX_PORTS: u16 = 40;

/// Maximum polls of a wait, far more than it needs.
const MAX_POLLS: u32 = 900;

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns the first of `MAX_PORTS` consecutive ports that are free for TCP and UDP.
fn find_free_ports() -> u16 {
    loop {
        let base = fastrand::u16(20_000..60_000);
        let free = |port: u16| {
            let tcp = TcpListener::bind(loopback(port));
            let udp = UdpSocket::bind(loopback(port));
            tcp.is_ok() && udp.is_ok()
        };
        if (base..base + MAX_PORTS).all(free) {
            return base;
        }
    }
}

/// The daemons of a site; dropping it kills them and removes their folder.
struct Daemons {
    folder: PathBuf,
    running: BTreeMap<String, Child>,
}

impl Daemons {
    fn start(&mut self, name: &str) {
        let child = Command::new(env!("CARGO_BIN_EXE_mulberryd"))
            .arg(self.folder.join(format!("{name}.yaml")))
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        self.running.insert(name.to_owned(), child);
    }

    fn kill(&mut self, name: &str) {
        let mut child = self.running.remove(name).unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        for child in self.running.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

struct Site {
    daemons: Daemons,
    operator: OperatorClient,
    entries: Vec<SocketAddr>,
    _engines: Vec<FakeEngine>,
    service: FakeService,
}

async fn start(pool: &Pool, name: &str) -> Site {
    let unique = format!("mulberrytally-{name}-{}", std::process::id());
    let folder = std::env::temp_dir().join(unique);
    let _ = fs::remove_dir_all(&folder);
    let plan = SitePlan {
        first_port: find_free_ports(),
        ..PLAN
    };
    init::create_site(&folder, &plan).unwrap();
    let settings = |name: &str| Settings::load(&folder.join(format!("{name}.yaml"))).unwrap();
    let mut daemons = Daemons {
        folder: folder.clone(),
        running: BTreeMap::new(),
    };
    let mut engines = Vec::new();
    for n in 0..PLAN.engines {
        let agent = settings(&format!("agent-engine-{n}")).agent.unwrap();
        let profile = EngineProfile {
            token_time: Duration::from_millis(3),
            ..EngineProfile::default()
        };
        let engine = FakeEngine::spawn(
            pool,
            agent.endpoint_address,
            &[MODEL_NAME],
            profile,
            Faults::default(),
        );
        engines.push(engine.unwrap());
        daemons.start(&format!("agent-engine-{n}"));
    }
    let agent = settings("agent-service-0").agent.unwrap();
    let service = FakeService::spawn(
        pool,
        agent.endpoint_address,
        SERVICE_NAME,
        Duration::from_millis(2),
    )
    .unwrap();
    daemons.start("agent-service-0");
    for n in 0..PLAN.domains {
        daemons.start(&format!("keeper-{n}"));
        daemons.start(&format!("entry-{n}"));
    }
    let entries = (0..PLAN.domains).map(|n| settings(&format!("entry-{n}")));
    let entries = entries.map(|s| s.entry.unwrap().caller_address).collect();
    let operator =
        OperatorClient::connect(pool, &folder.join("keeper-0.yaml"), "operator").unwrap();
    let site = Site {
        daemons,
        operator,
        entries,
        _engines: engines,
        service,
    };
    site.submit(&folder.join("document.json")).await;
    for n in 0..3 {
        site.chat(n, &format!("ready-{n}")).await;
    }
    site
}

impl Site {
    async fn submit(&self, path: &Path) {
        for _ in 0..MAX_POLLS {
            if self.operator.submit(path).await.is_ok() {
                return;
            }
            Timer::after(Duration::from_millis(100)).await;
        }
        panic!("the document is not accepted");
    }

    async fn top_up(&self, n: u32) {
        let team = team_name(1);
        for _ in 0..MAX_POLLS {
            if self
                .operator
                .top_up(&format!("ledger/t-{n}"), &team, 10)
                .await
                .is_ok()
            {
                return;
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        panic!("top-up {n} is not accepted");
    }

    async fn chat(&self, n: usize, key: &str) -> u64 {
        retry_until_completed(self.entries[n % 3], n, key).await
    }

    /// Returns the status of the keeper that has applied the most log entries.
    async fn latest_status(&self) -> Option<Status> {
        let statuses = self.operator.keeper_statuses().await;
        let statuses = statuses.into_iter().filter_map(|(_, status)| status);
        statuses.max_by_key(|status| status.applied)
    }
}

/// Retries a chat with the same idempotency key until it is answered; returns the tokens
/// billed.
async fn retry_until_completed(entry: SocketAddr, n: usize, key: &str) -> u64 {
    let prompt = format!("draft the note for shift {n}");
    let expected = standin::engine::expected_answer(&client::messages(&prompt), 30);
    for _ in 0..MAX_POLLS {
        let request = ChatRequest {
            entry,
            bearer_key: &bearer_key(0),
            idempotency_key: Some(key),
            model: MODEL_NAME,
            prompt: &prompt,
            max_tokens: 30,
        };
        if let Outcome::Completed { text, tokens } = client::run_chat(&request).await.outcome {
            assert_eq!(text, expected);
            return tokens;
        }
        Timer::after(Duration::from_millis(100)).await;
    }
    panic!("{key} is not answered");
}

/// Retries a non-repeatable call with the same idempotency key until it is answered, and
/// checks that it ran once.
async fn call_until_completed(entry: SocketAddr, n: usize) {
    let body = format!("{{\"hold\":{n}}}");
    for _ in 0..MAX_POLLS {
        let key = format!("hold-{n}");
        let path = "/v1/services/desk/hold";
        let outcome = client::call_service(entry, &bearer_key(0), &key, path, &body).await;
        match outcome {
            Outcome::Completed { text, .. } => {
                assert!(text.contains("\"run\":1"), "{text}");
                return;
            }
            Outcome::NotRun(_) | Outcome::Unknown | Outcome::Failed => {}
        }
        Timer::after(Duration::from_millis(100)).await;
    }
    panic!("call {n} is not answered");
}

#[test]
fn keeper_kills_under_load_lose_no_acknowledged_top_up_or_bill() {
    let pool = Pool::start(4);
    block_on(async {
        let mut site = start(&pool, "kills").await;
        let entries = Arc::new(site.entries.clone());
        let (results, received) = async_channel::unbounded();
        for worker in 0..6 {
            let entries = Arc::clone(&entries);
            let results = results.clone();
            pool.spawn(async move {
                for n in 0..20 {
                    let n = worker * 20 + n;
                    let key = format!("load-{n}");
                    let tokens = retry_until_completed(entries[n % 3], n, &key).await;
                    let _ = results.send(tokens).await;
                    if n % 10 == 0 {
                        call_until_completed(entries[n % 3], n).await;
                        let _ = results.send(1).await;
                    }
                    Timer::after(Duration::from_millis(40)).await;
                }
            });
        }
        drop(results);
        let mut top_ups = 0;
        for round in 0..6 {
            let keeper = format!("keeper-{}", round % 3);
            site.daemons.kill(&keeper);
            for _ in 0..10 {
                site.top_up(top_ups).await;
                top_ups += 1;
            }
            site.daemons.start(&keeper);
            // The next keeper is killed shortly after this one has restarted.
            Timer::after(Duration::from_millis(700)).await;
        }
        let mut load_tokens = 0;
        while let Ok(tokens) = received.recv().await {
            load_tokens += tokens;
        }
        let ready_tokens: u64 = {
            let mut sum = 0;
            for n in 0..3 {
                sum += site.chat(n, &format!("ready-{n}")).await;
            }
            sum
        };
        let mut last = None;
        for _ in 0..MAX_POLLS {
            last = site.latest_status().await;
            let settled = |s: &Status| s.balances.iter().map(|b| b.settled.0).sum::<u64>();
            if last.as_ref().map(settled) == Some(load_tokens + ready_tokens) {
                break;
            }
            Timer::after(Duration::from_millis(100)).await;
        }
        let status = last.expect("a keeper answers");
        let settled: u64 = status.balances.iter().map(|b| b.settled.0).sum();
        assert_eq!(
            settled,
            load_tokens + ready_tokens,
            "each request is billed once"
        );
        let team = team_name(1);
        let balance = status.balances.iter().find(|b| b.team == team).unwrap();
        assert_eq!(balance.credits.0, 1_000_000 + 10 * u64::from(top_ups));
        assert_eq!(status.faults, 0);
        assert!(site.service.max_run_count().0 <= 1, "a call ran twice");
    });
}
