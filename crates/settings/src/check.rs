//! Checks that find every fault, not only the first.

use std::{collections::BTreeSet, fmt, net::SocketAddr, path::PathBuf, time::Duration};

use model::{VmName, ZoneName};
use toml::de::{DeTable, DeValue};

use crate::raw::{PEER, SECRETS, TOP, WAITS};

/// Longest request body accepted by default, in bytes.
const MAX_BODY_BYTES: u64 = 1 << 20;
/// Shortest accepted key between VMs, in bytes.
const MIN_CLUSTER_KEY_BYTES: usize = 16;

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key, such as `peers[1].address`.
    pub key: String,
    /// The line, if the key is in the file.
    pub line: Option<usize>,
    /// What is wrong.
    pub why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "line {line}: {}: {}", self.key, self.why),
            None => write!(f, "{}: {}", self.key, self.why),
        }
    }
}

/// Another entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens for other entry VMs.
    pub address: SocketAddr,
}

/// Longest waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// For a request's head.
    pub header: Duration,
    /// For a connection to a backend server.
    pub connect: Duration,
    /// For the head of a backend server's answer.
    pub head: Duration,
    /// Between two pieces of an answer.
    pub idle: Duration,
    /// Deadline of a request that names none.
    pub deadline: Duration,
    /// For requests in flight when the process stops.
    pub stop: Duration,
}

/// Shared secrets.
#[derive(Clone, PartialEq, Eq)]
pub struct Secrets {
    /// Between entry VMs.
    pub cluster: String,
    /// Of operators.
    pub admin: String,
    /// Of backend servers that announce themselves.
    pub announce: String,
}

impl fmt::Debug for Secrets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secrets(..)")
    }
}

/// Checked settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// This entry VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators and backend servers connect.
    pub admin: SocketAddr,
    /// Where other entry VMs connect.
    pub peers_listen: SocketAddr,
    /// Data folder, on a VM with a disk.
    pub data: Option<PathBuf>,
    /// VMs that found the replicated log.
    pub founders: Vec<VmName>,
    /// Longest request body in bytes.
    pub max_body: usize,
    /// The other entry VMs.
    pub peers: Vec<Peer>,
    /// Longest waits.
    pub timeouts: Timeouts,
    /// Shared secrets.
    pub secrets: Secrets,
}

/// Reads and checks settings.
///
/// # Errors
///
/// Every fault found.
pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
    let table = table(text)?;
    let mut checker = Checker { text, faults: Vec::new() };
    let settings = checker.settings(&table);
    match settings {
        Some(settings) if checker.faults.is_empty() => Ok(settings),
        _ => Err(checker.faults),
    }
}

/// The table that a text holds.
pub(crate) fn table(text: &str) -> Result<DeTable<'_>, Vec<Fault>> {
    DeTable::parse(text).map(toml::Spanned::into_inner).map_err(|error| {
        let line = error.span().map(|s| line_of(text, s.start));
        let why = error.message().to_owned();
        vec![Fault { key: "(syntax)".into(), line, why }]
    })
}

fn line_of(text: &str, at: usize) -> usize {
    text.bytes().take(at).filter(|b| *b == b'\n').count() + 1
}

pub(crate) type Value<'a> = toml::Spanned<DeValue<'a>>;

pub(crate) struct Checker<'a> {
    pub(crate) text: &'a str,
    pub(crate) faults: Vec<Fault>,
}

impl Checker<'_> {
    pub(crate) fn fault(&mut self, key: &str, value: Option<&Value<'_>>, why: impl fmt::Display) {
        let line = value.map(|v| line_of(self.text, v.span().start));
        self.faults.push(Fault { key: key.to_owned(), line, why: why.to_string() });
    }

    fn settings(&mut self, table: &DeTable<'_>) -> Option<Settings> {
        self.known("", table, TOP);
        let vm = self.checked(table, "", "vm", |t| VmName::try_from(t));
        let zone = self.checked(table, "", "zone", |t| ZoneName::try_from(t));
        let callers = self.address(table, "", "callers");
        let admin = self.address(table, "", "admin");
        let peers_listen = self.address(table, "", "peers_listen");
        let data = self.optional_text(table, "", "data").map(PathBuf::from);
        let max_body = self.number(table, "", "max_body", MAX_BODY_BYTES);
        let peers = self.peers(table);
        let founders = self.founders(table, vm.as_ref(), &peers);
        let timeouts = self.timeouts(table);
        let secrets = self.secrets(table);
        self.distinct(vm.as_ref(), &peers);
        Some(Settings {
            vm: vm?,
            zone: zone?,
            callers: callers?,
            admin: admin?,
            peers_listen: peers_listen?,
            data,
            founders,
            max_body: usize::try_from(max_body).unwrap_or(usize::MAX),
            peers,
            timeouts,
            secrets: secrets?,
        })
    }

    pub(crate) fn known(&mut self, prefix: &str, table: &DeTable<'_>, keys: &[&str]) {
        for (key, value) in table {
            let name = key.get_ref();
            if !keys.contains(&name.as_ref()) {
                let path = join(prefix, name);
                let line = line_of(self.text, key.span().start);
                let _ = value;
                let why = "unknown key".to_owned();
                self.faults.push(Fault { key: path, line: Some(line), why });
            }
        }
    }

    pub(crate) fn text<'t>(
        &mut self,
        table: &'t DeTable<'_>,
        prefix: &str,
        key: &str,
    ) -> Option<&'t str> {
        let path = join(prefix, key);
        let Some(value) = table.get(key) else {
            self.fault(&path, None, "missing");
            return None;
        };
        let text = value.get_ref().as_str();
        if text.is_none() {
            self.fault(&path, Some(value), "must be a string");
        }
        text
    }

    pub(crate) fn optional_text(
        &mut self,
        table: &DeTable<'_>,
        prefix: &str,
        key: &str,
    ) -> Option<String> {
        table.get(key)?;
        self.text(table, prefix, key).map(ToOwned::to_owned)
    }

    pub(crate) fn checked<T, E: fmt::Display>(
        &mut self,
        table: &DeTable<'_>,
        prefix: &str,
        key: &str,
        check: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        let text = self.text(table, prefix, key)?;
        match check(text) {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(&join(prefix, key), table.get(key), error);
                None
            }
        }
    }

    pub(crate) fn address(
        &mut self,
        table: &DeTable<'_>,
        prefix: &str,
        key: &str,
    ) -> Option<SocketAddr> {
        let parse =
            |t: &str| t.parse().map_err(|_| format!("{t:?} is not an address like 127.0.0.1:8080"));
        self.checked(table, prefix, key, parse)
    }

    pub(crate) fn number(
        &mut self,
        table: &DeTable<'_>,
        prefix: &str,
        key: &str,
        default: u64,
    ) -> u64 {
        let Some(value) = table.get(key) else {
            return default;
        };
        let number = value.get_ref().as_integer();
        let number = number.and_then(|n| u64::from_str_radix(n.as_str(), n.radix()).ok());
        if let Some(number) = number.filter(|n| *n > 0) {
            return number;
        }
        self.fault(&join(prefix, key), Some(value), "must be a whole number above 0");
        default
    }

    fn peers(&mut self, table: &DeTable<'_>) -> Vec<Peer> {
        let Some(value) = table.get("peers") else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.fault("peers", Some(value), "must be tables [[peers]]");
            return Vec::new();
        };
        let mut peers = Vec::new();
        for (i, item) in items.iter().enumerate() {
            let prefix = format!("peers[{i}]");
            let Some(table) = item.get_ref().as_table() else {
                self.fault(&prefix, Some(item), "must be a table");
                continue;
            };
            self.known(&prefix, table, PEER);
            let vm = self.checked(table, &prefix, "vm", |t| VmName::try_from(t));
            let zone = self.checked(table, &prefix, "zone", |t| ZoneName::try_from(t));
            let address = self.address(table, &prefix, "address");
            if let (Some(vm), Some(zone), Some(address)) = (vm, zone, address) {
                peers.push(Peer { vm, zone, address });
            }
        }
        peers
    }

    fn founders(
        &mut self,
        table: &DeTable<'_>,
        me: Option<&VmName>,
        peers: &[Peer],
    ) -> Vec<VmName> {
        let Some(value) = table.get("founders") else {
            self.fault("founders", None, "missing");
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.fault("founders", Some(value), "must be a list of entry VMs");
            return Vec::new();
        };
        let mut founders: Vec<VmName> = Vec::new();
        for item in items {
            let name = VmName::try_from(item.get_ref().as_str().unwrap_or_default());
            match name {
                Err(error) => self.fault("founders", Some(item), error),
                Ok(vm) if founders.contains(&vm) => {
                    self.fault("founders", Some(item), format!("{vm} occurs twice"));
                }
                Ok(vm) if Some(&vm) != me && peers.iter().all(|p| p.vm != vm) => {
                    self.fault("founders", Some(item), format!("{vm} is not among the peers"));
                }
                Ok(vm) => founders.push(vm),
            }
        }
        if founders.len().is_multiple_of(2) {
            let why = "must be an odd number of entry VMs: an even one survives no more failures";
            self.fault("founders", Some(value), why);
        }
        founders
    }

    fn timeouts(&mut self, table: &DeTable<'_>) -> Timeouts {
        let empty = DeTable::new();
        let value = table.get("waits");
        let found = value.map(|v| v.get_ref().as_table());
        if matches!(found, Some(None)) {
            self.fault("waits", value, "must be a table [waits]");
        }
        let waits = found.flatten().unwrap_or(&empty);
        self.known("waits", waits, WAITS);
        let mut ms =
            |key, default| Duration::from_millis(self.number(waits, "waits", key, default));
        Timeouts {
            header: ms("header_ms", 10_000),
            connect: ms("connect_ms", 500),
            head: ms("head_ms", 60_000),
            idle: ms("idle_ms", 30_000),
            deadline: ms("deadline_ms", 30_000),
            stop: ms("stop_ms", 120_000),
        }
    }

    fn secrets(&mut self, table: &DeTable<'_>) -> Option<Secrets> {
        let Some(value) = table.get("secrets") else {
            self.fault("secrets", None, "missing");
            return None;
        };
        let Some(secrets) = value.get_ref().as_table() else {
            self.fault("secrets", Some(value), "must be a table [secrets]");
            return None;
        };
        self.known("secrets", secrets, SECRETS);
        let mut long = |key, min| {
            let check = |t: &str| {
                if t.len() < min {
                    Err(format!("must have at least {min} bytes"))
                } else {
                    Ok(t.to_owned())
                }
            };
            self.checked(secrets, "secrets", key, check)
        };
        let cluster = long("cluster", MIN_CLUSTER_KEY_BYTES);
        let admin = long("admin", 1);
        let announce = long("announce", 1);
        Some(Secrets { cluster: cluster?, admin: admin?, announce: announce? })
    }

    fn distinct(&mut self, me: Option<&VmName>, peers: &[Peer]) {
        let mut seen: BTreeSet<&VmName> = me.into_iter().collect();
        for peer in peers {
            if !seen.insert(&peer.vm) {
                self.fault("peers", None, format!("{} occurs twice", peer.vm));
            }
        }
    }
}

fn join(prefix: &str, key: &str) -> String {
    if prefix.is_empty() { key.to_owned() } else { format!("{prefix}.{key}") }
}
