//! A checked plan.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use model::{AccountName, ServiceName, Tier};
use twox_hash::XxHash3_64;

use crate::{
    error::{Error, ErrorKind},
    raw::{RawAccount, RawLimits, RawPlan, RawRoute, RawService, RetryMode, Unit},
};

/// Limits that a plan which sets none puts in force: those of common HTTP servers.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 << 10,
    body_bytes: 4 << 20,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// A route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// How often a request may run.
    pub retry: RetryMode,
    /// Longest time to the end of the answer.
    pub timeout: Duration,
    /// Time in which the answer, or a stream's first event, is of full use.
    pub target_latency: Duration,
    /// Longest pause between events that is of full use.
    pub target_gap: Duration,
    /// Rank of its requests among those of accounts with one rank.
    pub tier: Tier,
    /// Most servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether it serves requests without a key.
    pub public: bool,
    prefix: Arc<str>,
    split: Vec<(ServiceName, u64)>,
    weights: u64,
}

impl Route {
    /// The service of a request; the id decides in a split, so that every VM decides alike.
    #[must_use]
    pub fn service(&self, request: &str) -> &ServiceName {
        let mut at = XxHash3_64::oneshot(request.as_bytes()) % self.weights.max(1);
        for (service, weight) in &self.split {
            if at < *weight {
                return service;
            }
            at -= weight;
        }
        &self.split[0].0
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Connections that one of its servers accepts from all callers together; 0 for any number.
    pub connections: u32,
    /// Whether its servers generate tokens in batches.
    pub generates_tokens: bool,
}

/// What an account may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// What is counted.
    pub unit: Unit,
    /// Units a second.
    pub rate: u64,
    /// Units that may be used at once.
    pub burst: u64,
    /// Tokens that a request without a count stands for.
    pub default_tokens: u64,
}

impl Quota {
    /// Units that a request with this many tokens uses.
    #[must_use]
    pub fn units(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens => tokens.unwrap_or(self.default_tokens),
        }
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Its name.
    pub name: AccountName,
    /// Rank of its requests, which goes before the route's.
    pub tier: Option<Tier>,
    /// What it may use; nothing for any amount.
    pub quota: Option<Quota>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head in bytes.
    pub header_bytes: usize,
    /// Longest body in bytes.
    pub body_bytes: usize,
    /// Longest time for a head.
    pub header_timeout: Duration,
    /// Longest time between two requests of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        DEFAULT_LIMITS
    }
}

/// A plan in force.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    version: u64,
    /// Routes of each host, those with the longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: BTreeMap<ServiceName, Service>,
    accounts: Vec<Arc<Account>>,
    by_key: HashMap<String, Arc<Account>>,
    /// Ranks of account and route that occur together, highest first.
    ranks: Vec<(Tier, Tier)>,
    limits: CallerLimits,
}

impl Plan {
    /// Its version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The route of a request: the longest prefix that begins the path, within the host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host).or_else(|| {
            let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
            self.hosts.get(&name.to_ascii_lowercase())
        })?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// The account that holds a key.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.by_key.get(key)
    }

    /// Whether requests need a key, unless their route is public.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Class of service of a request: the account's rank decides, and the route's between requests
    /// of accounts with the same rank. Ranks beyond the lowest tier share it.
    #[must_use]
    pub fn tier(&self, route: &Route, account: Option<&Account>) -> Tier {
        let rank = (account.and_then(|a| a.tier).unwrap_or_default(), route.tier);
        tier(self.ranks.partition_point(|r| *r < rank) as u64)
    }

    /// All accounts.
    #[must_use]
    pub fn accounts(&self) -> &[Arc<Account>] {
        &self.accounts
    }

    /// A service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &Service)> {
        self.services.iter()
    }

    /// Limits on what callers send.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}

impl TryFrom<RawPlan> for Plan {
    type Error = Error;

    fn try_from(raw: RawPlan) -> Result<Self, Error> {
        let services = services(raw.services)?;
        let (accounts, by_key) = accounts(raw.accounts)?;
        let mut plan = Self {
            version: raw.version,
            hosts: HashMap::new(),
            services,
            accounts,
            by_key,
            ranks: Vec::new(),
            limits: limits(raw.limits),
        };
        let mut places = HashSet::new();
        for raw in raw.routes {
            if !places.insert((raw.host.clone(), raw.prefix.clone())) {
                return Err(ErrorKind::SamePlace { host: raw.host, prefix: raw.prefix }.into());
            }
            let host = raw.host.to_ascii_lowercase();
            let route = route(raw, &plan.services)?;
            plan.hosts.entry(host).or_default().push(Arc::new(route));
        }
        plan.ranks = ranks(&plan);
        for routes in plan.hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Ok(plan)
    }
}

/// All pairs of ranks, in order. Public routes have requests without an account.
fn ranks(plan: &Plan) -> Vec<(Tier, Tier)> {
    let accounts = plan.accounts.iter().map(|a| a.tier.unwrap_or_default());
    let mut accounts: Vec<Tier> = accounts.collect();
    if accounts.is_empty() {
        accounts.push(Tier::default());
    }
    let routes: BTreeSet<Tier> = plan.hosts.values().flatten().map(|r| r.tier).collect();
    let pairs = accounts.iter().flat_map(|a| routes.iter().map(move |r| (*a, *r)));
    pairs.collect::<BTreeSet<_>>().into_iter().collect()
}

fn route(raw: RawRoute, services: &BTreeMap<ServiceName, Service>) -> Result<Route, Error> {
    if raw.timeout_ms == 0 {
        return Err(ErrorKind::NoTimeout { route: raw.name }.into());
    }
    if !raw.prefix.starts_with('/') || !raw.prefix.ends_with('/') {
        return Err(ErrorKind::Prefix { route: raw.name, prefix: raw.prefix }.into());
    }
    let mut split = Vec::with_capacity(raw.split.len());
    for (service, weight) in raw.split {
        let known = ServiceName::try_from(service.as_str()).ok();
        let known = known.filter(|name| services.contains_key(name));
        let Some(name) = known else {
            return Err(ErrorKind::UnknownService { route: raw.name, service }.into());
        };
        split.push((name, weight));
    }
    let weights = split.iter().map(|(_, weight)| *weight).fold(0, u64::saturating_add);
    if weights == 0 {
        return Err(ErrorKind::NoWeight { route: raw.name }.into());
    }
    let timeout = Duration::from_millis(raw.timeout_ms);
    let or_timeout = |ms: u64| if ms == 0 { timeout } else { Duration::from_millis(ms) };
    Ok(Route {
        name: raw.name.into(),
        retry: raw.retry,
        timeout,
        target_latency: or_timeout(raw.target_latency_ms),
        target_gap: or_timeout(raw.target_gap_ms),
        tier: tier(raw.rank),
        max_attempts: u32::try_from(raw.max_attempts.max(1)).unwrap_or(u32::MAX),
        public: raw.public,
        prefix: raw.prefix.into(),
        split,
        weights,
    })
}

/// Ranks beyond the lowest tier share it.
fn tier(rank: u64) -> Tier {
    u8::try_from(rank).ok().and_then(|r| Tier::try_from(r).ok()).unwrap_or(Tier::LOWEST)
}

fn services(raw: Vec<RawService>) -> Result<BTreeMap<ServiceName, Service>, Error> {
    let mut services = BTreeMap::new();
    for service in raw {
        let name = ServiceName::try_from(service.name.as_str())?;
        let connections = u32::try_from(service.connections).unwrap_or(u32::MAX);
        let checked = Service { connections, generates_tokens: service.generates_tokens };
        if services.insert(name, checked).is_some() {
            return Err(ErrorKind::SameName { what: "services", name: service.name }.into());
        }
    }
    Ok(services)
}

type Accounts = (Vec<Arc<Account>>, HashMap<String, Arc<Account>>);

fn accounts(raw: Vec<RawAccount>) -> Result<Accounts, Error> {
    let mut accounts = Vec::with_capacity(raw.len());
    let mut by_key: HashMap<String, Arc<Account>> = HashMap::new();
    for raw in raw {
        let quota = Quota {
            unit: raw.unit,
            rate: raw.rate,
            burst: raw.burst,
            default_tokens: raw.plain_tokens,
        };
        let account = Arc::new(Account {
            name: AccountName::try_from(raw.name.as_str())?,
            tier: raw.rank.map(tier),
            quota: (raw.rate > 0).then_some(quota),
        });
        for key in raw.keys {
            if let Some(first) = by_key.insert(key, Arc::clone(&account))
                && first.name != account.name
            {
                let (first, second) = (first.name.to_string(), raw.name);
                return Err(ErrorKind::SharedKey { first, second }.into());
            }
        }
        accounts.push(account);
    }
    Ok((accounts, by_key))
}

fn limits(raw: RawLimits) -> CallerLimits {
    let bytes = |raw: u64, default: usize| match usize::try_from(raw) {
        Ok(0) | Err(_) => default,
        Ok(bytes) => bytes,
    };
    let time = |ms: u64, default| if ms == 0 { default } else { Duration::from_millis(ms) };
    CallerLimits {
        header_bytes: bytes(raw.header_bytes, DEFAULT_LIMITS.header_bytes),
        body_bytes: bytes(raw.body_bytes, DEFAULT_LIMITS.body_bytes),
        header_timeout: time(raw.header_ms, DEFAULT_LIMITS.header_timeout),
        idle_timeout: time(raw.idle_ms, DEFAULT_LIMITS.idle_timeout),
    }
}
