//! What answers say of the parts of requests that may end servers.

use model::{RequestId, ServerId, Time};
use poison::Suspect;

use super::{OpenRequest, Scheduler};

impl Scheduler {
    /// Records that the answer to a granted request went on for a while. That clears the parts that
    /// it shares with others.
    pub fn answer_went_on(&mut self, now: Time, request: RequestId) {
        self.record_alive(now, request);
        if let Some(open) = self.open.get_mut(&request).filter(|open| !open.went_on) {
            open.went_on = true;
            let shared = open.parts.split_last().map_or(&[][..], |(_, shared)| shared);
            self.detector.record_answer(now, &open.service, shared);
        }
    }

    /// Records that the answer to a granted request is complete, or went on for so long that the
    /// request counts as sound.
    pub fn proved_sound(&mut self, now: Time, request: RequestId) {
        self.answer_went_on(now, request);
        if let Some(open) = self.open.get_mut(&request)
            && let Some(own) = open.parts.last()
        {
            open.is_sound = true;
            self.detector.record_sound(now, &open.service, *own);
        }
    }

    pub(super) fn record_alive(&mut self, now: Time, request: RequestId) {
        if let Some(OpenRequest { service, server: Some(server), .. }) = self.open.get(&request) {
            self.detector.record_alive(now, service, server);
        }
    }

    /// Records that the server of a granted request ended before its answer was complete. That is no
    /// sign against a request that is known to be sound.
    pub fn server_ended(&mut self, now: Time, request: RequestId, server: &ServerId) {
        let open = self.open.get(&request).filter(|open| !open.is_sound);
        let Some(OpenRequest { service, parts, is_trial, went_on, .. }) = open else { return };
        match parts.last() {
            Some(own) if *went_on => {
                self.detector.record_late_end(now, service, *own, (server, *is_trial));
            }
            _ => self.detector.record_end(now, service, parts, (server, *is_trial)),
        }
    }

    /// Records that the answer to a granted request ended with its connection before it had gone on
    /// for a while, so that it may be broken off.
    pub fn answer_ended_early(&mut self, now: Time, request: RequestId, server: &ServerId) {
        if let Some(OpenRequest { service, parts, is_trial, .. }) = self.open.get(&request) {
            self.detector.record_doubtful_end(now, service, parts, (server, *is_trial));
        }
    }

    /// Merges what another entry VM knows of parts under which servers ended.
    pub fn receive_suspects(&mut self, now: Time, suspects: &[Suspect]) {
        self.detector.merge(now, suspects);
    }

    /// Returns what is to be sent to other entry VMs of parts under which servers ended.
    pub fn suspects(&mut self, now: Time) -> Vec<Suspect> {
        self.detector.suspects(now)
    }

    /// Returns what an entry VM that starts should know of parts under which servers ended.
    pub fn known_suspects(&mut self, now: Time) -> Vec<Suspect> {
        self.detector.known(now)
    }

    /// Returns whether suspects should be sent to other entry VMs at once.
    #[must_use]
    pub fn has_new_suspects(&self) -> bool {
        self.detector.has_changes()
    }

    /// Takes the notices about blocked parts.
    pub fn take_part_notices(&mut self) -> Vec<poison::Notice> {
        self.detector.take_notices()
    }
}
