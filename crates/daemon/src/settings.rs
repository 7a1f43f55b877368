//! The settings of a process, read from a YAML file and checked.

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

/// Largest number of worker threads of a process.
const MAX_THREADS: u64 = 256;

/// A keeper that a process can reach.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperPeer {
    /// The keeper's number.
    pub id: KeeperId,
    /// The address at which it receives messages.
    pub address: SocketAddr,
    /// The keeper's failure domain.
    pub domain: String,
}

/// The settings of the entry role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// The address at which callers are served.
    pub caller_address: SocketAddr,
}

/// The kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointKind {
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
    /// The endpoint's address.
    pub endpoint_address: SocketAddr,
    /// The kind of endpoint.
    pub kind: EndpointKind,
    /// Longest time without data from the endpoint within a response, in milliseconds.
    pub stall_ms: u64,
}

/// The settings of the keeper role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeeperSettings {
    /// The keeper's number.
    pub id: KeeperId,
    /// The data folder.
    pub data_folder: PathBuf,
    /// The address at which operators are served.
    pub operator_address: SocketAddr,
    /// Whether the keeper is a founding member of a new group.
    pub forms_group: bool,
    /// The operators that may use the HTTP interface, by name.
    pub identities: BTreeMap<String, Identity>,
}

/// The settings of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The process's name, unique in the deployment.
    pub name: String,
    /// The failure domain.
    pub domain: String,
    /// The address at which other processes reach this one.
    pub listen_address: SocketAddr,
    /// The folder of the certificates and keys.
    pub keys_folder: PathBuf,
    /// Number of worker threads of the pool.
    pub threads: usize,
    /// The log level.
    pub log_level: String,
    /// The address at which the platform reads health and metrics.
    pub platform_address: Option<SocketAddr>,
    /// The keepers.
    pub keepers: Vec<KeeperPeer>,
    /// The settings of the entry role, if the process has it.
    pub entry: Option<EntrySettings>,
    /// The settings of the agent role, if the process has it.
    pub agent: Option<AgentSettings>,
    /// The settings of the keeper role, if the process has it.
    pub keeper: Option<KeeperSettings>,
}

/// An error of a settings file.
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
    #[error("{}: {} faults:{}", path.display(), faults.len(), fault_lines(faults))]
    Faults {
        /// The file.
        path: PathBuf,
        /// Every fault.
        faults: Vec<Fault>,
    },
}

fn fault_lines(faults: &[Fault]) -> String {
    let mut text = String::new();
    for fault in faults {
        text.push_str("\n  ");
        text.push_str(&fault.to_string());
    }
    text
}

fn read_path(reader: &mut ValueReader, object: &Object<'_>, field: &str, folder: &Path) -> PathBuf {
    let text = reader.string(object, field, None);
    folder.join(text)
}

fn read_address(reader: &mut ValueReader, object: &Object<'_>, field: &str) -> SocketAddr {
    let text = reader.string(object, field, None);
    parse_address(reader, &join_path(&object.path, field), &text)
}

fn parse_address(reader: &mut ValueReader, path: &str, text: &str) -> SocketAddr {
    text.parse().unwrap_or_else(|_| {
        if !text.is_empty() {
            reader.add_fault(path, FaultKind::WrongType(ValueType::SocketAddress));
        }
        SocketAddr::from(([0, 0, 0, 0], 0))
    })
}

fn read_keeper_id(reader: &mut ValueReader, object: &Object<'_>) -> KeeperId {
    let number = reader.number_u32(object, "number", None);
    if number == 0 {
        let reason = FaultKind::OutOfRange {
            min: 1,
            max: u64::from(u32::MAX),
        };
        reader.add_fault(&join_path(&object.path, "number"), reason);
    }
    KeeperId(number)
}

fn read_keepers(reader: &mut ValueReader, object: &Object<'_>) -> Vec<KeeperPeer> {
    let Some(value) = object.members.get("keepers") else {
        reader.add_fault("keepers", FaultKind::Missing);
        return Vec::new();
    };
    let Value::Sequence(items) = value else {
        reader.add_fault("keepers", FaultKind::WrongType(ValueType::List));
        return Vec::new();
    };
    let mut peers: Vec<KeeperPeer> = Vec::new();
    for (index, item) in items.iter().enumerate() {
        let path = format!("keepers[{index}]");
        let members = reader.object(&path, item, &["number", "address", "domain"]);
        let number = read_keeper_id(reader, &members);
        if peers.iter().any(|peer| peer.id == number) {
            let reason = FaultKind::DuplicateId(number.0.to_string());
            reader.add_fault(&join_path(&path, "number"), reason);
        }
        peers.push(KeeperPeer {
            id: number,
            address: read_address(reader, &members, "address"),
            domain: reader.string(&members, "domain", None),
        });
    }
    if peers.is_empty() {
        reader.add_fault("keepers", FaultKind::Missing);
    }
    peers
}

fn read_entry(reader: &mut ValueReader, value: &Value) -> EntrySettings {
    let members = reader.object("roles.entry", value, &["callers"]);
    EntrySettings {
        caller_address: read_address(reader, &members, "callers"),
    }
}

fn read_agent(reader: &mut ValueReader, value: &Value) -> AgentSettings {
    let fields = ["name", "endpoint", "kind", "stall_ms"];
    let members = reader.object("roles.agent", value, &fields);
    let kind = match reader.string(&members, "kind", Some("engine")).as_str() {
        "engine" => EndpointKind::Engine,
        "service" => EndpointKind::Service,
        _ => {
            reader.add_fault(
                "roles.agent.kind",
                FaultKind::WrongType(ValueType::EndpointKind),
            );
            EndpointKind::Engine
        }
    };
    AgentSettings {
        name: reader.string(&members, "name", None),
        endpoint_address: read_address(reader, &members, "endpoint"),
        kind,
        stall_ms: reader.number(&members, "stall_ms", Some(10_000)),
    }
}

fn read_keeper(reader: &mut ValueReader, value: &Value, folder: &Path) -> KeeperSettings {
    let fields = ["number", "data", "operators", "form", "identities"];
    let members = reader.object("roles.keeper", value, &fields);
    KeeperSettings {
        id: read_keeper_id(reader, &members),
        data_folder: read_path(reader, &members, "data", folder),
        operator_address: read_address(reader, &members, "operators"),
        forms_group: reader.boolean(&members, "form"),
        identities: reader.table(&members, "identities", read_identity),
    }
}

fn read_identity(reader: &mut ValueReader, path: &str, value: &Value) -> Identity {
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
    /// Reads and checks a file. Paths in it are relative to the file's folder.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read; otherwise with all faults in it, if there are any.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|source| SettingsError::File {
            path: path.to_owned(),
            source,
        })?;
        let folder = path.parent().unwrap_or(Path::new("."));
        Self::parse(&text, folder).map_err(|faults| SettingsError::Faults {
            path: path.to_owned(),
            faults,
        })
    }

    /// Parses and checks settings whose paths are relative to `folder`.
    ///
    /// # Errors
    ///
    /// Fails with all faults of the settings, if there are any.
    pub fn parse(text: &str, folder: &Path) -> Result<Self, Vec<Fault>> {
        let value: Value = serde_norway::from_str(text)
            .map_err(|error| vec![Fault::new("", FaultKind::Syntax(error.to_string()))])?;
        let mut reader = ValueReader::default();
        let fields = [
            "name", "domain", "listen", "keys", "threads", "log", "platform", "keepers", "roles",
        ];
        let root = reader.object("", &value, &fields);
        let none = Value::Null;
        let roles = root.members.get("roles").copied().unwrap_or(&none);
        let roles = reader.object("roles", roles, &["entry", "agent", "keeper"]);
        if roles.members.is_empty() {
            reader.add_fault("roles", FaultKind::Missing);
        }
        let platform = root.members.contains_key("platform");
        let threads = reader
            .number(&root, "threads", Some(2))
            .clamp(1, MAX_THREADS);
        let settings = Self {
            name: reader.string(&root, "name", None),
            domain: reader.string(&root, "domain", None),
            listen_address: read_address(&mut reader, &root, "listen"),
            keys_folder: read_path(&mut reader, &root, "keys", folder),
            threads: usize::try_from(threads).unwrap_or(1),
            log_level: reader.string(&root, "log", Some("info")),
            platform_address: platform.then(|| read_address(&mut reader, &root, "platform")),
            keepers: read_keepers(&mut reader, &root),
            entry: roles
                .members
                .get("entry")
                .map(|v| read_entry(&mut reader, v)),
            agent: roles
                .members
                .get("agent")
                .map(|v| read_agent(&mut reader, v)),
            keeper: roles
                .members
                .get("keeper")
                .map(|v| read_keeper(&mut reader, v, folder)),
        };
        let faults = reader.into_faults();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        }
    }
}
