//! The files of a site of several processes.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use base::Digest;
use eyre::Result;
use eyre::ensure;

use crate::site::MODEL;
use crate::site::SERVICE;
use crate::site::bearer;
use crate::site::document;

/// What a new site has.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Failure domains, each with a keeper and an entry.
    pub domains: u16,
    /// Model engines with their agents.
    pub engines: u16,
    /// Plain services with their agents.
    pub desks: u16,
    /// Teams.
    pub teams: u16,
    /// The first port; the site takes those that follow.
    pub port: u16,
}

/// A process of the site: its name and its settings.
struct File {
    name: String,
    text: String,
    command: String,
}

struct Ports {
    next: u16,
}

impl Ports {
    fn take(&mut self) -> u16 {
        self.next += 1;
        self.next - 1
    }
}

fn head(name: &str, domain: u16, port: u16, platform: u16, keepers: &str) -> String {
    format!(
        "name: {name}\ndomain: domain-{domain}\nlisten: 127.0.0.1:{port}\n\
         platform: 127.0.0.1:{platform}\nkeys: keys\nthreads: 2\nlog: info\n{keepers}"
    )
}

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

fn daemon_file(name: String, text: String) -> File {
    let command = format!("mulberryd {name}.yaml");
    File {
        name,
        text,
        command,
    }
}

fn files(plan: &Plan, digest: &str) -> Vec<File> {
    let mut ports = Ports { next: plan.port };
    let keeper_ports: Vec<u16> = (0..plan.domains).map(|_| ports.take()).collect();
    let keepers = keeper_list(&keeper_ports);
    let mut files = Vec::new();
    for domain in 0..plan.domains {
        let name = format!("keeper-{domain}");
        let own = keeper_ports[usize::from(domain)];
        let mut text = head(&name, domain, own, ports.take(), &keepers);
        let operators = ports.take();
        let number = domain + 1;
        text.push_str("roles:\n  keeper:\n");
        let role = format!(
            "    number: {number}\n    data: data/{name}\n    \
             operators: 127.0.0.1:{operators}\n    form: true\n    \
             identities: {{ operator: {{ role: editor, key: {digest} }} }}\n"
        );
        text.push_str(&role);
        files.push(daemon_file(name, text));
    }
    for domain in 0..plan.domains {
        let name = format!("entry-{domain}");
        let mut text = head(&name, domain, ports.take(), ports.take(), &keepers);
        let callers = ports.take();
        let role = format!("roles:\n  entry: {{ callers: \"127.0.0.1:{callers}\" }}\n");
        text.push_str(&role);
        files.push(daemon_file(name, text));
    }
    let kinds = [("engine", plan.engines), ("service", plan.desks)];
    for (kind, count) in kinds {
        for n in 0..count {
            let name = format!("{kind}-{n}");
            let domain = n % plan.domains;
            let agent = format!("agent-{name}");
            let mut text = head(&agent, domain, ports.take(), ports.take(), &keepers);
            let endpoint = ports.take();
            text.push_str("roles:\n  agent:\n");
            let role =
                format!("    name: {name}\n    kind: {kind}\n    endpoint: 127.0.0.1:{endpoint}\n");
            text.push_str(&role);
            files.push(daemon_file(agent, text));
            let serves = if kind == "engine" { MODEL } else { SERVICE };
            files.push(File {
                name: String::new(),
                text: String::new(),
                command: format!(
                    "mulberryctl stand-in {kind} --listen 127.0.0.1:{endpoint} --serves {serves}"
                ),
            });
        }
    }
    files
}

/// Writes the files of a site into `folder` and returns the commands that start it.
///
/// # Errors
///
/// Fails where the folder holds a site already or can't be written.
pub fn init(folder: &Path, plan: &Plan) -> Result<String> {
    ensure!(plan.domains > 0, "--domains must be at least 1");
    let keys = folder.join("keys");
    ensure!(!keys.exists(), "{} holds a site already", folder.display());
    fs::create_dir_all(&keys)?;
    fleet::credentials::create_authority(&keys)?;
    fleet::credentials::issue_certificate(&keys, "operator")?;
    let mut commands = String::new();
    let key = format!("{:032x}", fastrand::u128(..));
    let digest = Digest::of(key.as_bytes()).to_hex();
    for file in files(plan, &digest) {
        writeln!(commands, "{} &", file.command)?;
        if file.name.is_empty() {
            continue;
        }
        fleet::credentials::issue_certificate(&keys, &file.name)?;
        fs::write(folder.join(format!("{}.yaml", file.name)), file.text)?;
    }
    let first = document(usize::from(plan.teams), 1_000_000);
    fs::write(
        folder.join("document.json"),
        config::canonical::to_canonical_json(&first),
    )?;
    writeln!(
        commands,
        "mulberryctl submit --site keeper-0.yaml document.json"
    )?;
    writeln!(commands, "# the first team's key is {}", bearer(0))?;
    writeln!(commands, "# the operators' console takes the key {key}")?;
    Ok(commands)
}
