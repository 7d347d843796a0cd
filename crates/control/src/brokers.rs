//! The brokers that this VM hosts, and the announcements that reached it.

use std::collections::BTreeMap;

use broker::{Action, Broker, Offer, Policy, RunningRequest};
use model::{
    Announcement, Outcome, RequestId, ServerId, ServiceName, Span, Time, VmName, ZoneName,
};

use crate::marks::Marks;

/// Time for servers and running requests to be reported to a broker that takes over.
const WARM_UP: Span = Span::from_millis(250);

/// An announcement that reached this VM.
#[derive(Debug)]
struct Heard {
    announcement: Announcement,
    zone: ZoneName,
    lapses: Time,
}

/// Brokers by service, and the announcements to pass on.
#[derive(Debug, Default)]
pub(crate) struct Brokers {
    by_service: BTreeMap<ServiceName, Broker>,
    heard: BTreeMap<ServerId, Heard>,
    share: Option<f64>,
    policy: Policy,
}

impl Brokers {
    pub(crate) fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Remembers an announcement, so that it can be passed to a broker that takes over.
    pub(crate) fn hear(&mut self, now: Time, announcement: Announcement, zone: ZoneName) {
        let lapses = now + announcement.ttl;
        self.heard.insert(announcement.id.clone(), Heard { announcement, zone, lapses });
    }

    /// Announcements that have not lapsed, with their zones and shortened times to live.
    pub(crate) fn heard(&mut self, now: Time) -> Vec<(Announcement, ZoneName)> {
        self.heard.retain(|_, h| h.lapses > now);
        let shorten = |h: &Heard| {
            let ttl = h.lapses - now;
            (Announcement { ttl, ..h.announcement.clone() }, h.zone.clone())
        };
        self.heard.values().map(shorten).collect()
    }

    /// The zone that a server announced, if it announced itself here.
    pub(crate) fn zone_of(&self, server: &ServerId) -> Option<&ZoneName> {
        self.heard.get(server).map(|h| &h.zone)
    }

    fn broker(&mut self, now: Time, service: &ServiceName, marks: &Marks) -> &mut Broker {
        let (share, policy) = (self.share.unwrap_or(1.0), self.policy);
        self.by_service.entry(service.clone()).or_insert_with(|| {
            let mut broker = Broker::new(policy.config());
            broker.warm_up(now + WARM_UP);
            broker.set_window_share(share);
            for (server, mark) in marks.all() {
                broker.set_duty(server, mark.duty);
            }
            broker
        })
    }

    pub(crate) fn announce(
        &mut self,
        now: Time,
        announcement: Announcement,
        marks: &Marks,
        out: &mut Vec<Action>,
    ) {
        let service = announcement.service.clone();
        self.broker(now, &service, marks).announce(now, announcement, out);
    }

    pub(crate) fn submit(&mut self, now: Time, offer: Offer, marks: &Marks, out: &mut Vec<Action>) {
        let service = offer.ticket.service.clone();
        self.broker(now, &service, marks).submit(now, offer, out);
    }

    pub(crate) fn adopt(&mut self, now: Time, placed: RunningRequest, marks: &Marks) {
        let service = placed.ticket.service.clone();
        self.broker(now, &service, marks).adopt(now, placed);
    }

    pub(crate) fn withdraw(
        &mut self,
        now: Time,
        service: &ServiceName,
        request: RequestId,
        out: &mut Vec<Action>,
    ) {
        if let Some(broker) = self.by_service.get_mut(service) {
            broker.withdraw(now, request, out);
        }
    }

    pub(crate) fn finish(
        &mut self,
        now: Time,
        service: &ServiceName,
        (request, outcome): (RequestId, Outcome),
        out: &mut Vec<Action>,
    ) {
        if let Some(broker) = self.by_service.get_mut(service) {
            broker.finish(now, request, outcome, out);
        }
    }

    /// Applies declarations to all brokers.
    pub(crate) fn mark(&mut self, server: &ServerId, marks: &Marks) {
        for broker in self.by_service.values_mut() {
            broker.set_duty(server, marks.duty(server));
        }
    }

    /// Drops what belongs to a VM that was lost.
    pub(crate) fn forget(&mut self, now: Time, vm: &VmName, out: &mut Vec<Action>) {
        for broker in self.by_service.values_mut() {
            broker.remove_owner(now, vm, out);
        }
    }

    /// Keeps only the brokers that this VM shall host; the owners of the tickets at the others
    /// send them to the new host.
    pub(crate) fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.by_service.retain(|service, _| keep(service));
    }

    /// Sets the share of each server's window that this VM may use.
    pub(crate) fn set_share(&mut self, share: f64) {
        self.share = Some(share);
        for broker in self.by_service.values_mut() {
            broker.set_window_share(share);
        }
    }

    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        for broker in self.by_service.values_mut() {
            broker.tick(now, out);
        }
    }

    pub(crate) fn hosted(&self) -> impl Iterator<Item = (&ServiceName, &Broker)> {
        self.by_service.iter()
    }
}
