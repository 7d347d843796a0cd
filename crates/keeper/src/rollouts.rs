//! Orders of rollouts: accepting them, collecting what entry VMs report, and moving them on.
//!
//! The orders are part of the replicated state. What entry VMs report is kept by every control VM as
//! long as it runs, so that a VM that becomes the leader can judge at once. After a restart, entry VMs
//! report all of it again.

use std::{
    collections::{BTreeMap, BTreeSet, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
};

use model::{ServiceName, Span, Time, VersionName, VmName};
use rollout::{
    Admission, Command, Evidence, Judge, Order, Phase, Progress, Rollout, Rollouts, Verdict,
};

use crate::{
    machine::{Change, Keeper, PEER_TIMEOUT},
    plan,
    registry::{self, ServerStatus},
    wire::{Answer, OrderProgress, Sync},
};

/// Interval at which open orders are judged: a small part of the time within which a bad version must
/// get no more requests.
const JUDGE_INTERVAL: Span = Span::from_millis(100);
/// Time after which a command that is not in force is proposed again: several round trips between
/// control VMs.
const PROPOSE_INTERVAL: Span = Span::from_millis(500);
/// Time for which all entry VMs must have moved before old servers may be stopped. A grant of an old
/// server may be on its way to an entry VM that has none in flight.
const MOVED_TIME: Span = Span::from_millis(500);

/// What is known here of one open order.
#[derive(Debug)]
struct Trial {
    evidence: Evidence,
    judge: Judge,
    verdict: Verdict,
    /// Whether answers were reported since the last judgement.
    has_news: bool,
    /// Time from which this process knows the order.
    known_at: Time,
    /// Time from which all entry VMs have moved.
    moved_at: Option<Time>,
    /// Time of the last proposal for the order.
    proposed_at: Option<Time>,
}

impl Trial {
    fn new(now: Time) -> Self {
        Self {
            evidence: Evidence::default(),
            judge: Judge::default(),
            verdict: Verdict::Undecided,
            has_news: false,
            known_at: now,
            moved_at: None,
            proposed_at: None,
        }
    }
}

/// What this process knows of the orders beside the replicated state.
#[derive(Debug, Default)]
pub(crate) struct Trials {
    /// By number of the order.
    open: BTreeMap<u64, Trial>,
    /// What each entry VM reported last, with the incarnation of its process.
    progress: BTreeMap<VmName, (u64, Vec<OrderProgress>)>,
    /// The orders in force when changes were reported last.
    latest: Vec<Rollout>,
    /// Digest of `latest`; 0 if there are none.
    digest: u64,
    judge_at: Time,
}

impl Trials {
    /// Returns a digest of the latest orders of all services; 0 if there are none.
    pub(crate) fn orders_digest(&self) -> u64 {
        self.digest
    }
}

impl Keeper {
    /// Returns the Unix time in milliseconds.
    fn unix_ms(&self) -> u64 {
        self.setup.epoch_ms + self.now.as_micros() / 1_000
    }

    fn rollouts(&self) -> &Rollouts {
        &self.replica.state().rollouts
    }

    /// Answers an order that was accepted before, also if it could not be accepted now: the answer to
    /// its first call may have been lost.
    pub(crate) fn on_start_rollout(&mut self, call_id: u64, order: Order, is_listed: bool) {
        if !self.replica.is_current(self.now) {
            let answer = self.redirect();
            self.reply(call_id, answer);
            return;
        }
        let at_ms = self.unix_ms();
        let answer = match self.rollouts().check(at_ms, &order) {
            Admission::Known => Answer::Done { version: 0 },
            Admission::Conflict(other) => Answer::Conflict(other),
            Admission::New if !self.setup.takes_orders => {
                Answer::Rejected("the settings of this deployment have no bounds for rollouts")
            }
            Admission::New if !is_listed => Answer::Rejected("the plan has no such service"),
            Admission::New if self.runs_only(&order) => {
                Answer::Rejected("all servers of the service run this version already")
            }
            Admission::New => {
                let command = Command::Start { order: order.clone(), at_ms };
                if self.propose_rollout(&command) {
                    self.calls.add_order(self.now, call_id, order, at_ms);
                    return;
                }
                Answer::Unavailable("the log takes no entries now")
            }
        };
        self.reply(call_id, answer);
    }

    /// Returns whether the service has no servers but those of the ordered version. They would get hardly
    /// any requests as a version under trial.
    fn runs_only(&self, order: &Order) -> bool {
        let serves = |listed: &ServerStatus| {
            !listed.silent && listed.server.phase == registry::Phase::Serving
        };
        let live = self.registry.list().filter(serves).map(|listed| listed.server);
        let versions: BTreeSet<Option<VersionName>> =
            live.filter(|s| s.service == order.service).map(|server| server.version).collect();
        versions == BTreeSet::from([Some(order.to.clone())])
    }

    pub(crate) fn on_read_rollouts(&mut self, call_id: u64, service: &ServiceName) {
        let answer = if self.replica.is_current(self.now) {
            Answer::Rollouts(self.rollouts().history(service).cloned().collect())
        } else {
            self.redirect()
        };
        self.reply(call_id, answer);
    }

    fn propose_rollout(&mut self, command: &Command) -> bool {
        self.replica.propose(self.now, plan::encode_rollout(command)).is_some()
    }

    /// Answers the calls whose order is in the replicated state, or that another order came before.
    pub(crate) fn answer_orders(&mut self) {
        let rollouts = &self.replica.state().rollouts;
        let mut done = Vec::new();
        self.calls.orders.retain(|call_id, pending| {
            let answer = match rollouts.check(pending.at_ms, &pending.order) {
                Admission::New => return true,
                Admission::Known => Answer::Done { version: 0 },
                Admission::Conflict(other) => Answer::Conflict(other),
            };
            done.push((*call_id, answer));
            false
        });
        for (call_id, answer) in done {
            self.reply(call_id, answer);
        }
    }

    /// Follows changes of the replicated orders.
    pub(crate) fn follow_rollouts(&mut self) {
        let rollouts = &self.replica.state().rollouts;
        if rollouts.latest().eq(&self.trials.latest) {
            return;
        }
        let latest: Vec<Rollout> = rollouts.latest().cloned().collect();
        self.trials.open.retain(|id, _| !rollouts.has_ended(*id));
        for rollout in latest.iter().filter(|r| r.phase.is_open()) {
            self.trials.open.entry(rollout.id).or_insert_with(|| Trial::new(self.now));
        }
        let mut hasher = DefaultHasher::new();
        for Rollout { id, phase, holders, .. } in &latest {
            (id, *phase as u8, holders).hash(&mut hasher);
        }
        self.trials.digest = hasher.finish().max(1);
        let before = std::mem::replace(&mut self.trials.latest, latest.clone());
        let is_known = |r: &Rollout| before.iter().any(|b| (b.id, b.phase) == (r.id, r.phase));
        for rollout in latest.into_iter().filter(|r| !is_known(r)) {
            self.report(Change::Rollout(rollout));
        }
    }

    /// Returns the orders for an entry VM that takes them and does not have them.
    pub(crate) fn orders_for(&self, sync: &Sync) -> Vec<Rollout> {
        let is_due = sync.orders.is_some_and(|known| known != self.trials.digest);
        if is_due { self.trials.latest.clone() } else { Vec::new() }
    }

    /// Merges what an entry VM reports of open orders. It may know an order before this VM does.
    pub(crate) fn merge_reports(&mut self, from: &VmName, sync: &Sync) {
        self.trials.progress.insert(from.clone(), (sync.incarnation, sync.progress.clone()));
        for report in &sync.reports {
            if self.rollouts().has_ended(report.order) {
                continue;
            }
            let trial =
                self.trials.open.entry(report.order).or_insert_with(|| Trial::new(self.now));
            trial.evidence.merge(from, sync.incarnation, report);
            trial.has_news = true;
        }
    }

    /// Judges the open orders and, as the leader, moves them on.
    pub(crate) fn judge_rollouts(&mut self) {
        if self.now < self.trials.judge_at {
            return;
        }
        self.trials.judge_at = self.now + JUDGE_INTERVAL;
        let entry_vms = &self.entry_vms;
        self.trials.progress.retain(|vm, _| entry_vms.contains_key(vm));
        for trial in self.trials.open.values_mut().filter(|t| t.has_news) {
            trial.has_news = false;
            trial.verdict = trial.judge.update(&trial.evidence);
        }
        let leads = self.replica.is_current(self.now);
        let open: Vec<Rollout> =
            self.rollouts().latest().filter(|r| r.phase.is_open()).cloned().collect();
        for rollout in open {
            let progress = self.progress_of(&rollout);
            if leads && let Some(command) = self.next_command(&rollout, &progress) {
                self.propose_next(rollout.id, &command);
            }
        }
    }

    fn progress_of(&mut self, rollout: &Rollout) -> Progress {
        let has_moved = self.have_moved(rollout.id);
        let now = self.now;
        let mut elapsed = Span::from_millis(self.unix_ms().saturating_sub(rollout.at_ms));
        let mut progress = Progress { elapsed, verdict: Verdict::Undecided, has_moved: false };
        if let Some(trial) = self.trials.open.get_mut(&rollout.id) {
            trial.moved_at = if has_moved { trial.moved_at.or(Some(now)) } else { None };
            progress.has_moved = trial.moved_at.is_some_and(|at| now >= at + MOVED_TIME);
            progress.verdict = trial.verdict.clone();
            // The clock of this VM may be behind that of the VM that accepted the order.
            elapsed = elapsed.max(now - trial.known_at);
        }
        Progress { elapsed, ..progress }
    }

    /// Returns whether all entry VMs that poll send requests to the new version only and have none in
    /// flight at others. A VM that has just started does not know all entry VMs.
    fn have_moved(&self, id: u64) -> bool {
        let knows_all = self.started.is_some_and(|at| self.now >= at + PEER_TIMEOUT);
        knows_all
            && !self.entry_vms.is_empty()
            && self.entry_vms.keys().all(|vm| {
                let reported = self.trials.progress.get(vm).map(|(_, orders)| orders);
                reported.into_iter().flatten().any(|progress| {
                    progress.order == id
                        && progress.phase == Phase::Shifting
                        && progress.old_in_flight == 0
                })
            })
    }

    fn next_command(&self, rollout: &Rollout, progress: &Progress) -> Option<Command> {
        let (id, service) = (rollout.id, rollout.order.service.clone());
        if let Some((phase, reason)) = rollout.next_phase(progress) {
            return Some(Command::Advance { service, id, phase, reason });
        }
        if !rollout.has_slack_left() {
            return None;
        }
        let (vm, (incarnation, _)) =
            self.trials.progress.iter().find(|(vm, (process, orders))| {
                !rollout.is_holder(vm, *process)
                    && orders.iter().any(|p| p.order == id && p.is_home)
            })?;
        Some(Command::Allot { service, id, vm: vm.clone(), incarnation: *incarnation })
    }

    /// Proposes a command, unless another one for the order was proposed a short while ago and may not
    /// be in force yet. A rollback does not wait for that.
    fn propose_next(&mut self, id: u64, command: &Command) {
        let now = self.now;
        let is_rollback = matches!(command, Command::Advance { phase: Phase::RolledBack, .. });
        let is_due = |trial: &Trial| {
            is_rollback || trial.proposed_at.is_none_or(|at| now >= at + PROPOSE_INTERVAL)
        };
        if self.trials.open.get(&id).is_some_and(is_due)
            && self.propose_rollout(command)
            && let Some(trial) = self.trials.open.get_mut(&id)
        {
            trial.proposed_at = Some(now);
        }
    }
}
