//! Experiments as TOML files, and the load that they describe.

use std::time::Duration;

use fuchsiausher::{
    LoadRequest, Policy, RequestKind, ServerGroup, TestClusterConfig, account_entry,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Deserialize;
use stand::{Pace, Role};

/// One experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Experiment {
    zones: Vec<String>,
    model: String,
    plain: String,
    deadline_ms: u64,
    engines: Engines,
    services: Services,
    prompt: [u32; 2],
    tokens: [u64; 2],
    prefix_share: f64,
    prefixes: u32,
    prefix_tokens: usize,
    plain_share: f64,
    accounts: Vec<Account>,
    phases: Vec<Phase>,
    #[serde(default)]
    pub(crate) faults: Vec<FaultAt>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Engines {
    count: usize,
    slots: u64,
    prefill_us: u64,
    decode_us: u64,
    cache: usize,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Services {
    count: usize,
    slots: u64,
    latency_us: u64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Account {
    name: String,
    tier: u8,
    share: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Phase {
    seconds: f64,
    rate: f64,
    /// Rate at the end of the phase, if it changes.
    until_rate: Option<f64>,
    #[serde(default)]
    measured: bool,
}

/// Something that happens to a backend server.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FaultAt {
    /// Seconds from the start of the load.
    pub(crate) at_s: f64,
    /// Position of the server.
    pub(crate) server: usize,
    /// How many times slower it works from then on; absent if it dies.
    pub(crate) slowdown: Option<f64>,
}

/// A request and whether it counts.
pub(crate) struct Planned {
    pub(crate) shot: LoadRequest,
    pub(crate) measured: bool,
}

impl Experiment {
    pub(crate) fn read(path: &std::path::Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        toml::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    pub(crate) fn bed(&self, policy: Policy) -> TestClusterConfig {
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

    /// Seconds that count.
    pub(crate) fn measured_s(&self) -> f64 {
        self.phases.iter().filter(|p| p.measured).map(|p| p.seconds).sum()
    }

    /// The whole load: arrivals of a Poisson process with the phases' rates.
    pub(crate) fn plan(&self, seed: u64) -> Vec<Planned> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut planned = Vec::new();
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
                let shot = self.shot(&mut rng, start + at);
                planned.push(Planned { shot, measured: phase.measured });
            }
            start += phase.seconds;
        }
        planned
    }

    fn shot(&self, rng: &mut StdRng, at: f64) -> LoadRequest {
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

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "`as` saturates")]
    fn prompt_length(&self, rng: &mut StdRng) -> usize {
        let [low, high] = self.prompt.map(|p| f64::from(p).ln());
        (low + (high - low) * rng.random::<f64>()).exp() as usize
    }
}
