//! Experiments, which are TOML files, and the load that they describe.
//!
//! An [`Experiment`] states the entry VMs, the backend servers, the client accounts and the rates
//! of a load. With a seed it yields the same requests at the same times in every run.

use std::time::Duration;

use fuchsiausher::{
    LoadRequest, Policy, RequestKind, ServerGroup, TestClusterConfig, account_entry,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Deserialize;
use stand::{Pace, Role};

/// An experiment as its TOML file states it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Experiment {
    /// Availability zone of each entry VM.
    zones: Vec<String>,
    /// Name of the model service.
    model: String,
    /// Name of the plain service.
    plain: String,
    /// Deadline of the first byte of each answer.
    deadline_ms: u64,
    engines: Engines,
    services: Services,
    /// Bounds of the length of a prompt in tokens, which is drawn log-uniformly.
    prompt: [u32; 2],
    /// Bounds of the length of an answer in tokens, which is drawn uniformly.
    tokens: [u64; 2],
    /// Share of the chat requests that begin with a shared prefix.
    prefix_share: f64,
    /// Number of different shared prefixes.
    prefixes: u32,
    /// Length of each shared prefix in tokens.
    prefix_tokens: usize,
    /// Share of the requests that go to the plain service.
    plain_share: f64,
    accounts: Vec<Account>,
    phases: Vec<Phase>,
    #[serde(default)]
    pub(crate) faults: Vec<ServerFault>,
}

/// The servers of the model service: simulated model engines with equal parameters.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Engines {
    count: usize,
    slots: u64,
    prefill_us: u64,
    decode_us: u64,
    /// Number of prompt prefixes that each engine caches.
    cache: usize,
}

/// The servers of the plain service.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Services {
    count: usize,
    slots: u64,
    /// Time that each request takes.
    latency_us: u64,
}

/// A client account that sends requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Account {
    name: String,
    tier: u8,
    /// Share of the requests, relative to the sum over all accounts.
    share: f64,
}

/// A part of the load with its own rate.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Phase {
    seconds: f64,
    /// Requests per second at the start of the phase.
    rate: f64,
    /// Requests per second at the end of the phase, if the rate changes linearly during it.
    until_rate: Option<f64>,
    /// Whether the requests of the phase count in the results.
    #[serde(default)]
    measured: bool,
}

/// A fault of a backend server.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServerFault {
    /// Seconds from the start of the load.
    pub(crate) at_s: f64,
    /// Index of the server: engines come first, then the servers of the plain service.
    pub(crate) server: usize,
    /// Factor by which the server is slower from then on. If it is absent, the server refuses new
    /// connections instead.
    pub(crate) slowdown: Option<f64>,
}

/// A request of the load, and whether it counts in the results.
pub(crate) struct PlannedRequest {
    pub(crate) request: LoadRequest,
    pub(crate) measured: bool,
}

impl Experiment {
    /// Reads an experiment from a TOML file.
    pub(crate) fn read(path: &std::path::Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        toml::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Returns the configuration of a test cluster for this experiment, with one broker policy.
    pub(crate) fn cluster_config(&self, policy: Policy) -> TestClusterConfig {
        let mut config = TestClusterConfig::zones();
        config.zones.clone_from(&self.zones);
        config.policy = policy;
        let Engines { count, slots, prefill_us, decode_us, cache } = self.engines;
        let engines = ServerGroup {
            service: self.model.clone(),
            role: Role::Engine,
            count,
            slots,
            pace: Pace { prefill_us, decode_us },
            cache,
        };
        let services = ServerGroup {
            service: self.plain.clone(),
            role: Role::Plain,
            count: self.services.count,
            slots: self.services.slots,
            pace: Pace { prefill_us: 0, decode_us: self.services.latency_us },
            cache: 0,
        };
        config.groups = vec![engines, services];
        let services = [self.model.as_str(), self.plain.as_str()];
        let entries = self.accounts.iter().map(|a| account_entry(&a.name, a.tier, &services));
        config.entries = entries.collect();
        config
    }

    /// Returns the length of the measured phases in seconds.
    pub(crate) fn measured_s(&self) -> f64 {
        self.phases.iter().filter(|p| p.measured).map(|p| p.seconds).sum()
    }

    /// Returns all requests of the load, whose arrivals are a Poisson process with the rates of the
    /// phases.
    pub(crate) fn generate_load(&self, seed: u64) -> Vec<PlannedRequest> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut requests = Vec::new();
        let mut start = 0.0;
        for phase in &self.phases {
            let mut at = 0.0;
            loop {
                let end = phase.until_rate.unwrap_or(phase.rate);
                let rate = phase.rate + (end - phase.rate) * at / phase.seconds;
                at += -(1.0 - rng.random::<f64>()).ln() / rate;
                if at >= phase.seconds {
                    break;
                }
                let request = self.random_request(&mut rng, start + at);
                requests.push(PlannedRequest { request, measured: phase.measured });
            }
            start += phase.seconds;
        }
        requests
    }

    /// Draws the account and the content of a request that is sent `at` seconds after the start.
    fn random_request(&self, rng: &mut StdRng, at: f64) -> LoadRequest {
        let mut draw = rng.random::<f64>() * self.accounts.iter().map(|a| a.share).sum::<f64>();
        let account = self.accounts.iter().find(|a| {
            draw -= a.share;
            draw <= 0.0
        });
        let account = account.unwrap_or(&self.accounts[0]);
        let kind = if rng.random_bool(self.plain_share) {
            RequestKind::Read { service: self.plain.clone() }
        } else {
            let prefix = rng
                .random_bool(self.prefix_share)
                .then(|| (self.prefix_tokens, rng.random_range(0..self.prefixes)));
            RequestKind::Chat {
                model: self.model.clone(),
                prefix,
                prompt: self.prompt_length(rng),
                tokens: rng.random_range(self.tokens[0]..=self.tokens[1]),
            }
        };
        LoadRequest {
            offset: Duration::from_secs_f64(at),
            account: account.name.clone(),
            tier: account.tier,
            deadline: Duration::from_millis(self.deadline_ms),
            kind,
        }
    }

    /// Draws the length of a prompt in tokens, log-uniformly.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "`as` saturates")]
    fn prompt_length(&self, rng: &mut StdRng) -> usize {
        let [low, high] = self.prompt.map(|p| f64::from(p).ln());
        (low + (high - low) * rng.random::<f64>()).exp() as usize
    }
}
