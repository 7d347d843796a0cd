//! A plan as an operator wrote it.

/// How often a backend server may be given the same request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryMode {
    /// Any number of times: running it twice does no harm.
    Always,
    /// Once: it changes something.
    #[default]
    Never,
    /// Once, with its answer passed on as it is made.
    Stream,
    /// As a stream whose rest another server can produce after the last event that arrived.
    Resume,
}

impl RetryMode {
    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resume)
    }

    /// Whether a request that may have run can be given to another server.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Always | Self::Resume)
    }
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    #[default]
    Requests,
    /// Tokens of prompt and answer.
    Tokens,
}

/// A route as written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawRoute {
    /// Its name.
    pub name: String,
    /// Host that it serves.
    pub host: String,
    /// Beginning of the paths that it serves, from slash to slash.
    pub prefix: String,
    /// How often a request may run.
    pub retry: RetryMode,
    /// Longest time to the end of the answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time in which the answer, or a stream's first event, is of full use, in milliseconds.
    pub target_latency_ms: u64,
    /// Longest pause between events of a stream that is of full use, in milliseconds.
    pub target_gap_ms: u64,
    /// Rank, 0 the highest.
    pub rank: u64,
    /// Services with their weights.
    pub split: Vec<(String, u64)>,
    /// Most servers that one request is sent to.
    pub max_attempts: u64,
    /// Whether it serves requests without a key.
    pub public: bool,
}

/// A service as written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawService {
    /// Its name.
    pub name: String,
    /// Connections that one of its servers accepts from all callers together; 0 for any number.
    pub connections: u64,
    /// Whether its servers generate tokens in batches.
    pub generates_tokens: bool,
}

/// A client account as written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawAccount {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Rank of its requests, which goes before the route's.
    pub rank: Option<u64>,
    /// What its quota counts.
    pub unit: Unit,
    /// Units a second; 0 for no quota.
    pub rate: u64,
    /// Units that may be used at once.
    pub burst: u64,
    /// Tokens that a request without a count stands for.
    pub plain_tokens: u64,
}

/// Limits on what callers send, as written; 0 stands for the default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RawLimits {
    /// Longest head in bytes.
    pub header_bytes: u64,
    /// Longest body in bytes.
    pub body_bytes: u64,
    /// Longest time for a head, in milliseconds.
    pub header_ms: u64,
    /// Longest time between two requests of a connection, in milliseconds.
    pub idle_ms: u64,
}

/// A plan as written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawPlan {
    /// Its version; the highest is in force.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RawRoute>,
    /// Services.
    pub services: Vec<RawService>,
    /// Client accounts; if there are none, requests need no key.
    pub accounts: Vec<RawAccount>,
    /// Limits on what callers send.
    pub limits: RawLimits,
}
