//! The settings of a standalone VM, and the validation of settings files.
//!
//! Validation goes on after a fault, so that it reports all faults of a file and not only the
//! first. The [`Checker`] is also used for the settings of VMs with a role.

use std::{collections::BTreeSet, fmt, net::SocketAddr, path::PathBuf, time::Duration};

use model::{VmName, ZoneName};
use toml::de::{DeTable, DeValue};

use crate::keys::{PEER_KEYS, SECRET_KEYS, TIMEOUT_KEYS, TOP_KEYS};

/// Default of `max_body`, in bytes.
const DEFAULT_MAX_BODY: f64 = 1_048_576.0;
/// Longest time that a setting may set, in seconds. Longer ones are cut to it, so that adding them to
/// a point in time does not overflow.
pub(crate) const MAX_SECONDS: f64 = 1e9;
/// Minimum length of the secret shared by entry VMs, in bytes.
const MIN_CLUSTER_SECRET: usize = 16;

/// A fault found in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the key, such as `peers[1].address`, or `(syntax)` if the file is not valid TOML.
    pub key: String,
    /// Line number, starting at 1, or `None` if the fault has no single place in the file, as with
    /// a missing key.
    pub line: Option<usize>,
    /// Message that says what is wrong.
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

/// Another entry VM, as listed under `[[peers]]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the VM.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Address on which it listens for other entry VMs, its `peers_listen`.
    pub address: SocketAddr,
}

/// Timeouts, set in the `[waits]` table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Time for a caller to send the head of a request (`header_ms`).
    pub header: Duration,
    /// Time to connect to a backend server (`connect_ms`).
    pub connect: Duration,
    /// Time from sending a request to the head of the backend server's answer (`head_ms`).
    pub head: Duration,
    /// Time between two parts of a backend server's answer (`idle_ms`). It also limits how long the
    /// body of a request may take to arrive.
    pub idle: Duration,
    /// Deadline of a request that specifies none (`deadline_ms`).
    pub deadline: Duration,
    /// Time for requests in flight to finish when the process stops (`stop_ms`).
    pub stop: Duration,
}

/// Shared secrets, set in the `[secrets]` table. The `Debug` output hides them.
#[derive(Clone, PartialEq, Eq)]
pub struct Secrets {
    /// Secret that authenticates entry VMs to each other, at least 16 bytes.
    pub cluster: String,
    /// Secret that operators send with their requests, not empty.
    pub admin: String,
    /// Secret that backend servers send with their announcements, not empty.
    pub announce: String,
}

impl fmt::Debug for Secrets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secrets(..)")
    }
}

/// The valid settings of a standalone VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this entry VM.
    pub vm: VmName,
    /// Availability zone of this VM.
    pub zone: ZoneName,
    /// Address on which the VM listens for callers.
    pub callers: SocketAddr,
    /// Address on which the VM listens for operators and backend servers.
    pub admin: SocketAddr,
    /// Address on which the VM listens for other entry VMs.
    pub peers_listen: SocketAddr,
    /// Data folder, or `None` on a VM without a disk.
    pub data: Option<PathBuf>,
    /// VMs that create the replicated log, an odd number.
    pub founders: Vec<VmName>,
    /// Maximum length of a request body in bytes. A fraction is rounded down.
    pub max_body: usize,
    /// The other entry VMs.
    pub peers: Vec<Peer>,
    /// Timeouts of requests and connections.
    pub timeouts: Timeouts,
    /// Secrets shared with the other VMs, operators and backend servers.
    pub secrets: Secrets,
}

/// Parses and validates the settings of a standalone VM.
///
/// # Errors
///
/// Returns all faults found, at least one.
pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
    let table = parse_toml(text)?;
    let mut checker = Checker { text, faults: Vec::new() };
    let settings = checker.settings(&table);
    match settings {
        Some(settings) if checker.faults.is_empty() => Ok(settings),
        _ => Err(checker.faults),
    }
}

/// Parses TOML without validating any key. Invalid syntax is returned as the only fault.
pub(crate) fn parse_toml(text: &str) -> Result<DeTable<'_>, Vec<Fault>> {
    DeTable::parse(text).map(toml::Spanned::into_inner).map_err(|error| {
        let line = error.span().map(|s| line_at(text, s.start));
        let why = error.message().to_owned();
        vec![Fault { key: "(syntax)".into(), line, why }]
    })
}

fn line_at(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|b| *b == b'\n').count() + 1
}

pub(crate) type Value<'a> = toml::Spanned<DeValue<'a>>;

/// Validates the values of a settings file and collects the faults found.
///
/// In its methods, `prefix` is the path of the table that contains the key, empty for the top
/// level.
pub(crate) struct Checker<'a> {
    pub(crate) text: &'a str,
    pub(crate) faults: Vec<Fault>,
}

impl Checker<'_> {
    /// Adds a fault. Its line is that of `value`, if there is one.
    pub(crate) fn fault(&mut self, key: &str, value: Option<&Value<'_>>, why: impl fmt::Display) {
        let line = value.map(|v| line_at(self.text, v.span().start));
        self.faults.push(Fault { key: key.to_owned(), line, why: why.to_string() });
    }

    fn settings(&mut self, table: &DeTable<'_>) -> Option<Settings> {
        self.reject_unknown("", table, TOP_KEYS);
        let vm = self.parsed(table, "", "vm", |t| VmName::try_from(t));
        let zone = self.parsed(table, "", "zone", |t| ZoneName::try_from(t));
        let callers = self.address(table, "", "callers");
        let admin = self.address(table, "", "admin");
        let peers_listen = self.address(table, "", "peers_listen");
        let data = self.optional_text(table, "", "data").map(PathBuf::from);
        let max_body = self.positive(table, "", "max_body", DEFAULT_MAX_BODY);
        let peers = self.peers(table);
        let founders = self.founders(table, vm.as_ref(), &peers);
        let timeouts = self.timeouts(table);
        let secrets = self.secrets(table);
        self.check_unique(vm.as_ref(), &peers);
        Some(Settings {
            vm: vm?,
            zone: zone?,
            callers: callers?,
            admin: admin?,
            peers_listen: peers_listen?,
            data,
            founders,
            max_body: usize::try_from(floor(max_body)).unwrap_or(usize::MAX),
            peers,
            timeouts,
            secrets: secrets?,
        })
    }

    /// Adds a fault for each key of a table that is not in `known_keys`.
    pub(crate) fn reject_unknown(
        &mut self,
        prefix: &str,
        table: &DeTable<'_>,
        known_keys: &[&str],
    ) {
        for (key, value) in table {
            let name = key.get_ref();
            if !known_keys.contains(&name.as_ref()) {
                let path = join(prefix, name);
                let line = line_at(self.text, key.span().start);
                let _ = value;
                let why = "unknown key".to_owned();
                self.faults.push(Fault { key: path, line: Some(line), why });
            }
        }
    }

    /// Returns a string, or adds a fault if the key is missing or its value is not a string.
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

    /// Returns a string, or `None` if the key is missing.
    pub(crate) fn optional_text(
        &mut self,
        table: &DeTable<'_>,
        prefix: &str,
        key: &str,
    ) -> Option<String> {
        table.get(key)?;
        self.text(table, prefix, key).map(ToOwned::to_owned)
    }

    /// Returns a string converted by `parse`, or adds a fault with the error of the conversion.
    pub(crate) fn parsed<T, E: fmt::Display>(
        &mut self,
        table: &DeTable<'_>,
        prefix: &str,
        key: &str,
        parse: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        let text = self.text(table, prefix, key)?;
        match parse(text) {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(&join(prefix, key), table.get(key), error);
                None
            }
        }
    }

    /// Returns an IP address with a port.
    pub(crate) fn address(
        &mut self,
        table: &DeTable<'_>,
        prefix: &str,
        key: &str,
    ) -> Option<SocketAddr> {
        let parse =
            |t: &str| t.parse().map_err(|_| format!("{t:?} is not an address like 127.0.0.1:8080"));
        self.parsed(table, prefix, key, parse)
    }

    /// Returns a number above 0, or `default` if the key is missing. Adds a fault for any other
    /// value.
    pub(crate) fn positive(
        &mut self,
        table: &DeTable<'_>,
        prefix: &str,
        key: &str,
        default: f64,
    ) -> f64 {
        self.amount(table, (prefix, key), default, ("above 0", |n| n > 0.0))
    }

    /// Returns a number of 0 or more, or `default` if the key is missing. Adds a fault for any other
    /// value.
    pub(crate) fn non_negative(
        &mut self,
        table: &DeTable<'_>,
        prefix: &str,
        key: &str,
        default: f64,
    ) -> f64 {
        self.amount(table, (prefix, key), default, ("of 0 or more", |n| n >= 0.0))
    }

    /// Returns an integer or a float in the range that `accepts` checks and its text describes.
    fn amount(
        &mut self,
        table: &DeTable<'_>,
        (prefix, key): (&str, &str),
        default: f64,
        (range, accepts): (&str, fn(f64) -> bool),
    ) -> f64 {
        let Some(value) = table.get(key) else {
            return default;
        };
        if let Some(number) = number_of(value).filter(|n| n.is_finite() && accepts(*n)) {
            return number;
        }
        let why = format!("{} is not a number {range}", self.source(value));
        self.fault(&join(prefix, key), Some(value), why);
        default
    }

    /// Returns the text of a value as the file has it.
    pub(crate) fn source(&self, value: &Value<'_>) -> &str {
        self.text.get(value.span()).unwrap_or_default()
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
            self.reject_unknown(&prefix, table, PEER_KEYS);
            let vm = self.parsed(table, &prefix, "vm", |t| VmName::try_from(t));
            let zone = self.parsed(table, &prefix, "zone", |t| ZoneName::try_from(t));
            let address = self.address(table, &prefix, "address");
            if let (Some(vm), Some(zone), Some(address)) = (vm, zone, address) {
                peers.push(Peer { vm, zone, address });
            }
        }
        peers
    }

    /// Returns the founders that are this VM or a peer; the others are faults.
    fn founders(
        &mut self,
        table: &DeTable<'_>,
        own: Option<&VmName>,
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
                Ok(vm) if Some(&vm) != own && peers.iter().all(|p| p.vm != vm) => {
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
        let timeouts = found.flatten().unwrap_or(&empty);
        self.reject_unknown("waits", timeouts, TIMEOUT_KEYS);
        let mut ms =
            |key, default| duration(self.positive(timeouts, "waits", key, default) / 1_000.0);
        Timeouts {
            header: ms("header_ms", 10_000.0),
            connect: ms("connect_ms", 500.0),
            head: ms("head_ms", 60_000.0),
            idle: ms("idle_ms", 30_000.0),
            deadline: ms("deadline_ms", 30_000.0),
            stop: ms("stop_ms", 120_000.0),
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
        self.reject_unknown("secrets", secrets, SECRET_KEYS);
        let mut secret = |key, min| {
            let check = |t: &str| {
                if t.len() < min {
                    Err(format!("must have at least {min} bytes"))
                } else {
                    Ok(t.to_owned())
                }
            };
            self.parsed(secrets, "secrets", key, check)
        };
        let cluster = secret("cluster", MIN_CLUSTER_SECRET);
        let admin = secret("admin", 1);
        let announce = secret("announce", 1);
        Some(Secrets { cluster: cluster?, admin: admin?, announce: announce? })
    }

    /// Adds a fault for each peer that has the name of this VM or of an earlier peer.
    fn check_unique(&mut self, own: Option<&VmName>, peers: &[Peer]) {
        let mut seen: BTreeSet<&VmName> = own.into_iter().collect();
        for peer in peers {
            if !seen.insert(&peer.vm) {
                self.fault("peers", None, format!("{} occurs twice", peer.vm));
            }
        }
    }
}

/// Returns the value of an integer or a float; `None` for any other type.
fn number_of(value: &Value<'_>) -> Option<f64> {
    if let Some(integer) = value.get_ref().as_integer() {
        let number = i128::from_str_radix(integer.as_str(), integer.radix()).ok()?;
        return number.to_string().parse().ok();
    }
    value.get_ref().as_float()?.as_str().parse().ok()
}

/// Rounds a number of 0 or more down.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "`as` saturates")]
pub(crate) fn floor(number: f64) -> u64 {
    number as u64
}

/// Rounds a number of 0 or more up.
pub(crate) fn ceil(number: f64) -> u64 {
    floor(number.ceil())
}

/// Returns the duration of a number of seconds, at most [`MAX_SECONDS`].
pub(crate) fn duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.min(MAX_SECONDS))
}

fn join(prefix: &str, key: &str) -> String {
    if prefix.is_empty() { key.to_owned() } else { format!("{prefix}.{key}") }
}
