//! What this VM learns of the versions of servers from their answers.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use keeper::Server;
use meters::Meters;
use model::{ServerId, ServiceName, Span, VersionName};
use rollout::{Answer, Cell, Collector, Report, Rollout};

/// The part of the slowness that a server reports below which it is not believed.
const MIN_SLOWNESS: f64 = 0.1;

pub(crate) type SharedTrials = Mutex<Trials>;

/// Counts answers by version while an order of the service is open.
#[derive(Debug)]
pub(crate) struct Trials {
    meters: Arc<Meters>,
    collector: Collector,
    /// Version of each server that announces one, and whether it is cold.
    servers: HashMap<ServerId, (VersionName, bool)>,
    /// Number and version of the open order of each service.
    open: BTreeMap<ServiceName, (u64, VersionName)>,
}

/// The answer of a server to a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observed<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) server: &'a ServerId,
    pub(crate) route: &'a Arc<str>,
    /// Number of tokens of the prompt.
    pub(crate) prompt: u64,
    /// Time to the first event, or to the end of an answer that is no stream; `None` if the server
    /// failed.
    pub(crate) time: Option<Span>,
    /// Slowness that the server reported with the answer.
    pub(crate) slowness: Option<f64>,
}

impl Trials {
    pub(crate) fn new(meters: Arc<Meters>) -> Self {
        let (collector, servers) = (Collector::default(), HashMap::new());
        Self { meters, collector, servers, open: BTreeMap::new() }
    }

    /// Sets the servers whose answers are told apart.
    pub(crate) fn set_servers<'a>(&mut self, servers: impl Iterator<Item = &'a Server>) {
        let known = servers.filter_map(|s| Some((s.id.clone(), (s.version.clone()?, s.cold))));
        self.servers = known.collect();
    }

    /// Sets the latest orders of all services.
    pub(crate) fn set_orders<'a>(&mut self, orders: impl Iterator<Item = &'a Rollout>) {
        let open = orders.filter(|rollout| rollout.phase.is_open());
        let open = open.map(|r| (r.order.service.clone(), (r.id, r.order.to.clone())));
        self.open = open.collect();
        self.collector.set_open(self.open.values().map(|(id, _)| *id));
    }

    /// Records an answer. Those of servers that have just started are left out: they say nothing about
    /// the version.
    pub(crate) fn record(&mut self, observed: &Observed<'_>) {
        let Observed { service, server, route, prompt, time, slowness } = *observed;
        let known = self.servers.get(server);
        if let Some((version, _)) = known {
            let seconds = time.map(Span::as_secs_f64);
            self.meters.record_version(service.as_str(), version.as_str(), seconds);
        }
        let Some((order, to)) = self.open.get(service) else {
            return;
        };
        if known.is_some_and(|(_, is_cold)| *is_cold) {
            return;
        }
        let is_new = known.is_some_and(|(version, _)| version == to);
        let cell = Cell::new(Arc::clone(route), prompt, is_new.then(|| server.clone()));
        let answer = time.map_or(Answer::Failed, |time| {
            let slowness = slowness.unwrap_or(1.0).max(MIN_SLOWNESS);
            Answer::Arrived(Span::from_secs_f64(time.as_secs_f64() / slowness))
        });
        self.collector.record(*order, cell, answer);
    }

    /// Returns the counts that changed after a revision, and the present revision.
    pub(crate) fn report(&self, since: u64) -> (u64, Vec<Report>) {
        self.collector.report(since)
    }
}

/// Locks the counts, which stay consistent if a task panics.
pub(crate) fn lock(trials: &SharedTrials) -> MutexGuard<'_, Trials> {
    trials.lock().unwrap_or_else(PoisonError::into_inner)
}
