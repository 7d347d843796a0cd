//! A plan as an operator wrote it, before validation.
//!
//! The types mirror the operator's document with plain numbers and strings. `Plan::try_from` checks
//! them and applies the defaults.

/// Whether a request may be sent to a backend server again after it may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryMode {
    /// The request is idempotent, so it may be sent any number of times.
    Always,
    /// The request may change state, so it may run only once.
    #[default]
    Never,
    /// The answer is a stream that is relayed while it is produced. The request may run only once.
    Stream,
    /// The answer is a stream that another server can continue after the last event that arrived.
    Resume,
}

impl RetryMode {
    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resume)
    }

    /// Returns whether a request that may have run can be sent to another server.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Always | Self::Resume)
    }
}

/// The unit that a quota counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Unit {
    /// Requests, whatever their size.
    #[default]
    Requests,
    /// Tokens of the prompt and the answer.
    Tokens,
}

/// A route as an operator wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawRoute {
    /// Name of the route, used in error messages.
    pub name: String,
    /// Host that the route serves; matched regardless of case.
    pub host: String,
    /// Prefix of the paths that the route serves; it must begin and end with a slash.
    pub prefix: String,
    /// Whether a request may be sent again after it may have run.
    pub retry: RetryMode,
    /// Time limit for the complete answer, in milliseconds; must not be 0.
    pub timeout_ms: u64,
    /// Time within which the answer, or a stream's first event, is of full use to the caller, in
    /// milliseconds; 0 stands for the timeout.
    pub target_latency_ms: u64,
    /// Longest gap between events with which a stream is of full use to the caller, in
    /// milliseconds; 0 stands for the timeout.
    pub target_gap_ms: u64,
    /// Rank of the route, 0 being the highest; it orders requests of accounts with the same rank.
    pub rank: u64,
    /// Names of the services among which requests are split, with their weights. The sum of the
    /// weights must not be 0.
    pub split: Vec<(String, u64)>,
    /// Maximum number of servers that one request is sent to; 0 stands for 1.
    pub max_attempts: u64,
    /// Whether the route serves requests without a key.
    pub public: bool,
}

/// A service as an operator wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawService {
    /// Name of the service, unique within the plan.
    pub name: String,
    /// Maximum number of connections that each server accepts from all callers together; 0 for no
    /// limit.
    pub connections: u64,
    /// Whether the servers generate tokens in batches, as model engines do.
    pub generates_tokens: bool,
    /// Path of the servers' health call; one that does not begin with a slash stands for
    /// [`DEFAULT_HEALTH_PATH`](crate::DEFAULT_HEALTH_PATH).
    pub health_path: String,
}

/// A client account as an operator wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawAccount {
    /// Name of the account, used for quotas and in error messages.
    pub name: String,
    /// Keys that identify callers as this account; no two accounts share one.
    pub keys: Vec<String>,
    /// Rank of the account's requests, 0 being the highest; it takes precedence over the rank of
    /// the route. `None` stands for the default tier.
    pub rank: Option<u64>,
    /// Unit that the quota counts.
    pub unit: Unit,
    /// Units per second that the quota grants; 0 for no quota.
    pub rate: u64,
    /// Units that may be used at once.
    pub burst: u64,
    /// Tokens charged for a request whose number of tokens is not known.
    pub plain_tokens: u64,
}

/// Limits on what callers send, as an operator wrote them; 0 stands for the default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RawLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Time limit for receiving a request head, in milliseconds.
    pub header_ms: u64,
    /// Longest idle time between two requests on a connection, in milliseconds.
    pub idle_ms: u64,
}

/// A plan as an operator wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawPlan {
    /// Version of the plan; among all plans, the one with the highest is in force.
    pub version: u64,
    /// Routes; no two share both host and prefix.
    pub routes: Vec<RawRoute>,
    /// Services that the routes refer to.
    pub services: Vec<RawService>,
    /// Client accounts; if there are none, requests need no key.
    pub accounts: Vec<RawAccount>,
    /// Limits on what callers send.
    pub limits: RawLimits,
}
