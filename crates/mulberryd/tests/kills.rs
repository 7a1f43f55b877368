//! A site of real processes whose keepers are killed under load.

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
use mulberryctl::client::Ask;
use mulberryctl::client::Outcome;
use mulberryctl::init;
use mulberryctl::init::Plan;
use mulberryctl::operate::Operator;
use mulberryctl::site::MODEL;
use mulberryctl::site::SERVICE;
use mulberryctl::site::bearer;
use mulberryctl::site::team_name;
use standin::EngineProfile;
use standin::FakeEngine;
use standin::FakeService;
use standin::Faults;

const PLAN: Plan = Plan {
    domains: 3,
    engines: 2,
    desks: 1,
    teams: 2,
    port: 0,
};

/// Ports that a site of this plan takes.
const PORTS: u16 = 40;

/// Rounds of a wait that gives up, far beyond what it takes.
const ROUNDS: u32 = 900;

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn free_ports() -> u16 {
    loop {
        let base = fastrand::u16(20_000..60_000);
        let free = |port: u16| {
            let tcp = TcpListener::bind(loopback(port));
            let udp = UdpSocket::bind(loopback(port));
            tcp.is_ok() && udp.is_ok()
        };
        if (base..base + PORTS).all(free) {
            return base;
        }
    }
}

/// Processes of a site; all are killed at the end.
struct Processes {
    folder: PathBuf,
    running: BTreeMap<String, Child>,
}

impl Processes {
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

impl Drop for Processes {
    fn drop(&mut self) {
        for child in self.running.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

struct Site {
    processes: Processes,
    operator: Operator,
    callers: Vec<SocketAddr>,
    _engines: Vec<FakeEngine>,
    desk: FakeService,
}

async fn start(pool: &Pool, name: &str) -> Site {
    let unique = format!("mulberrytally-{name}-{}", std::process::id());
    let folder = std::env::temp_dir().join(unique);
    let _ = fs::remove_dir_all(&folder);
    let plan = Plan {
        port: free_ports(),
        ..PLAN
    };
    init::init(&folder, &plan).unwrap();
    let settings = |name: &str| Settings::load(&folder.join(format!("{name}.yaml"))).unwrap();
    let mut processes = Processes {
        folder: folder.clone(),
        running: BTreeMap::new(),
    };
    let mut engines = Vec::new();
    for n in 0..PLAN.engines {
        let agent = settings(&format!("agent-engine-{n}")).agent.unwrap();
        let pace = EngineProfile {
            token_time: Duration::from_millis(3),
            ..EngineProfile::default()
        };
        let engine = FakeEngine::spawn(
            pool,
            agent.endpoint_address,
            &[MODEL],
            pace,
            Faults::default(),
        );
        engines.push(engine.unwrap());
        processes.start(&format!("agent-engine-{n}"));
    }
    let agent = settings("agent-service-0").agent.unwrap();
    let desk = FakeService::spawn(
        pool,
        agent.endpoint_address,
        SERVICE,
        Duration::from_millis(2),
    )
    .unwrap();
    processes.start("agent-service-0");
    for n in 0..PLAN.domains {
        processes.start(&format!("keeper-{n}"));
        processes.start(&format!("entry-{n}"));
    }
    let entries = (0..PLAN.domains).map(|n| settings(&format!("entry-{n}")));
    let callers = entries.map(|s| s.entry.unwrap().caller_address).collect();
    let operator = Operator::open(pool, &folder.join("keeper-0.yaml"), "operator").unwrap();
    let site = Site {
        processes,
        operator,
        callers,
        _engines: engines,
        desk,
    };
    site.submit(&folder.join("document.json")).await;
    for n in 0..3 {
        site.answered(n, &format!("ready-{n}")).await;
    }
    site
}

impl Site {
    async fn submit(&self, path: &Path) {
        for _ in 0..ROUNDS {
            if self.operator.submit(path).await.is_ok() {
                return;
            }
            Timer::after(Duration::from_millis(100)).await;
        }
        panic!("the document is not accepted");
    }

    async fn top_up(&self, n: u32) {
        let team = team_name(1);
        for _ in 0..ROUNDS {
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

    async fn answered(&self, n: usize, key: &str) -> u64 {
        answered(self.callers[n % 3], n, key).await
    }

    async fn best(&self) -> Option<Status> {
        let views = self.operator.views().await;
        let views = views.into_iter().filter_map(|(_, view)| view);
        views.max_by_key(|status| status.applied)
    }
}

async fn answered(caller: SocketAddr, n: usize, key: &str) -> u64 {
    let prompt = format!("draft the note for shift {n}");
    let expected = standin::engine::expected_answer(&client::messages(&prompt), 30);
    for _ in 0..ROUNDS {
        let ask = Ask {
            entry: caller,
            bearer: &bearer(0),
            key: Some(key),
            model: MODEL,
            prompt: &prompt,
            cap: 30,
        };
        if let Outcome::Whole { text, tokens } = client::chat(&ask).await.outcome {
            assert_eq!(text, expected);
            return tokens;
        }
        Timer::after(Duration::from_millis(100)).await;
    }
    panic!("{key} is not answered");
}

async fn held(caller: SocketAddr, n: usize) {
    let body = format!("{{\"hold\":{n}}}");
    for _ in 0..ROUNDS {
        let key = format!("hold-{n}");
        let path = "/v1/services/desk/hold";
        let outcome = client::call(caller, &bearer(0), &key, path, &body).await;
        match outcome {
            Outcome::Whole { text, .. } => {
                assert!(text.contains("\"run\":1"), "{text}");
                return;
            }
            Outcome::NotRun(_) | Outcome::Unknown | Outcome::Broken => {}
        }
        Timer::after(Duration::from_millis(100)).await;
    }
    panic!("hold {n} has no outcome");
}

#[test]
fn keepers_are_killed_under_load_and_nothing_acknowledged_is_lost() {
    let pool = Pool::start(4);
    block_on(async {
        let mut site = start(&pool, "kills").await;
        let callers = Arc::new(site.callers.clone());
        let (results, done) = async_channel::unbounded();
        for worker in 0..6 {
            let callers = Arc::clone(&callers);
            let results = results.clone();
            pool.spawn(async move {
                for n in 0..20 {
                    let n = worker * 20 + n;
                    let key = format!("load-{n}");
                    let tokens = answered(callers[n % 3], n, &key).await;
                    let _ = results.send(tokens).await;
                    if n % 10 == 0 {
                        held(callers[n % 3], n).await;
                        let _ = results.send(1).await;
                    }
                    Timer::after(Duration::from_millis(40)).await;
                }
            });
        }
        drop(results);
        let mut top_ups = 0;
        for round in 0..6 {
            let victim = format!("keeper-{}", round % 3);
            site.processes.kill(&victim);
            for _ in 0..10 {
                site.top_up(top_ups).await;
                top_ups += 1;
            }
            site.processes.start(&victim);
            // A second one follows right after the first has come back.
            Timer::after(Duration::from_millis(700)).await;
        }
        let mut told = 0;
        while let Ok(tokens) = done.recv().await {
            told += tokens;
        }
        let ready: u64 = {
            let mut sum = 0;
            for n in 0..3 {
                sum += site.answered(n, &format!("ready-{n}")).await;
            }
            sum
        };
        let mut last = None;
        for _ in 0..ROUNDS {
            last = site.best().await;
            let settled = |s: &Status| s.balances.iter().map(|b| b.settled.0).sum::<u64>();
            if last.as_ref().map(settled) == Some(told + ready) {
                break;
            }
            Timer::after(Duration::from_millis(100)).await;
        }
        let status = last.expect("a keeper answers");
        let settled: u64 = status.balances.iter().map(|b| b.settled.0).sum();
        assert_eq!(settled, told + ready, "each request is billed once");
        let team = team_name(1);
        let balance = status.balances.iter().find(|b| b.team == team).unwrap();
        assert_eq!(balance.credits.0, 1_000_000 + 10 * u64::from(top_ups));
        assert_eq!(status.faults, 0);
        assert!(site.desk.max_run_count().0 <= 1, "a hold ran twice");
    });
}
