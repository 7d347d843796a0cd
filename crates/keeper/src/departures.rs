//! Announcements of backend servers, and departures that must survive this VM.

use model::{ServerId, Span, VmName};

use crate::{
    calls::HOLD_RESEND,
    machine::{Change, Keeper},
    registry::{MergeResult, Server},
    wire::{AgedServer, Answer, Message},
};

impl Keeper {
    pub(crate) fn note(&mut self, age: Span, server: Server) -> MergeResult {
        let taken = self.registry.merge(self.now, age, &server);
        if taken == MergeResult::Changed {
            self.log(Change::Server(server));
        }
        taken
    }

    /// Waits until a majority of the control VMs that vote holds what a server said.
    pub(crate) fn hold(&mut self, call_id: u64, id: ServerId) {
        self.calls.hold(self.now, call_id, id, self.setup.vm.clone());
        self.send_hold(call_id);
        self.answer_hold(call_id);
    }

    pub(crate) fn send_hold(&mut self, call_id: u64) {
        let Some(holding) = self.calls.holding.get(&call_id) else {
            return;
        };
        let Some(server) = self.registry.get(&holding.server).cloned() else {
            return;
        };
        let seen = AgedServer { server, age: Span::ZERO };
        let to: Vec<VmName> =
            self.known.keys().filter(|vm| !holding.held.contains(*vm)).cloned().collect();
        for vm in to {
            let servers = vec![seen.clone()];
            self.send(vm, Message::Hold { token: Some(call_id), servers });
        }
    }

    pub(crate) fn resend_holds(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for (call_id, holding) in &mut self.calls.holding {
            if now >= holding.resend {
                holding.resend = now + HOLD_RESEND;
                due.push(*call_id);
            }
        }
        for call_id in due {
            self.send_hold(call_id);
        }
    }

    pub(crate) fn answer_hold(&mut self, call_id: u64) {
        let Some(holding) = self.calls.holding.get(&call_id) else {
            return;
        };
        let voters = self.copy.raft().map(|r| r.voters().clone()).unwrap_or_default();
        let held = voters.iter().filter(|m| holding.held.contains(&m.vm)).count();
        if held > voters.len() / 2 {
            self.calls.holding.remove(&call_id);
            self.reply(call_id, Answer::Done { version: 0 });
        }
    }

    /// Passes servers that were heard here on to the other control VMs.
    pub(crate) fn pass_on(&mut self) {
        if self.fresh.is_empty() {
            return;
        }
        let fresh = std::mem::take(&mut self.fresh);
        let seen = self.registry.with_ages(self.now).filter(|(s, _)| fresh.contains(&s.id));
        let servers: Vec<AgedServer> =
            seen.map(|(server, age)| AgedServer { server, age }).collect();
        for vm in self.known.keys().cloned().collect::<Vec<_>>() {
            self.send(vm, Message::Hold { token: None, servers: servers.clone() });
        }
    }
}
