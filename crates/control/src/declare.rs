//! Operators' declarations about backend servers, and who holds them.

use std::collections::BTreeSet;

use model::{Duty, Mark, ServerId, Span, VmName, ZoneName};
use state::Command;

use crate::{
    event::{Answer, LogEvent, Output},
    machine::Machine,
    wire::Message,
};

/// Interval at which declarations are proposed that the replicated state does not keep.
const KEEP_INTERVAL: Span = Span::from_millis(100);
/// Number of proposals that nobody waits for; real ones count from 1.
const UNASKED: u64 = 0;

impl Machine {
    pub(crate) fn on_mark(&mut self, call: u64, server: &ServerId, duty: Duty, force: bool) {
        let known = self.marks.get(server).and_then(|m| m.zone.clone());
        let zone = self.brokers.zone_of(server).cloned().or(known);
        let holders = self.holders(zone.as_ref());
        let (live, dead): (BTreeSet<VmName>, BTreeSet<VmName>) =
            holders.into_iter().partition(|vm| self.members.is_live(vm));
        if !dead.is_empty() && !force {
            let names: Vec<_> = dead.iter().map(ToString::to_string).collect();
            let why = format!(
                "{} may still grant {server} and cannot be told; try again, or use force",
                names.join(", ")
            );
            self.out.push(Output::Reply { call, answer: Answer::Refused { why } });
            return;
        }
        let mark = Mark { version: self.marks.next_version(), duty, zone };
        self.take_mark(server.clone(), mark.clone());
        self.tokens += 1;
        let token = self.tokens;
        let me = self.members.me.clone();
        let missing: BTreeSet<VmName> =
            live.into_iter().filter(|vm| *vm != me).chain(dead).collect();
        let known = (server.clone(), mark.clone());
        self.marks.wait(self.clock.now, (token, call), known, [me].into(), missing);
        let others: Vec<VmName> = self.members.live().map(|(vm, _)| vm.clone()).collect();
        for vm in others {
            let marks = vec![(server.clone(), mark.clone())];
            self.send(vm, Message::Marks { token: Some(token), marks });
        }
        self.tick_marks();
    }

    /// VMs that may grant a server: those of its zone, or all if the zone is not known.
    pub(crate) fn holders(&self, zone: Option<&ZoneName>) -> BTreeSet<VmName> {
        match zone {
            Some(zone) => self.members.of_zone(zone),
            None => self.members.zones().iter().flat_map(|z| self.members.of_zone(z)).collect(),
        }
    }

    pub(crate) fn take_mark(&mut self, server: ServerId, mark: Mark) {
        let duty = mark.duty;
        if self.marks.merge(server.clone(), mark) {
            self.brokers.mark(&server, &self.marks);
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
            self.take_mark(server, mark);
        }
        if let Some(token) = token {
            self.send(from.clone(), Message::MarksHeld { token });
        }
        if self.marks.digest() != known {
            self.beat();
        }
    }

    /// Answers operators, and as leader keeps declarations in the replicated state.
    pub(crate) fn tick_marks(&mut self) {
        let now = self.clock.now;
        let in_quorum = self.shared.in_quorum(now);
        let kept = self.shared.state().marks().clone();
        for (call, answer) in self.marks.answers(now, &kept, in_quorum) {
            self.out.push(Output::Reply { call, answer });
        }
        if self.shared.leads() && now >= self.keep_at {
            self.keep_at = now + KEEP_INTERVAL;
            for (server, mark) in self.marks.unkept(&kept) {
                let me = self.members.me.clone();
                self.append(me, self.incarnation, UNASKED, Command::Mark { server, mark });
            }
        }
    }

    /// Takes declarations that the replicated state keeps.
    pub(crate) fn take_kept_marks(&mut self) {
        let kept = self.shared.state().marks();
        let newer = kept.iter().filter(|(s, m)| self.marks.get(s).is_none_or(|own| own < *m));
        let newer: Vec<_> = newer.map(|(s, m)| (s.clone(), m.clone())).collect();
        for (server, mark) in newer {
            self.take_mark(server, mark);
        }
    }
}
