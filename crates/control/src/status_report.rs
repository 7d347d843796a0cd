//! Builds the status of this VM for operators.

use crate::{
    machine::Machine,
    status::{PeerStatus, ServerStatus, Status},
};

impl Machine {
    pub(crate) fn status(&self) -> Status {
        let state = self.log.state();
        let raft = self.log.raft();
        let peers = self.members.peers().map(|(vm, peer)| PeerStatus {
            vm: vm.clone(),
            zone: peer.zone.clone(),
            live: self.members.is_live(vm),
            revision: self.members.revision(vm),
        });
        Status {
            vm: self.members.me.clone(),
            zone: self.members.zone.clone(),
            contact: self.contact,
            ready: self.published.is_some_and(|(_, ready, _)| ready),
            draining: self.members.draining,
            revision: state.catalogue().revision(),
            leader: self.log.leader().cloned(),
            term: raft.map_or(0, raft::Raft::term),
            commit: raft.map_or(0, raft::Raft::commit_index),
            voters: raft
                .map_or(Vec::new(), |r| r.voters().iter().map(ToString::to_string).collect()),
            claims: state.claim_count(),
            open: self.requests.len(),
            held: self.account_limits.held_count(),
            running: self.brokers.hosted().map(|(_, b)| b.summary().running).sum(),
            waiting: self.brokers.hosted().map(|(_, b)| b.summary().waiting).sum(),
            peers: peers.collect(),
            servers: self.server_status(),
        }
    }

    pub(crate) fn server_status(&self) -> Vec<ServerStatus> {
        let mut servers = Vec::new();
        for (_, broker) in self.brokers.hosted() {
            for (announcement, duty, running, slowness) in broker.summary().servers {
                let id = announcement.id.clone();
                let announcement = Some(announcement);
                servers.push(ServerStatus { id, duty, announcement, running, slowness });
            }
        }
        for (id, mark) in self.marks.all() {
            if servers.iter().all(|s| s.id != *id) {
                let (id, duty) = (id.clone(), mark.duty);
                servers.push(ServerStatus {
                    id,
                    duty,
                    announcement: None,
                    running: 0,
                    slowness: 1.0,
                });
            }
        }
        servers
    }
}
