//! Writes the settings, keys and initial document of a site of several processes.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use base::Digest;
use eyre::Result;
use eyre::ensure;

use crate::site::MODEL_NAME;
use crate::site::SERVICE_NAME;
use crate::site::bearer_key;
use crate::site::initial_document;

/// The size of a new site and the ports it uses.
#[derive(Clone, Copy, Debug)]
pub struct SitePlan {
    /// Number of failure domains, each with a keeper and an entry.
    pub domains: u16,
    /// Number of model engines, each with an agent.
    pub engines: u16,
    /// Number of plain services, each with an agent.
    pub services: u16,
    /// Number of teams.
    pub teams: u16,
    /// The first port; the site uses consecutive ports from it.
    pub first_port: u16,
}

/// A process of the site: its name, its settings and the command that starts it.
///
/// A fake engine or service has only a command; its name and settings are empty.
struct SiteProcess {
    name: String,
    settings: String,
    command: String,
}

/// Hands out consecutive ports.
struct PortAllocator {
    next_port: u16,
}

impl PortAllocator {
    fn allocate(&mut self) -> u16 {
        self.next_port += 1;
        self.next_port - 1
    }
}

/// Returns the settings that all roles have in common.
fn common_settings(name: &str, domain: u16, port: u16, platform: u16, keepers: &str) -> String {
    format!(
        "name: {name}\ndomain: domain-{domain}\nlisten: 127.0.0.1:{port}\n\
         platform: 127.0.0.1:{platform}\nkeys: keys\nthreads: 2\nlog: info\n{keepers}"
    )
}

/// Returns the list of keepers that every process has in its settings.
fn keeper_list(ports: &[u16]) -> String {
    let mut out = "keepers:\n".to_owned();
    for (domain, port) in ports.iter().enumerate() {
        let number = domain + 1;
        let line = format!(
            "  - {{ number: {number}, address: \"127.0.0.1:{port}\", domain: domain-{domain} }}\n"
        );
        out.push_str(&line);
    }
    out
}

fn daemon_process(name: String, settings: String) -> SiteProcess {
    let command = format!("mulberryd {name}.yaml");
    SiteProcess {
        name,
        settings,
        command,
    }
}

fn site_processes(plan: &SitePlan, digest: &str) -> Vec<SiteProcess> {
    let mut ports = PortAllocator {
        next_port: plan.first_port,
    };
    let keeper_ports: Vec<u16> = (0..plan.domains).map(|_| ports.allocate()).collect();
    let keepers = keeper_list(&keeper_ports);
    let mut processes = Vec::new();
    for domain in 0..plan.domains {
        let name = format!("keeper-{domain}");
        let keeper_port = keeper_ports[usize::from(domain)];
        let mut settings = common_settings(&name, domain, keeper_port, ports.allocate(), &keepers);
        let operators_port = ports.allocate();
        let number = domain + 1;
        settings.push_str("roles:\n  keeper:\n");
        let role_settings = format!(
            "    number: {number}\n    data: data/{name}\n    \
             operators: 127.0.0.1:{operators_port}\n    form: true\n    \
             identities: {{ operator: {{ role: editor, key: {digest} }} }}\n"
        );
        settings.push_str(&role_settings);
        processes.push(daemon_process(name, settings));
    }
    for domain in 0..plan.domains {
        let name = format!("entry-{domain}");
        let mut settings =
            common_settings(&name, domain, ports.allocate(), ports.allocate(), &keepers);
        let callers_port = ports.allocate();
        let role_settings =
            format!("roles:\n  entry: {{ callers: \"127.0.0.1:{callers_port}\" }}\n");
        settings.push_str(&role_settings);
        processes.push(daemon_process(name, settings));
    }
    let kinds = [("engine", plan.engines), ("service", plan.services)];
    for (kind, count) in kinds {
        for n in 0..count {
            let name = format!("{kind}-{n}");
            let domain = n % plan.domains;
            let agent = format!("agent-{name}");
            let mut settings =
                common_settings(&agent, domain, ports.allocate(), ports.allocate(), &keepers);
            let endpoint_port = ports.allocate();
            settings.push_str("roles:\n  agent:\n");
            let role_settings = format!(
                "    name: {name}\n    kind: {kind}\n    endpoint: 127.0.0.1:{endpoint_port}\n"
            );
            settings.push_str(&role_settings);
            processes.push(daemon_process(agent, settings));
            let serves = if kind == "engine" {
                MODEL_NAME
            } else {
                SERVICE_NAME
            };
            processes.push(SiteProcess {
                name: String::new(),
                settings: String::new(),
                command: format!(
                    "mulberryctl stand-in {kind} --listen 127.0.0.1:{endpoint_port} --serves {serves}"
                ),
            });
        }
    }
    processes
}

/// Writes the files of a site into `folder` and returns the shell commands that start
/// it, with the first team's key and the console's key as comments.
///
/// # Errors
///
/// Fails where the folder holds a site already or can't be written.
pub fn create_site(folder: &Path, plan: &SitePlan) -> Result<String> {
    ensure!(plan.domains > 0, "--domains must be at least 1");
    let keys = folder.join("keys");
    ensure!(!keys.exists(), "{} already holds a site", folder.display());
    fs::create_dir_all(&keys)?;
    fleet::credentials::create_authority(&keys)?;
    fleet::credentials::issue_certificate(&keys, "operator")?;
    let mut commands = String::new();
    let console_key = format!("{:032x}", fastrand::u128(..));
    let digest = Digest::of(console_key.as_bytes()).to_hex();
    for process in site_processes(plan, &digest) {
        writeln!(commands, "{} &", process.command)?;
        if process.name.is_empty() {
            continue;
        }
        fleet::credentials::issue_certificate(&keys, &process.name)?;
        fs::write(
            folder.join(format!("{}.yaml", process.name)),
            process.settings,
        )?;
    }
    let document = initial_document(usize::from(plan.teams), 1_000_000);
    fs::write(
        folder.join("document.json"),
        config::canonical::to_canonical_json(&document),
    )?;
    writeln!(
        commands,
        "mulberryctl submit --site keeper-0.yaml document.json"
    )?;
    writeln!(commands, "# the first team's key is {}", bearer_key(0))?;
    writeln!(
        commands,
        "# the operators' console takes the key {console_key}"
    )?;
    Ok(commands)
}
