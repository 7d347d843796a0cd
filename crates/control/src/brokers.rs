//! The brokers that this VM hosts, and the announcements that backend servers sent to it.
//!
//! Brokers are created on first use and dropped when another VM takes over their service. The
//! announcements are passed on to a broker that takes over.

use std::collections::BTreeMap;

use broker::{Action, Broker, Offer, Policy, RunningRequest};
use model::{
    Announcement, Outcome, RequestId, ServerId, ServiceName, Span, Time, VmName, ZoneName,
};

use crate::marks::Marks;

/// Time for which a broker that takes over grants nothing, so that servers and running requests
/// can be reported to it first.
const WARM_UP: Span = Span::from_millis(250);

/// An announcement that a backend server sent to this VM.
#[derive(Debug)]
struct LocalAnnouncement {
    announcement: Announcement,
    zone: ZoneName,
    expires_at: Time,
}

/// The hosted brokers by service, and the announcements to pass on.
#[derive(Debug, Default)]
pub(crate) struct Brokers {
    by_service: BTreeMap<ServiceName, Broker>,
    announced: BTreeMap<ServerId, LocalAnnouncement>,
    window_share: Option<f64>,
    policy: Policy,
}

impl Brokers {
    pub(crate) fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Records an announcement, so that it can be passed on to a broker that takes over.
    pub(crate) fn record_announcement(
        &mut self,
        now: Time,
        announcement: Announcement,
        zone: ZoneName,
    ) {
        let expires_at = now + announcement.ttl;
        self.announced
            .insert(announcement.id.clone(), LocalAnnouncement { announcement, zone, expires_at });
    }

    /// Returns the announcements that have not expired, with their zones and remaining times to
    /// live.
    pub(crate) fn live_announcements(&mut self, now: Time) -> Vec<(Announcement, ZoneName)> {
        self.announced.retain(|_, a| a.expires_at > now);
        let shorten = |a: &LocalAnnouncement| {
            let ttl = a.expires_at - now;
            (Announcement { ttl, ..a.announcement.clone() }, a.zone.clone())
        };
        self.announced.values().map(shorten).collect()
    }

    /// Returns the zone that a server announced, if it announced itself to this VM.
    pub(crate) fn zone_of(&self, server: &ServerId) -> Option<&ZoneName> {
        self.announced.get(server).map(|a| &a.zone)
    }

    fn broker(&mut self, now: Time, service: &ServiceName, marks: &Marks) -> &mut Broker {
        let (share, policy) = (self.window_share.unwrap_or(1.0), self.policy);
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

    /// Applies a server's duty to all brokers.
    pub(crate) fn update_duty(&mut self, server: &ServerId, marks: &Marks) {
        for broker in self.by_service.values_mut() {
            broker.set_duty(server, marks.duty(server));
        }
    }

    /// Removes the requests of a VM that was lost.
    pub(crate) fn remove_owner(&mut self, now: Time, vm: &VmName, out: &mut Vec<Action>) {
        for broker in self.by_service.values_mut() {
            broker.remove_owner(now, vm, out);
        }
    }

    /// Drops the brokers that this VM no longer hosts; the owners of their tickets send them to the
    /// new host.
    pub(crate) fn retain(&mut self, keep: impl Fn(&ServiceName) -> bool) {
        self.by_service.retain(|service, _| keep(service));
    }

    /// Sets the share of each server's window that the brokers of this VM may use.
    pub(crate) fn set_window_share(&mut self, share: f64) {
        self.window_share = Some(share);
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
