//! The servers and entry VMs of the region, merged from the lists of all control VMs.

use std::collections::{BTreeMap, BTreeSet};

use keeper::{MergeResult, Phase, Registry, Server, ServerStatus, Synced};
use model::{Announcement, Fencing, Kind, ServerId, Span, Time, VmName, ZoneName};

use crate::scheduler::Fleet;

/// Time since the last answer of a control VM after which its list of servers is ignored.
const REPORT_TIMEOUT: Span = Span::from_millis(2_500);
/// Time, while control VMs answer, since one last listed an entry VM after which that VM is forgotten.
/// It is long because the VM may still run behind a network partition and go on using its share of the
/// quotas.
const ENTRY_TIMEOUT: Span = Span::from_secs(15);
/// Longest time between two answers of control VMs that counts towards [`ENTRY_TIMEOUT`]. They answer
/// every 300 ms when nothing changes; without answers, a VM that is not listed may still run.
const MAX_ANSWER_GAP: Span = Span::from_millis(1_000);
/// Time for which a server that left is kept. Control VMs drop one after 120 s without telling.
const GONE_RETENTION: Span = Span::from_secs(120);
/// Time for which a server whose announcements have stopped is kept. Control VMs drop one after 300 s
/// without telling.
const SILENT_RETENTION: Span = Span::from_secs(300);

/// Time to live of an offered server. It is long because a server is withdrawn explicitly.
const OFFER_TTL: Span = Span::from_secs(3_600);

/// The last lists that one control VM reported.
#[derive(Debug, Default)]
struct ControlReport {
    registry: (u64, u64),
    /// Digest of the entry VMs and control VMs that it listed last.
    members: u64,
    entries: Vec<(VmName, ZoneName)>,
    /// Servers, each with the time of its last change.
    servers: BTreeMap<ServerId, (ServerStatus, Time)>,
    last_seen: Time,
}

impl ControlReport {
    /// Removes the servers that the control VM has removed by now.
    fn expire(&mut self, now: Time) {
        self.servers.retain(|_, (listed, changed_at)| {
            let is_gone = listed.server.phase == Phase::Gone;
            let retention = if is_gone { GONE_RETENTION } else { SILENT_RETENTION };
            !(is_gone || listed.silent) || now < *changed_at + retention
        });
    }
}

#[derive(Debug)]
struct Entry {
    zone: ZoneName,
    /// Value of [`Cluster::contact`] when a control VM last listed it.
    listed_at: Span,
}

/// What an entry VM knows of the region from the answers of control VMs.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeSet;
///
/// use keeper::Synced;
/// use model::Time;
/// use relay::Cluster;
///
/// let mut cluster = Cluster::new("10.0.0.1".try_into()?, "zone-a".try_into()?);
/// let entries = vec![("10.0.0.2".try_into()?, "zone-b".try_into()?)];
/// let answer = Synced { entries, members: 7, ..Synced::unknown() };
/// let now = Time::from_micros(1_000_000);
/// let fleet = cluster.apply(now, &"10.1.0.1".try_into()?, answer, &BTreeSet::new());
/// assert_eq!(fleet.map(|fleet| fleet.entries.len()), Some(2));
/// # Ok::<(), model::Error>(())
/// ```
#[derive(Debug)]
pub struct Cluster {
    vm: VmName,
    zone: ZoneName,
    reports: BTreeMap<VmName, ControlReport>,
    registry: Registry,
    contradictions: Vec<(Server, u32)>,
    entries: BTreeMap<VmName, Entry>,
    /// Time for which control VMs have answered.
    contact: Span,
    last_answer: Option<Time>,
}

impl Cluster {
    /// Creates the state of a VM that no control VM has answered yet.
    #[must_use]
    pub fn new(vm: VmName, zone: ZoneName) -> Self {
        Self {
            vm,
            zone,
            reports: BTreeMap::new(),
            registry: Registry::default(),
            contradictions: Vec::new(),
            entries: BTreeMap::new(),
            contact: Span::ZERO,
            last_answer: None,
        }
    }

    /// Returns the version of the registry and the digest of the members that a control VM reported
    /// last.
    #[must_use]
    pub fn reported(&self, control: &VmName) -> ((u64, u64), u64) {
        self.reports.get(control).map_or(((0, 0), 0), |report| (report.registry, report.members))
    }

    /// Applies the answer of a control VM. `live` are the entry VMs that this one hears of; they stay
    /// known although no control VM lists them. Returns the servers and entry VMs if they changed.
    pub fn apply(
        &mut self,
        now: Time,
        control: &VmName,
        synced: Synced,
        live: &BTreeSet<VmName>,
    ) -> Option<Fleet> {
        let changed = self.apply_servers(now, control, &synced);
        let is_new = self.apply_entries(now, control, synced, live);
        (changed || is_new).then(|| self.fleet(now))
    }

    fn apply_servers(&mut self, now: Time, control: &VmName, synced: &Synced) -> bool {
        let report = self.reports.entry(control.clone()).or_default();
        report.last_seen = now;
        if report.registry.0 != synced.registry.0 {
            report.servers.clear();
        }
        report.registry = synced.registry;
        for listed in &synced.servers {
            report.servers.insert(listed.server.id.clone(), (listed.clone(), now));
        }
        !synced.servers.is_empty()
    }

    fn apply_entries(
        &mut self,
        now: Time,
        control: &VmName,
        synced: Synced,
        live: &BTreeSet<VmName>,
    ) -> bool {
        let gap = self.last_answer.map_or(Span::ZERO, |at| now - at);
        self.contact = self.contact + gap.min(MAX_ANSWER_GAP);
        self.last_answer = Some(now);
        let report = self.reports.entry(control.clone()).or_default();
        if synced.members == 0 || synced.members != report.members {
            (report.members, report.entries) = (synced.members, synced.entries);
        }
        let listed_at = self.contact;
        let mut changed = false;
        for (vm, zone) in &report.entries {
            let entry = Entry { zone: zone.clone(), listed_at };
            let before = self.entries.insert(vm.clone(), entry);
            changed |= before.is_none_or(|before| before.zone != *zone);
        }
        let count = self.entries.len();
        self.entries
            .retain(|vm, entry| listed_at < entry.listed_at + ENTRY_TIMEOUT || live.contains(vm));
        changed || count != self.entries.len()
    }

    /// Merges the lists of all control VMs, with the latest state of each server. A server counts
    /// as silent only if no control VM has received announcements of it recently.
    fn fleet(&mut self, now: Time) -> Fleet {
        let mut announced: BTreeSet<(ServerId, u64)> = BTreeSet::new();
        self.reports.values_mut().for_each(|report| report.expire(now));
        for report in self.reports.values().filter(|s| now < s.last_seen + REPORT_TIMEOUT) {
            for (listed, _) in report.servers.values() {
                let server = &listed.server;
                if !listed.silent {
                    announced.insert((server.id.clone(), server.born));
                }
                let result = self.registry.merge(now, Span::ZERO, server);
                // Each list repeats it, so only some are returned.
                if let MergeResult::Contradicted(count) = result
                    && count.is_power_of_two()
                {
                    self.contradictions.push((server.clone(), count));
                }
            }
        }
        self.registry.expire(now, REPORT_TIMEOUT);
        let listed = self.registry.list().map(|l| l.server);
        let servers = listed.map(|server| {
            let silent = server.phase < Phase::Gone
                && !announced.contains(&(server.id.clone(), server.born));
            (server, silent)
        });
        let others = self.entries.iter().map(|(vm, entry)| (vm.clone(), entry.zone.clone()));
        let entries = others.chain([(self.vm.clone(), self.zone.clone())]).collect();
        Fleet { servers: servers.collect(), entries }
    }

    /// Returns listed servers that contradict what is known of their process, to be logged, each with
    /// the number of times so far.
    #[must_use]
    pub fn take_contradictions(&mut self) -> Vec<(Server, u32)> {
        std::mem::take(&mut self.contradictions)
    }

    /// Returns the number of servers that are kept, in the list of each control VM and in all.
    #[must_use]
    pub fn kept_servers(&self) -> usize {
        let reported: usize = self.reports.values().map(|report| report.servers.len()).sum();
        reported + self.registry.list().count()
    }
}

/// Returns a listed server as it is offered to the brokers.
pub(crate) fn announcement(server: &Server, kind: Kind) -> Announcement {
    Announcement {
        id: server.id.clone(),
        service: server.service.clone(),
        kind,
        address: server.address,
        slots: server.slots,
        generation: 0,
        fencing: Fencing::Ignores,
        ttl: OFFER_TTL,
        load: 0,
        prefixes: None,
    }
}
