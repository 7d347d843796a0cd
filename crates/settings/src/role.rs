//! Settings of one VM of a deployment that is divided into entry VMs and control VMs.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use model::{Span, VmName, ZoneName};
use toml::de::DeTable;

use crate::check::{Checker, Fault, Settings, parse, table};

/// Keys at the top of the file.
const TOP: &[&str] = &[
    "role",
    "name",
    "vm",
    "zone",
    "callers",
    "ready",
    "metrics",
    "internal_ports",
    "seeds",
    "founding",
    "losses",
    "data",
    "secret",
    "bounds",
];
/// Keys of `[bounds]`.
const BOUNDS: &[&str] = &[
    "heartbeat_ms",
    "keys_ms",
    "retry_ratio",
    "retry_slack",
    "retry_window_s",
    "quota_window_s",
    "quota_overage",
    "quota_slack",
    "stop_s",
];
/// Part of the time after which a revoked key must be refused for which an entry VM accepts keys
/// without hearing the leader. The rest covers the way of the request to a server.
const KEY_LEASE_SHARE: f64 = 0.75;
/// Lease of keys where nothing bounds the time of a revocation: a day.
const UNBOUNDED_LEASE: Span = Span::from_secs(86_400);
/// Announcements that may be missed before a backend server counts as silent.
const MISSED_HEARTBEATS: u64 = 3;
/// Interval of announcements where none is set, in milliseconds.
const HEARTBEAT_MS: u64 = 1_000;
/// Time from the signal to stop until the process is killed where none is set, in seconds.
const STOP_S: u64 = 10;
/// Length of the window of the retry budget where none is set, in seconds.
const RETRY_WINDOW_S: u64 = 10;
/// Length of the window in which quotas are counted where none is set, in seconds.
const QUOTA_WINDOW_S: u64 = 1;

/// What a VM does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Serves callers.
    Entry,
    /// Keeps the plan, the registry and the membership.
    Control,
}

/// Bounds that the deployment must keep to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Silence after which a backend server counts as silent.
    pub silence: Span,
    /// Time for which keys are accepted after the plan was last known to be current.
    pub key_lease: Span,
    /// Requests that may be sent again, relative to all of a service.
    pub retry_ratio: f64,
    /// Requests that may be sent again beyond that in every window.
    pub retry_slack: u32,
    /// Length of that window.
    pub retry_window: Span,
    /// Length of the windows in which quotas are counted.
    pub quota_window: Span,
    /// Share of a quota by which it may be exceeded in a window.
    pub quota_overage: f64,
    /// Units by which it may be exceeded beyond that.
    pub quota_slack: u64,
    /// Time from the signal to stop until the process is killed.
    pub stop_time: Duration,
}

/// Checked settings of one VM.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleSettings {
    /// What it does.
    pub role: Role,
    /// Its name, for people.
    pub name: String,
    /// Its identity: its IP address.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers connect; operators and backend servers at a control VM.
    pub callers: SocketAddr,
    /// Where the balancer checks an entry VM.
    pub ready: Option<SocketAddr>,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// First of the ports between VMs.
    pub internal_port: u16,
    /// Control VMs to find the others by.
    pub seeds: Vec<VmName>,
    /// Whether the seeds found the log.
    pub founding: bool,
    /// Disks that may be lost at once.
    pub losses: usize,
    /// Data folder of a control VM.
    pub data: Option<PathBuf>,
    /// Key of the calls between VMs.
    pub secret: String,
    /// Bounds that the deployment must keep to.
    pub bounds: Bounds,
}

/// A settings file of either kind.
#[derive(Clone, Debug, PartialEq)]
pub enum File {
    /// Of a VM that does everything.
    Standalone(Box<Settings>),
    /// Of a VM with a role.
    WithRole(Box<RoleSettings>),
}

/// Reads and checks a settings file; one that names a role is that of a VM with a role.
///
/// # Errors
///
/// Every fault found.
///
/// # Examples
///
/// ```
/// use settings::{File, Role};
///
/// let text = r#"
/// role = "entry"
/// name = "front-1"
/// vm = "10.1.0.25"
/// zone = "zone-a"
/// callers = "10.1.0.25:8221"
/// ready = "10.1.0.25:8224"
/// internal_ports = [7600, 7615]
/// seeds = ["10.1.0.27:8229"]
/// secret = "a key that is long enough"
/// "#;
/// let Ok(File::WithRole(fleet)) = settings::parse_file(text) else { panic!() };
/// assert_eq!(fleet.role, Role::Entry);
/// assert_eq!(fleet.seeds[0].as_str(), "10.1.0.27");
///
/// let faults = settings::parse_file(&text.replace("[7600, 7615]", "[]")).unwrap_err();
/// assert_eq!(faults[0].to_string(), "line 8: internal_ports: must be two ports or more");
/// ```
pub fn parse_file(text: &str) -> Result<File, Vec<Fault>> {
    let table = table(text)?;
    if !table.contains_key("role") {
        return parse(text).map(|settings| File::Standalone(Box::new(settings)));
    }
    let mut checker = Checker { text, faults: Vec::new() };
    match fleet(&mut checker, &table) {
        Some(fleet) if checker.faults.is_empty() => Ok(File::WithRole(Box::new(fleet))),
        _ => Err(checker.faults),
    }
}

fn fleet(checker: &mut Checker<'_>, table: &DeTable<'_>) -> Option<RoleSettings> {
    checker.known("", table, TOP);
    let role = checker.checked(table, "", "role", |t| match t {
        "entry" => Ok(Role::Entry),
        "control" => Ok(Role::Control),
        other => Err(format!("{other:?} is neither \"entry\" nor \"control\"")),
    });
    let name = checker.text(table, "", "name").map(ToOwned::to_owned);
    let vm = checker.checked(table, "", "vm", |t| {
        t.parse::<std::net::IpAddr>().map_err(|e| e.to_string())?;
        VmName::try_from(t).map_err(|e| e.to_string())
    });
    let zone = checker.checked(table, "", "zone", |t| ZoneName::try_from(t));
    let callers = checker.address(table, "", "callers");
    let ready = table.contains_key("ready").then(|| checker.address(table, "", "ready")).flatten();
    let metrics =
        table.contains_key("metrics").then(|| checker.address(table, "", "metrics")).flatten();
    let internal_port = internal_port(checker, table);
    let seeds = seeds(checker, table);
    let founding = flag(checker, table, "founding");
    let losses = checker.number_from_zero(table, "", "losses", 1);
    let data = checker.optional_text(table, "", "data").map(PathBuf::from);
    let secret = checker.text(table, "", "secret").map(ToOwned::to_owned);
    let bounds = bounds(checker, table);
    if role == Some(Role::Entry) && ready.is_none() {
        checker.fault("ready", None, "missing");
    }
    if role == Some(Role::Control) && data.is_none() {
        checker.fault("data", None, "missing");
    }
    Some(RoleSettings {
        role: role?,
        name: name?,
        vm: vm?,
        zone: zone?,
        callers: callers?,
        ready,
        metrics,
        internal_port: internal_port?,
        seeds,
        founding,
        losses: usize::try_from(losses).unwrap_or(usize::MAX),
        data,
        secret: secret?,
        bounds,
    })
}

fn internal_port(checker: &mut Checker<'_>, table: &DeTable<'_>) -> Option<u16> {
    let value = table.get("internal_ports");
    let ports = value.and_then(|v| v.get_ref().as_array());
    let first = ports.filter(|ports| ports.len() >= 2).and_then(|ports| {
        let number = ports.first()?.get_ref().as_integer()?;
        u16::from_str_radix(number.as_str(), number.radix()).ok()
    });
    if first.is_none() {
        checker.fault("internal_ports", value, "must be two ports or more");
    }
    first
}

/// The VMs behind addresses such as `10.1.0.27:8229`.
fn seeds(checker: &mut Checker<'_>, table: &DeTable<'_>) -> Vec<VmName> {
    let value = table.get("seeds");
    let Some(items) = value.and_then(|v| v.get_ref().as_array()) else {
        checker.fault("seeds", value, "must be a list of addresses");
        return Vec::new();
    };
    let mut seeds = Vec::new();
    for item in items {
        let address = item.get_ref().as_str().and_then(|t| t.parse::<SocketAddr>().ok());
        match address.and_then(|a| VmName::try_from(a.ip().to_string()).ok()) {
            Some(vm) => seeds.push(vm),
            None => checker.fault("seeds", Some(item), "must be an address like 10.0.0.1:8080"),
        }
    }
    seeds
}

fn flag(checker: &mut Checker<'_>, table: &DeTable<'_>, key: &str) -> bool {
    let Some(value) = table.get(key) else {
        return false;
    };
    let flag = value.get_ref().as_bool();
    if flag.is_none() {
        checker.fault(key, Some(value), "must be true or false");
    }
    flag.unwrap_or(false)
}

fn bounds(checker: &mut Checker<'_>, table: &DeTable<'_>) -> Bounds {
    let empty = DeTable::new();
    let value = table.get("bounds");
    let found = value.map(|v| v.get_ref().as_table());
    if matches!(found, Some(None)) {
        checker.fault("bounds", value, "must be a table [bounds]");
    }
    let bounds = found.flatten().unwrap_or(&empty);
    checker.known("bounds", bounds, BOUNDS);
    let heartbeat = checker.number(bounds, "bounds", "heartbeat_ms", HEARTBEAT_MS);
    let keys = checker.number_from_zero(bounds, "bounds", "keys_ms", 0);
    let lease = Span::from_secs_f64(Span::from_millis(keys).as_secs_f64() * KEY_LEASE_SHARE);
    let slack = checker.number_from_zero(bounds, "bounds", "retry_slack", 0);
    let window = checker.number(bounds, "bounds", "retry_window_s", RETRY_WINDOW_S);
    let quota_window = checker.number(bounds, "bounds", "quota_window_s", QUOTA_WINDOW_S);
    let stop = checker.number(bounds, "bounds", "stop_s", STOP_S);
    Bounds {
        silence: Span::from_millis(heartbeat * MISSED_HEARTBEATS),
        key_lease: if keys == 0 { UNBOUNDED_LEASE } else { lease },
        retry_ratio: checker.ratio(bounds, "bounds", "retry_ratio"),
        retry_slack: u32::try_from(slack).unwrap_or(u32::MAX),
        retry_window: Span::from_secs(window),
        quota_window: Span::from_secs(quota_window),
        quota_overage: checker.ratio(bounds, "bounds", "quota_overage"),
        quota_slack: checker.number_from_zero(bounds, "bounds", "quota_slack", 0),
        stop_time: Duration::from_secs(stop),
    }
}

impl Checker<'_> {
    fn number_from_zero(
        &mut self,
        table: &DeTable<'_>,
        prefix: &str,
        key: &str,
        default: u64,
    ) -> u64 {
        let integer = table.get(key).and_then(|v| v.get_ref().as_integer());
        if integer.is_some_and(|n| n.as_str() == "0") {
            return 0;
        }
        self.number(table, prefix, key, default)
    }

    fn ratio(&mut self, table: &DeTable<'_>, prefix: &str, key: &str) -> f64 {
        let Some(value) = table.get(key) else {
            return 0.0;
        };
        let float = value.get_ref().as_float().map(|f| f.as_str().to_owned());
        let integer = value.get_ref().as_integer().map(|n| n.as_str().to_owned());
        let ratio = float.or(integer).and_then(|text| text.parse::<f64>().ok());
        if ratio.is_none_or(|r| r < 0.0) {
            let path = if prefix.is_empty() { key.to_owned() } else { format!("{prefix}.{key}") };
            self.fault(&path, Some(value), "must be a number of 0 or more");
        }
        ratio.unwrap_or(0.0)
    }
}
