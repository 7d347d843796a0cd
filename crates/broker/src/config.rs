//! Configuration of a broker: routing policy, queue limit and the baselines for comparisons.

use std::fmt;

use model::VmName;

use crate::route::{Predicted, Router};

/// Default limit of waiting tickets per broker.
const MAX_WAITING: usize = 100_000;
/// Number of prompt prefix hashes remembered for a backend server that announces no number.
const PREFIXES_PER_SERVER: usize = 512;

/// Settings from which a [`Broker`](crate::Broker) is built.
///
/// # Examples
///
/// ```
/// use broker::{Broker, Config, RoundRobin};
///
/// let broker = Broker::new(Config::default().router(RoundRobin::default()).max_waiting(10));
/// assert_eq!(broker.summary().waiting, 0);
/// ```
pub struct Config {
    pub(crate) router: Box<dyn Router>,
    pub(crate) max_waiting: usize,
    pub(crate) max_prefixes: usize,
    pub(crate) ordered: bool,
    pub(crate) windowed: bool,
    pub(crate) vm: Option<VmName>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            router: Box::new(Predicted),
            max_waiting: MAX_WAITING,
            max_prefixes: PREFIXES_PER_SERVER,
            ordered: true,
            windowed: true,
            vm: None,
        }
    }
}

impl fmt::Debug for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Config").field("max_waiting", &self.max_waiting).finish_non_exhaustive()
    }
}

impl Config {
    /// Sets the router that chooses a server for tickets with a hard deadline.
    #[must_use]
    pub fn router(mut self, router: impl Router + 'static) -> Self {
        self.router = Box::new(router);
        self
    }

    /// Limits the queue to `n` waiting tickets. Beyond it, the last ticket of the lowest tier is
    /// declined.
    #[must_use]
    pub fn max_waiting(mut self, n: usize) -> Self {
        self.max_waiting = n;
        self
    }

    /// Sets whether tickets are queued by tier. If not, they are served first come, first served,
    /// as a baseline for comparisons.
    #[must_use]
    pub fn ordered(mut self, ordered: bool) -> Self {
        self.ordered = ordered;
        self
    }

    /// Sets the VM that runs this broker. Needed if brokers of other VMs grant the same servers.
    #[must_use]
    pub fn vm(mut self, vm: VmName) -> Self {
        self.vm = Some(vm);
        self
    }

    /// Sets whether a server gets at most as many requests at once as it announces slots. If not,
    /// all tickets are granted on arrival, as a baseline for comparisons.
    #[must_use]
    pub fn windowed(mut self, windowed: bool) -> Self {
        self.windowed = windowed;
        self
    }
}
