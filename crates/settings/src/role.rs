//! The settings of a VM with a role, in a deployment of entry VMs and control VMs.
//!
//! [`parse_file`] reads a settings file of either kind.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use model::{Span, VmName, ZoneName};
use toml::de::DeTable;

use crate::check::{
    Checker, Fault, MAX_SECONDS, Settings, ceil, duration, floor, parse, parse_toml,
};

/// Keys at the top level of the file.
const TOP_KEYS: &[&str] = &[
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
    "link_mbps",
    "memory_mb",
    "max_fds",
    "bounds",
];
/// Keys of the `[bounds]` table.
const BOUND_KEYS: &[&str] = &[
    "heartbeat_ms",
    "keys_ms",
    "retry_ratio",
    "retry_slack",
    "retry_window_s",
    "hedge_share",
    "quota_window_s",
    "quota_overage",
    "quota_slack",
    "stop_s",
    "expose_share",
    "expose_slack",
    "rollback_ms",
];
/// Lease of keys, for which an entry VM accepts keys without confirmation of its plan, as a share
/// of `keys_ms`, the time after which a revoked key must be refused. The rest covers the time that
/// a request takes to reach a backend server.
const KEY_LEASE_SHARE: f64 = 0.75;
/// Lease of keys if `keys_ms` is 0 or not set, which leaves the time of a revocation unbounded: one
/// day.
const UNBOUNDED_LEASE: Span = Span::from_secs(86_400);
/// Number of announcement intervals after which a backend server that does not announce itself
/// counts as silent.
const MISSED_HEARTBEATS: f64 = 3.0;
/// Default of `heartbeat_ms`, the interval of announcements, in milliseconds.
const DEFAULT_HEARTBEAT_MS: f64 = 1_000.0;
/// Bytes of a unit of `memory_mb`.
const BYTES_PER_MB: f64 = 1_048_576.0;
/// Default of `stop_s`, the time from the stop signal until the process is killed, in seconds.
const DEFAULT_STOP_S: f64 = 10.0;
/// Default of `retry_window_s`, the window of the retry budget, in seconds.
const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;
/// Default of `quota_window_s`, the window in which quotas are counted, in seconds.
const DEFAULT_QUOTA_WINDOW_S: f64 = 1.0;

/// Default of `rollback_ms`, in milliseconds.
const DEFAULT_ROLLBACK_MS: f64 = 5_000.0;

/// The role of a VM in a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// An entry VM, which accepts requests of callers and forwards them to backend servers.
    Entry,
    /// A control VM, which maintains the routing plan, the registry of backend servers and the
    /// membership of the deployment.
    Control,
}

/// Limits and times that apply to the whole deployment, set in the `[bounds]` table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time without an announcement after which a backend server is listed as silent, 3 times
    /// `heartbeat_ms`.
    pub silence: Span,
    /// Time for which an entry VM accepts keys after the plan was last confirmed to be current: 75%
    /// of `keys_ms`, or one day if `keys_ms` is 0 or not set.
    pub key_lease: Span,
    /// Retry budget of a service, as a ratio of its first sends in a window.
    pub retry_ratio: f64,
    /// Number of retries of a service allowed in addition in every window, across all entry VMs. A
    /// fraction is rounded down.
    pub retry_slack: u32,
    /// Length of the window of the retry budget.
    pub retry_window: Span,
    /// Share of the requests that entry VMs may send to a second server before the first one has
    /// answered; 0 for none. A value above 1 counts as 1.
    pub hedge_share: f64,
    /// Length of the window in which quotas are counted.
    pub quota_window: Span,
    /// Share of a quota by which usage may exceed it in a window.
    pub quota_overage: f64,
    /// Number of units by which usage may exceed a quota in addition. A fraction is rounded down.
    pub quota_slack: u64,
    /// Time from the stop signal until the process is killed.
    pub stop_time: Duration,
    /// Bounds of rollouts. `None` if neither `expose_share` nor `expose_slack` is set: the deployment
    /// has no rollouts.
    pub rollouts: Option<RolloutBounds>,
}

/// What a bad version of a service may get while it is under trial.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutBounds {
    /// Share of the service's requests, at most 1 (`expose_share`).
    pub share: f64,
    /// Number of requests in addition (`expose_slack`). A fraction is rounded down.
    pub slack: u64,
    /// Time after enough bad responses after which it gets no requests (`rollback_ms`).
    pub rollback: Span,
}

/// The valid settings of a VM with a role.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleSettings {
    /// Role of the VM.
    pub role: Role,
    /// Name of the VM for people, shown in logs and metrics.
    pub name: String,
    /// IP address of the VM, which identifies it to the other VMs.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Address on which an entry VM listens for callers, and a control VM for operators and backend
    /// servers.
    pub callers: SocketAddr,
    /// Address on which an entry VM serves the load balancer's readiness check. Always set for an
    /// entry VM.
    pub ready: Option<SocketAddr>,
    /// Address on which metrics are served, or `None` if they are not.
    pub metrics: Option<SocketAddr>,
    /// First of `internal_ports`, on which control VMs accept calls of other VMs. Entry VMs
    /// exchange load reports on the port after it.
    pub internal_port: u16,
    /// Control VMs to contact first, through which all others are discovered.
    pub seeds: Vec<VmName>,
    /// Whether the seeds create a new replicated log if none of them belongs to one.
    pub founding: bool,
    /// Number of disks whose simultaneous loss the replicated log tolerates. Defaults to 1. A
    /// fraction is rounded up.
    pub losses: usize,
    /// Data folder. Always set for a control VM.
    pub data: Option<PathBuf>,
    /// Secret that authenticates calls between VMs.
    pub secret: String,
    /// Speed of the VM's link in Mbit/s (`link_mbps`), or `None` if it is not set.
    pub link_mbps: Option<f64>,
    /// Memory of the VM in bytes, set in megabytes, or `None` if it is not set or 0.
    pub memory: Option<usize>,
    /// Number of descriptors that the process may have open, or `None` if it is not set or
    /// 0. A fraction is rounded down.
    pub max_fds: Option<usize>,
    /// Limits and times that apply to the whole deployment.
    pub bounds: Bounds,
}

/// The contents of a settings file.
#[derive(Clone, Debug, PartialEq)]
pub enum File {
    /// Settings of a standalone VM, which does everything itself.
    Standalone(Box<Settings>),
    /// Settings of a VM with a role.
    WithRole(Box<RoleSettings>),
}

/// Parses and validates a settings file of either kind.
///
/// A file with the key `role` is taken as the settings of a VM with a role, any other as those of a
/// standalone VM.
///
/// # Errors
///
/// Returns all faults found, at least one.
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
/// let Ok(File::WithRole(settings)) = settings::parse_file(text) else { panic!() };
/// assert_eq!(settings.role, Role::Entry);
/// assert_eq!(settings.seeds[0].as_str(), "10.1.0.27");
///
/// let faults = settings::parse_file(&text.replace("[7600, 7615]", "[]")).unwrap_err();
/// assert_eq!(faults[0].to_string(), "line 8: internal_ports: [] must be two ports or more");
/// ```
pub fn parse_file(text: &str) -> Result<File, Vec<Fault>> {
    let table = parse_toml(text)?;
    if !table.contains_key("role") {
        return parse(text).map(|settings| File::Standalone(Box::new(settings)));
    }
    let mut checker = Checker { text, faults: Vec::new() };
    match role_settings(&mut checker, &table) {
        Some(settings) if checker.faults.is_empty() => Ok(File::WithRole(Box::new(settings))),
        _ => Err(checker.faults),
    }
}

fn role_settings(checker: &mut Checker<'_>, table: &DeTable<'_>) -> Option<RoleSettings> {
    checker.reject_unknown("", table, TOP_KEYS);
    let role = checker.parsed(table, "", "role", |t| match t {
        "entry" => Ok(Role::Entry),
        "control" => Ok(Role::Control),
        other => Err(format!("{other:?} is neither \"entry\" nor \"control\"")),
    });
    let name = checker.text(table, "", "name").map(ToOwned::to_owned);
    let vm = checker.parsed(table, "", "vm", |t| {
        t.parse::<std::net::IpAddr>().map_err(|e| e.to_string())?;
        VmName::try_from(t).map_err(|e| e.to_string())
    });
    let zone = checker.parsed(table, "", "zone", |t| ZoneName::try_from(t));
    let callers = checker.address(table, "", "callers");
    let ready = table.contains_key("ready").then(|| checker.address(table, "", "ready")).flatten();
    let metrics =
        table.contains_key("metrics").then(|| checker.address(table, "", "metrics")).flatten();
    let internal_port = internal_port(checker, table);
    let seeds = seeds(checker, table);
    let founding = flag(checker, table, "founding");
    let losses = checker.non_negative(table, "", "losses", 1.0);
    let data = checker.optional_text(table, "", "data").map(PathBuf::from);
    let secret = checker.text(table, "", "secret").map(ToOwned::to_owned);
    let link_mbps = table
        .contains_key("link_mbps")
        .then(|| checker.positive(table, "", "link_mbps", f64::INFINITY));
    let memory = optional_amount(checker, table, "memory_mb").map(|mb| whole(mb * BYTES_PER_MB));
    let max_fds = optional_amount(checker, table, "max_fds").map(whole);
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
        losses: usize::try_from(ceil(losses)).unwrap_or(usize::MAX),
        data,
        secret: secret?,
        link_mbps,
        memory,
        max_fds,
        bounds,
    })
}

/// Returns a number above 0, or `None` if the key is missing or 0.
fn optional_amount(checker: &mut Checker<'_>, table: &DeTable<'_>, key: &str) -> Option<f64> {
    Some(checker.non_negative(table, "", key, 0.0)).filter(|number| *number > 0.0)
}

/// Rounds a number down.
fn whole(number: f64) -> usize {
    usize::try_from(floor(number)).unwrap_or(usize::MAX)
}

/// Returns the first of `internal_ports`, which must list at least two ports.
fn internal_port(checker: &mut Checker<'_>, table: &DeTable<'_>) -> Option<u16> {
    let value = table.get("internal_ports");
    let ports = value.and_then(|v| v.get_ref().as_array());
    let first = ports.filter(|ports| ports.len() >= 2).and_then(|ports| {
        let number = ports.first()?.get_ref().as_integer()?;
        u16::from_str_radix(number.as_str(), number.radix()).ok()
    });
    if first.is_none() {
        let source = value.map_or("", |value| checker.source(value));
        let why = format!("{source} must be two ports or more");
        checker.fault("internal_ports", value, why.trim_start());
    }
    first
}

/// Returns the VMs named by `seeds`, which lists their addresses, such as `10.1.0.27:8229`.
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

/// Returns a boolean, or `false` if the key is missing.
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
    checker.reject_unknown("bounds", bounds, BOUND_KEYS);
    let mut positive = |key, default| checker.positive(bounds, "bounds", key, default);
    let heartbeat = positive("heartbeat_ms", DEFAULT_HEARTBEAT_MS) / 1_000.0;
    let retry_window = positive("retry_window_s", DEFAULT_RETRY_WINDOW_S);
    let quota_window = positive("quota_window_s", DEFAULT_QUOTA_WINDOW_S);
    let mut non_negative = |key, default| checker.non_negative(bounds, "bounds", key, default);
    let keys = non_negative("keys_ms", 0.0) / 1_000.0;
    let stop = non_negative("stop_s", DEFAULT_STOP_S);
    let (retry_ratio, retry_slack) =
        (non_negative("retry_ratio", 0.0), non_negative("retry_slack", 0.0));
    let hedge_share = non_negative("hedge_share", 0.0).min(1.0);
    let (quota_overage, quota_slack) =
        (non_negative("quota_overage", 0.0), non_negative("quota_slack", 0.0));
    Bounds {
        silence: span(heartbeat * MISSED_HEARTBEATS),
        key_lease: if keys > 0.0 { span(keys * KEY_LEASE_SHARE) } else { UNBOUNDED_LEASE },
        retry_ratio,
        retry_slack: u32::try_from(floor(retry_slack)).unwrap_or(u32::MAX),
        retry_window: span(retry_window),
        hedge_share,
        quota_window: span(quota_window),
        quota_overage,
        quota_slack: floor(quota_slack),
        stop_time: duration(stop),
        rollouts: rollout_bounds(checker, bounds),
    }
}

fn rollout_bounds(checker: &mut Checker<'_>, bounds: &DeTable<'_>) -> Option<RolloutBounds> {
    let share = checker.non_negative(bounds, "bounds", "expose_share", 0.0);
    let slack = checker.non_negative(bounds, "bounds", "expose_slack", 0.0);
    let rollback = checker.positive(bounds, "bounds", "rollback_ms", DEFAULT_ROLLBACK_MS);
    let is_set = ["expose_share", "expose_slack"].iter().any(|key| bounds.contains_key(*key));
    is_set.then(|| RolloutBounds {
        share: share.min(1.0),
        slack: floor(slack),
        rollback: span(rollback / 1_000.0),
    })
}

/// Returns the span of a number of seconds, at least a microsecond.
fn span(seconds: f64) -> Span {
    Span::from_secs_f64(seconds.min(MAX_SECONDS)).max(Span::from_micros(1))
}
