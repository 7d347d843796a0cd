//! Sets the duty of backend servers: exchanges marks with other VMs and replicates them.
//!
//! An operator is answered after every VM that may grant the server has confirmed the mark and
//! the replicated state holds it, or after a timeout.

use std::collections::BTreeSet;

use model::{Duty, Mark, ServerId, Span, VmName, ZoneName};
use state::Command;

use crate::{
    event::{Answer, LogEvent, Output},
    machine::Machine,
    wire::Message,
};

/// Interval at which the leader proposes marks that are newer than the replicated ones.
const REPLICATE_INTERVAL: Span = Span::from_millis(100);
/// Token of commands without a waiting call; the tokens of calls start at 1.
const NO_CALL: u64 = 0;

impl Machine {
    pub(crate) fn on_mark(&mut self, call: u64, server: &ServerId, duty: Duty, force: bool) {
        let known = self.marks.get(server).and_then(|m| m.zone.clone());
        let zone = self.brokers.zone_of(server).cloned().or(known);
        let holders = self.granting_vms(zone.as_ref());
        let (live, unreachable): (BTreeSet<VmName>, BTreeSet<VmName>) =
            holders.into_iter().partition(|vm| self.members.is_live(vm));
        if !unreachable.is_empty() && !force {
            let names: Vec<_> = unreachable.iter().map(ToString::to_string).collect();
            let why = format!(
                "{} may still grant {server} and cannot be told; try again, or use force",
                names.join(", ")
            );
            self.out.push(Output::Reply { call, answer: Answer::Refused { why } });
            return;
        }
        let mark = Mark { version: self.marks.next_version(), duty, zone };
        self.merge_mark(server.clone(), mark.clone());
        self.last_token += 1;
        let token = self.last_token;
        let me = self.members.me.clone();
        let missing: BTreeSet<VmName> =
            live.into_iter().filter(|vm| *vm != me).chain(unreachable).collect();
        let known = (server.clone(), mark.clone());
        self.marks.await_holders(self.clock.now, (token, call), known, [me].into(), missing);
        let others: Vec<VmName> = self.members.live_peers().map(|(vm, _)| vm.clone()).collect();
        for vm in others {
            let marks = vec![(server.clone(), mark.clone())];
            self.send(vm, Message::Marks { token: Some(token), marks });
        }
        self.tick_marks();
    }

    /// Returns the VMs that may grant a server: those of its zone, or all if the zone is unknown.
    pub(crate) fn granting_vms(&self, zone: Option<&ZoneName>) -> BTreeSet<VmName> {
        match zone {
            Some(zone) => self.members.vms_in_zone(zone),
            None => self.members.zones().iter().flat_map(|z| self.members.vms_in_zone(z)).collect(),
        }
    }

    pub(crate) fn merge_mark(&mut self, server: ServerId, mark: Mark) {
        let duty = mark.duty;
        if self.marks.merge(server.clone(), mark) {
            self.brokers.update_duty(&server, &self.marks);
            self.out.push(Output::Log(LogEvent::Marked(server, duty)));
        }
    }

    pub(crate) fn on_marks(
        &mut self,
        from: &VmName,
        token: Option<u64>,
        marks: Vec<(ServerId, Mark)>,
    ) {
        let known = self.marks.digest();
        for (server, mark) in marks {
            self.merge_mark(server, mark);
        }
        if let Some(token) = token {
            self.send(from.clone(), Message::MarksHeld { token });
        }
        if self.marks.digest() != known {
            self.broadcast_heartbeat();
        }
    }

    /// Answers operators, and as leader proposes marks for the replicated state.
    pub(crate) fn tick_marks(&mut self) {
        let now = self.clock.now;
        let in_quorum = self.log.in_quorum(now);
        let replicated = self.log.state().marks().clone();
        for (call, answer) in self.marks.take_answers(now, &replicated, in_quorum) {
            self.out.push(Output::Reply { call, answer });
        }
        if self.log.leads() && now >= self.replicate_marks_at {
            self.replicate_marks_at = now + REPLICATE_INTERVAL;
            for (server, mark) in self.marks.newer_than(&replicated) {
                let me = self.members.me.clone();
                self.append(me, self.incarnation, NO_CALL, Command::Mark { server, mark });
            }
        }
    }

    /// Merges the marks of the replicated state that are newer than those held here.
    pub(crate) fn merge_replicated_marks(&mut self) {
        let replicated = self.log.state().marks();
        let newer = replicated.iter().filter(|(s, m)| self.marks.get(s).is_none_or(|own| own < *m));
        let newer: Vec<_> = newer.map(|(s, m)| (s.clone(), m.clone())).collect();
        for (server, mark) in newer {
            self.merge_mark(server, mark);
        }
    }
}
