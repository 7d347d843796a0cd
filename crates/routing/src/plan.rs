//! A validated plan, as requests are routed by it.
//!
//! [`Plan::try_from`] checks a [`RawPlan`], applies the defaults, and builds the indexes by host
//! and by key. Ranks of accounts and routes are mapped to tiers.

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

/// Limits of a plan that sets none. They are those of common HTTP servers.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 << 10,
    body_bytes: 4 << 20,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Path of the health call of servers whose service names none. Any reply shows that the server is alive,
/// even if it does not know the path.
pub const DEFAULT_HEALTH_PATH: &str = "/health";

/// A route: how requests to one host and path prefix are served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route, as given by the operator.
    pub name: Arc<str>,
    /// Whether a request may be sent again after it may have run.
    pub retry: RetryMode,
    /// Time limit for the complete answer.
    pub timeout: Duration,
    /// Time within which the answer, or a stream's first event, is of full use to the caller.
    pub target_latency: Duration,
    /// Longest gap between events with which a stream is of full use to the caller.
    pub target_gap: Duration,
    /// Rank of the route, which orders requests of accounts with the same rank; see [`Plan::tier`].
    pub tier: Tier,
    /// Maximum number of servers that one request is sent to; at least 1.
    pub max_attempts: u32,
    /// Whether the route serves requests without a key.
    pub public: bool,
    prefix: Arc<str>,
    split: Vec<(ServiceName, u64)>,
    /// Sum of the weights in `split`; never 0.
    total_weight: u64,
}

impl Route {
    /// Returns the service for a request. Among the services of a split, the hash of the request id
    /// decides, so that every VM picks the same one.
    #[must_use]
    pub fn service(&self, request_id: &str) -> &ServiceName {
        let mut offset = XxHash3_64::oneshot(request_id.as_bytes()) % self.total_weight.max(1);
        for (service, weight) in &self.split {
            if offset < *weight {
                return service;
            }
            offset -= weight;
        }
        &self.split[0].0
    }
}

/// A service, which one or more backend servers provide.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Maximum number of connections that each server accepts from all callers together; 0 for no
    /// limit.
    pub connections: u32,
    /// Whether the servers generate tokens in batches, as model engines do.
    pub generates_tokens: bool,
    /// Path of the servers' health call.
    pub health_path: Arc<str>,
}

/// The quota of a client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Unit in which usage is counted.
    pub unit: Unit,
    /// Units per second that the quota grants.
    pub rate: u64,
    /// Units that may be used at once.
    pub burst: u64,
    /// Tokens charged for a request whose number of tokens is not known.
    pub default_tokens: u64,
}

impl Quota {
    /// Returns the units to charge for a request. `tokens` is the number of its tokens, if known.
    #[must_use]
    pub fn units(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens => tokens.unwrap_or(self.default_tokens),
        }
    }
}

/// A client account, which is found by the caller's key and sets the tier and quota of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name of the account, under which quota usage is counted.
    pub name: AccountName,
    /// Rank of the account's requests, which takes precedence over the rank of the route. `None`
    /// stands for the default tier.
    pub tier: Option<Tier>,
    /// Quota of the account; `None` for unlimited use.
    pub quota: Option<Quota>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving a request head.
    pub header_timeout: Duration,
    /// Longest idle time between two requests on a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        DEFAULT_LIMITS
    }
}

/// A validated routing plan.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    version: u64,
    /// Routes by lower-case host, those with the longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: Arc<BTreeMap<ServiceName, Service>>,
    accounts: Vec<Arc<Account>>,
    by_key: HashMap<Arc<str>, Arc<Account>>,
    /// Possible pairs of an account's and a route's rank, highest first. The index of a pair is its
    /// tier, as far as there are tiers.
    ranks: Vec<(Tier, Tier)>,
    limits: CallerLimits,
}

impl Plan {
    /// Returns the version of the plan; 0 for the default plan, which has no routes.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route of a request: of the routes of the host, the one with the longest prefix
    /// that the path begins with.
    ///
    /// The host is matched regardless of case and may carry a port.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host).or_else(|| {
            let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
            self.hosts.get(&name.to_ascii_lowercase())
        })?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns the account that a key belongs to.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.by_key.get(key)
    }

    /// Returns whether the plan has client accounts. If so, requests need a key unless their route
    /// is public.
    #[must_use]
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the tier of a request.
    ///
    /// The rank of the account decides, and among requests of accounts with the same rank that of
    /// the route. Pairs of ranks beyond the lowest tier share that tier.
    #[must_use]
    pub fn tier(&self, route: &Route, account: Option<&Account>) -> Tier {
        let rank = (account.and_then(|a| a.tier).unwrap_or_default(), route.tier);
        tier(self.ranks.partition_point(|r| *r < rank) as u64)
    }

    /// Returns all client accounts, in the order of the operator's document.
    #[must_use]
    pub fn accounts(&self) -> &[Arc<Account>] {
        &self.accounts
    }

    /// Returns a service by name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services, ordered by name.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &Service)> {
        self.services.iter()
    }

    /// Returns the limits on what callers send.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}

impl TryFrom<RawPlan> for Plan {
    type Error = Error;

    fn try_from(raw: RawPlan) -> Result<Self, Error> {
        Self::default().updated(raw)
    }
}

impl Plan {
    /// Validates the plan that follows this one. Both share the routes, services, accounts and keys
    /// that are equal, so that a change takes little memory.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid item.
    ///
    /// # Examples
    ///
    /// ```
    /// use routing::{Plan, RawAccount, RawPlan};
    ///
    /// let account = RawAccount { name: "a".into(), keys: vec!["k".into()], ..RawAccount::default() };
    /// let raw = RawPlan { version: 1, accounts: vec![account], ..RawPlan::default() };
    /// let first = Plan::try_from(raw.clone()).unwrap();
    /// let second = first.updated(RawPlan { version: 2, ..raw }).unwrap();
    /// assert!(std::sync::Arc::ptr_eq(&first.accounts()[0], &second.accounts()[0]));
    /// ```
    pub fn updated(&self, raw: RawPlan) -> Result<Self, Error> {
        let services = Arc::new(services(raw.services)?);
        let services =
            if services == self.services { Arc::clone(&self.services) } else { services };
        let (accounts, by_key) = self.updated_accounts(raw.accounts)?;
        let mut plan = Self {
            version: raw.version,
            hosts: HashMap::new(),
            services,
            accounts,
            by_key,
            ranks: Vec::new(),
            limits: limits(raw.limits),
        };
        let by_prefix = |routes: &[Arc<Route>]| -> HashMap<Arc<str>, Arc<Route>> {
            routes.iter().map(|r| (Arc::clone(&r.prefix), Arc::clone(r))).collect()
        };
        let previous: HashMap<&str, HashMap<Arc<str>, Arc<Route>>> =
            self.hosts.iter().map(|(host, routes)| (host.as_str(), by_prefix(routes))).collect();
        let mut seen = HashSet::with_capacity(raw.routes.len());
        let repeated = raw.routes.iter().position(|r| !seen.insert((&*r.host, &*r.prefix)));
        for (n, raw) in raw.routes.into_iter().enumerate() {
            if Some(n) == repeated {
                return Err(ErrorKind::DuplicateRoute { host: raw.host, prefix: raw.prefix }.into());
            }
            let host = raw.host.to_ascii_lowercase();
            let route = route(raw, &plan.services)?;
            let shared = previous.get(host.as_str()).and_then(|routes| routes.get(&route.prefix));
            let shared = shared.filter(|r| ***r == route).map(Arc::clone);
            let route = shared.unwrap_or_else(|| Arc::new(route));
            plan.hosts.entry(host).or_default().push(route);
        }
        plan.ranks = ranks(&plan);
        for routes in plan.hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Ok(plan)
    }

    /// Returns the accounts of the plan that follows, which shares equal accounts and keys.
    fn updated_accounts(&self, raw: Vec<RawAccount>) -> Result<Accounts, Error> {
        let previous: HashMap<&AccountName, &Arc<Account>> =
            self.accounts.iter().map(|a| (&a.name, a)).collect();
        let mut accounts = Vec::with_capacity(raw.len());
        let mut by_key: HashMap<Arc<str>, Arc<Account>> = HashMap::with_capacity(raw.len());
        for raw in raw {
            let account = account(&raw)?;
            let shared = previous.get(&account.name).filter(|a| ****a == account);
            let account = shared.map_or_else(|| Arc::new(account), |a| Arc::clone(a));
            for key in raw.keys {
                let shared = self.by_key.get_key_value(key.as_str());
                let key = shared.map_or_else(|| key.into(), |(key, _)| Arc::clone(key));
                if let Some(first) = by_key.insert(key, Arc::clone(&account))
                    && first.name != account.name
                {
                    let (first, second) = (first.name.to_string(), account.name.to_string());
                    return Err(ErrorKind::DuplicateKey { first, second }.into());
                }
            }
            accounts.push(account);
        }
        Ok((accounts, by_key))
    }
}

/// Returns all pairs of an account's and a route's rank, highest first. Requests without an account,
/// as on public routes, have the default rank, so a plan without accounts has the pairs of that rank.
fn ranks(plan: &Plan) -> Vec<(Tier, Tier)> {
    let accounts = plan.accounts.iter().map(|a| a.tier.unwrap_or_default());
    let mut accounts: BTreeSet<Tier> = accounts.collect();
    if accounts.is_empty() {
        accounts.insert(Tier::default());
    }
    let routes: BTreeSet<Tier> = plan.hosts.values().flatten().map(|r| r.tier).collect();
    let pairs = accounts.iter().flat_map(|a| routes.iter().map(move |r| (*a, *r)));
    pairs.collect::<BTreeSet<_>>().into_iter().collect()
}

fn route(raw: RawRoute, services: &BTreeMap<ServiceName, Service>) -> Result<Route, Error> {
    if raw.timeout_ms == 0 {
        return Err(ErrorKind::ZeroTimeout { route: raw.name }.into());
    }
    if !raw.prefix.starts_with('/') || !raw.prefix.ends_with('/') {
        return Err(ErrorKind::InvalidPrefix { route: raw.name, prefix: raw.prefix }.into());
    }
    let mut split = Vec::with_capacity(raw.split.len());
    for (service, weight) in raw.split {
        let name = ServiceName::try_from(service.as_str()).ok();
        let name = name.filter(|name| services.contains_key(name));
        let Some(name) = name else {
            return Err(ErrorKind::UnknownService { route: raw.name, service }.into());
        };
        split.push((name, weight));
    }
    let total_weight = split.iter().map(|(_, weight)| *weight).fold(0, u64::saturating_add);
    if total_weight == 0 {
        return Err(ErrorKind::ZeroWeight { route: raw.name }.into());
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
        total_weight,
    })
}

/// Converts a rank to a tier. Ranks beyond the lowest tier share it.
fn tier(rank: u64) -> Tier {
    u8::try_from(rank).ok().and_then(|r| Tier::try_from(r).ok()).unwrap_or(Tier::LOWEST)
}

fn services(raw: Vec<RawService>) -> Result<BTreeMap<ServiceName, Service>, Error> {
    let mut services = BTreeMap::new();
    for service in raw {
        let name = ServiceName::try_from(service.name.as_str())?;
        let connections = u32::try_from(service.connections).unwrap_or(u32::MAX);
        // Older plans may name anything here, so that none is refused for it.
        let path = Some(service.health_path).filter(|path| path.starts_with('/'));
        let checked = Service {
            connections,
            generates_tokens: service.generates_tokens,
            health_path: path.map_or_else(|| DEFAULT_HEALTH_PATH.into(), Arc::from),
        };
        if services.insert(name, checked).is_some() {
            return Err(ErrorKind::DuplicateName { what: "services", name: service.name }.into());
        }
    }
    Ok(services)
}

/// All accounts in order, and the accounts by key.
type Accounts = (Vec<Arc<Account>>, HashMap<Arc<str>, Arc<Account>>);

fn account(raw: &RawAccount) -> Result<Account, Error> {
    let quota = Quota {
        unit: raw.unit,
        rate: raw.rate,
        burst: raw.burst,
        default_tokens: raw.plain_tokens,
    };
    Ok(Account {
        name: AccountName::try_from(raw.name.as_str())?,
        tier: raw.rank.map(tier),
        quota: (raw.rate > 0).then_some(quota),
    })
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
