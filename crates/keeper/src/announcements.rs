//! Announcements of backend servers: merging them into the registry, forwarding them to the other
//! control VMs, and confirming departures.
//!
//! A departure is acknowledged only when a majority of the voters stores it, so that it survives
//! the loss of this VM. Other announcements need no confirmation; they are forwarded at once if
//! they changed the registry, otherwise periodically.

use model::{ServerId, Span, VmName};

use crate::{
    calls::HOLD_RESEND,
    machine::{Change, Keeper},
    registry::{MergeResult, Server},
    wire::{AgedServer, Answer, Message},
};

impl Keeper {
    /// Merges an announcement that was received `age` ago, and reports a change.
    pub(crate) fn merge_server(&mut self, age: Span, server: Server) -> MergeResult {
        let result = self.registry.merge(self.now, age, &server);
        match result {
            MergeResult::Changed => self.report(Change::Server(server)),
            // Another writer may repeat its announcements for as long as the process runs.
            MergeResult::Contradicted(count) if count.is_power_of_two() => {
                self.report(Change::Contradicted { server, count });
            }
            MergeResult::Contradicted(_) | MergeResult::Unchanged => {}
        }
        result
    }

    /// Answers the call once a majority of the voters stores the server's announcement.
    pub(crate) fn await_majority(&mut self, call_id: u64, id: ServerId) {
        self.calls.add_hold(self.now, call_id, id, self.setup.vm.clone());
        self.send_hold(call_id);
        self.answer_hold(call_id);
    }

    pub(crate) fn send_hold(&mut self, call_id: u64) {
        let Some(pending) = self.calls.holds.get(&call_id) else {
            return;
        };
        let Some(server) = self.registry.get(&pending.server).cloned() else {
            return;
        };
        let announced = AgedServer { server, age: Span::ZERO };
        let receivers: Vec<VmName> =
            self.contacts.keys().filter(|vm| !pending.confirmed.contains(*vm)).cloned().collect();
        for vm in receivers {
            let servers = vec![announced.clone()];
            self.send(vm, Message::Hold { token: Some(call_id), servers });
        }
    }

    pub(crate) fn resend_holds(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for (call_id, pending) in &mut self.calls.holds {
            if now >= pending.resend_at {
                pending.resend_at = now + HOLD_RESEND;
                due.push(*call_id);
            }
        }
        for call_id in due {
            self.send_hold(call_id);
        }
    }

    /// Answers the call if a majority of the voters has confirmed the announcement.
    pub(crate) fn answer_hold(&mut self, call_id: u64) {
        let Some(pending) = self.calls.holds.get(&call_id) else {
            return;
        };
        let voters = self.replica.raft().map(|r| r.voters().clone()).unwrap_or_default();
        let confirmed = voters.iter().filter(|m| pending.confirmed.contains(&m.vm)).count();
        if confirmed > voters.len() / 2 {
            self.calls.holds.remove(&call_id);
            self.reply(call_id, Answer::Done { version: 0 });
        }
    }

    /// Forwards the announcements received here since the last call to the other control VMs.
    pub(crate) fn forward_updates(&mut self) {
        if self.unforwarded.is_empty() {
            return;
        }
        let unforwarded = std::mem::take(&mut self.unforwarded);
        let servers =
            self.registry.with_ages(self.now).filter(|(s, _)| unforwarded.contains(&s.id));
        let servers: Vec<AgedServer> =
            servers.map(|(server, age)| AgedServer { server, age }).collect();
        for vm in self.contacts.keys().cloned().collect::<Vec<_>>() {
            self.send(vm, Message::Hold { token: None, servers: servers.clone() });
        }
    }
}
