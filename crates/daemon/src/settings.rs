//! What a process learns from its file.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use base::Digest;
use base::KeeperId;
use config::Fault;
use config::FaultKind;
use config::check::ValueType;
use config::value::Object;
use config::value::ValueReader;
use config::value::join_path;
use operator::Role;
use operator::access::Identity;
use serde_norway::Value;
use thiserror::Error;

/// Most workers of a process.
const MAX_THREADS: u64 = 256;

/// A keeper that a process may ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The keeper's number.
    pub number: KeeperId,
    /// Where it takes messages.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
}

/// The settings of the entry role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Where callers are served.
    pub callers: SocketAddr,
}

/// The kinds of endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// The settings of the agent role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// The endpoint's name.
    pub name: String,
    /// Where the endpoint is.
    pub endpoint: SocketAddr,
    /// The kind of endpoint.
    pub kind: Kind,
    /// Longest silence of the endpoint within an answer, in milliseconds.
    pub stall_ms: u64,
}

/// The settings of the keeper role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperSettings {
    /// The keeper's number.
    pub number: KeeperId,
    /// The data folder.
    pub data: PathBuf,
    /// Where operators are served.
    pub operators: SocketAddr,
    /// Whether the keeper is one of those that form a new group.
    pub form: bool,
    /// Who may use the operators' interface.
    pub identities: BTreeMap<String, Identity>,
}

/// The settings of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The process's name, unique in the fleet.
    pub name: String,
    /// The failure domain.
    pub domain: String,
    /// Where other processes reach this one.
    pub listen: SocketAddr,
    /// The folder of keys.
    pub keys: PathBuf,
    /// Workers of the pool.
    pub threads: usize,
    /// The level of the log.
    pub log: String,
    /// Where the platform asks for health and metrics.
    pub platform: Option<SocketAddr>,
    /// The keepers.
    pub keepers: Vec<Peer>,
    /// The entry role.
    pub entry: Option<EntrySettings>,
    /// The agent role.
    pub agent: Option<AgentSettings>,
    /// The keeper role.
    pub keeper: Option<KeeperSettings>,
}

/// Why a file of settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The settings have faults.
    #[error("{}: {} faults:{}", path.display(), faults.len(), list(faults))]
    Faults {
        /// The file.
        path: PathBuf,
        /// Every fault.
        faults: Vec<Fault>,
    },
}

fn list(faults: &[Fault]) -> String {
    let mut out = String::new();
    for fault in faults {
        out.push_str("\n  ");
        out.push_str(&fault.to_string());
    }
    out
}

fn path_of(reader: &mut ValueReader, from: &Object<'_>, field: &str, folder: &Path) -> PathBuf {
    let text = reader.string(from, field, None);
    folder.join(text)
}

fn address(reader: &mut ValueReader, from: &Object<'_>, field: &str) -> SocketAddr {
    let text = reader.string(from, field, None);
    parse_address(reader, &join_path(&from.path, field), &text)
}

fn parse_address(reader: &mut ValueReader, path: &str, text: &str) -> SocketAddr {
    text.parse().unwrap_or_else(|_| {
        if !text.is_empty() {
            reader.add_fault(path, FaultKind::WrongType(ValueType::SocketAddress));
        }
        SocketAddr::from(([0, 0, 0, 0], 0))
    })
}

fn keeper_number(reader: &mut ValueReader, from: &Object<'_>) -> KeeperId {
    let number = reader.number_u32(from, "number", None);
    if number == 0 {
        let reason = FaultKind::OutOfRange {
            min: 1,
            max: u64::from(u32::MAX),
        };
        reader.add_fault(&join_path(&from.path, "number"), reason);
    }
    KeeperId(number)
}

fn peers(reader: &mut ValueReader, from: &Object<'_>) -> Vec<Peer> {
    let Some(value) = from.members.get("keepers") else {
        reader.add_fault("keepers", FaultKind::Missing);
        return Vec::new();
    };
    let Value::Sequence(items) = value else {
        reader.add_fault("keepers", FaultKind::WrongType(ValueType::List));
        return Vec::new();
    };
    let mut peers: Vec<Peer> = Vec::new();
    for (place, item) in items.iter().enumerate() {
        let path = format!("keepers[{place}]");
        let members = reader.object(&path, item, &["number", "address", "domain"]);
        let number = keeper_number(reader, &members);
        if peers.iter().any(|peer| peer.number == number) {
            let reason = FaultKind::DuplicateId(number.0.to_string());
            reader.add_fault(&join_path(&path, "number"), reason);
        }
        peers.push(Peer {
            number,
            address: address(reader, &members, "address"),
            domain: reader.string(&members, "domain", None),
        });
    }
    if peers.is_empty() {
        reader.add_fault("keepers", FaultKind::Missing);
    }
    peers
}

fn entry(reader: &mut ValueReader, value: &Value) -> EntrySettings {
    let members = reader.object("roles.entry", value, &["callers"]);
    EntrySettings {
        callers: address(reader, &members, "callers"),
    }
}

fn agent(reader: &mut ValueReader, value: &Value) -> AgentSettings {
    let known = ["name", "endpoint", "kind", "stall_ms"];
    let members = reader.object("roles.agent", value, &known);
    let kind = match reader.string(&members, "kind", Some("engine")).as_str() {
        "engine" => Kind::Engine,
        "service" => Kind::Service,
        _ => {
            reader.add_fault(
                "roles.agent.kind",
                FaultKind::WrongType(ValueType::EndpointKind),
            );
            Kind::Engine
        }
    };
    AgentSettings {
        name: reader.string(&members, "name", None),
        endpoint: address(reader, &members, "endpoint"),
        kind,
        stall_ms: reader.number(&members, "stall_ms", Some(10_000)),
    }
}

fn keeper(reader: &mut ValueReader, value: &Value, folder: &Path) -> KeeperSettings {
    let known = ["number", "data", "operators", "form", "identities"];
    let members = reader.object("roles.keeper", value, &known);
    KeeperSettings {
        number: keeper_number(reader, &members),
        data: path_of(reader, &members, "data", folder),
        operators: address(reader, &members, "operators"),
        form: reader.boolean(&members, "form"),
        identities: reader.table(&members, "identities", identity),
    }
}

fn identity(reader: &mut ValueReader, path: &str, value: &Value) -> Identity {
    let members = reader.object(path, value, &["key", "role"]);
    let role = match reader.string(&members, "role", Some("viewer")).as_str() {
        "viewer" => Role::Viewer,
        "editor" => Role::Editor,
        _ => {
            reader.add_fault(
                &join_path(path, "role"),
                FaultKind::WrongType(ValueType::OperatorRole),
            );
            Role::Viewer
        }
    };
    let text = reader.string(&members, "key", None);
    let key = blake3::Hash::from_hex(&text).map(|hash| Digest(*hash.as_bytes()));
    let key = key.unwrap_or_else(|_| {
        reader.add_fault(&join_path(path, "key"), FaultKind::InvalidKey);
        Digest([0; base::id::DIGEST_BYTES])
    });
    Identity { key, role }
}

impl Settings {
    /// Reads and checks a file. Paths in it are relative to its folder.
    ///
    /// # Errors
    ///
    /// Fails where the file can't be read, or with every fault in it.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|source| SettingsError::File {
            path: path.to_owned(),
            source,
        })?;
        let folder = path.parent().unwrap_or(Path::new("."));
        Self::read(&text, folder).map_err(|faults| SettingsError::Faults {
            path: path.to_owned(),
            faults,
        })
    }

    /// Reads and checks settings whose paths are relative to `folder`.
    ///
    /// # Errors
    ///
    /// Fails with every fault.
    pub fn read(text: &str, folder: &Path) -> Result<Self, Vec<Fault>> {
        let value: Value = serde_norway::from_str(text)
            .map_err(|error| vec![Fault::new("", FaultKind::Syntax(error.to_string()))])?;
        let mut reader = ValueReader::default();
        let known = [
            "name", "domain", "listen", "keys", "threads", "log", "platform", "keepers", "roles",
        ];
        let top = reader.object("", &value, &known);
        let none = Value::Null;
        let roles = top.members.get("roles").copied().unwrap_or(&none);
        let roles = reader.object("roles", roles, &["entry", "agent", "keeper"]);
        if roles.members.is_empty() {
            reader.add_fault("roles", FaultKind::Missing);
        }
        let platform = top.members.contains_key("platform");
        let threads = reader
            .number(&top, "threads", Some(2))
            .clamp(1, MAX_THREADS);
        let settings = Self {
            name: reader.string(&top, "name", None),
            domain: reader.string(&top, "domain", None),
            listen: address(&mut reader, &top, "listen"),
            keys: path_of(&mut reader, &top, "keys", folder),
            threads: usize::try_from(threads).unwrap_or(1),
            log: reader.string(&top, "log", Some("info")),
            platform: platform.then(|| address(&mut reader, &top, "platform")),
            keepers: peers(&mut reader, &top),
            entry: roles.members.get("entry").map(|v| entry(&mut reader, v)),
            agent: roles.members.get("agent").map(|v| agent(&mut reader, v)),
            keeper: roles
                .members
                .get("keeper")
                .map(|v| keeper(&mut reader, v, folder)),
        };
        let faults = reader.into_faults();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        }
    }
}
