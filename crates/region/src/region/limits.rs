//! Limits that servers name in their answers, and their reports to homes.

use std::collections::BTreeMap;

use model::{ServerId, ServiceName, Span, Time, VmName};

use crate::message::LimitReport;

use super::Region;

/// Time after an answer with a limit for which this VM reports it to homes, and for which answers
/// without one are reported.
const LIMIT_TTL: Span = Span::from_secs(10);
/// Interval at which the known limits are reported again, in case reports were lost.
const REPORT_INTERVAL: Span = Span::from_millis(500);

/// Limits that servers named in answers to this VM.
#[derive(Debug, Default)]
pub(super) struct KnownLimits {
    /// Limits in requests a second, each with the time of the last answer that named it.
    named: BTreeMap<(ServiceName, ServerId), (f64, Time)>,
    /// When a server of each service last named a limit.
    latest: BTreeMap<ServiceName, Time>,
}

impl KnownLimits {
    /// Records what an answer said. Returns whether the home is told: until no server of the service
    /// has named a limit for a while, as the home may know a limit from another VM.
    fn record(
        &mut self,
        now: Time,
        service: &ServiceName,
        id: &ServerId,
        limit: Option<f64>,
    ) -> bool {
        let key = (service.clone(), id.clone());
        match limit {
            Some(limit) => {
                self.named.insert(key, (limit, now));
                self.latest.insert(service.clone(), now);
            }
            None => drop(self.named.remove(&key)),
        }
        self.latest.get(service).is_some_and(|named_at| now < *named_at + LIMIT_TTL)
    }

    fn reports(&mut self, now: Time) -> Vec<LimitReport> {
        self.named.retain(|_, (_, named_at)| now < *named_at + LIMIT_TTL);
        let report = |((service, server), (limit, named_at)): (&(_, ServerId), &(f64, Time))| {
            let (service, server) = (ServiceName::clone(service), server.clone());
            LimitReport { service, server, limit: Some(*limit), age: now - *named_at }
        };
        self.named.iter().map(report).collect()
    }
}

impl Region {
    /// Reports the limit that a server names in an answer, in requests a second, or that it names
    /// none, to the home of its service.
    pub fn record_limit(
        &mut self,
        now: Time,
        service: &ServiceName,
        (id, limit): (&ServerId, Option<f64>),
    ) {
        if self.limits.record(now, service, id, limit) {
            let (service, server) = (service.clone(), id.clone());
            self.report_limit(now, LimitReport { service, server, limit, age: Span::ZERO });
        }
    }

    /// Processes reports of another VM.
    pub fn receive_limits(&mut self, now: Time, reports: &[LimitReport]) {
        for LimitReport { service, server, limit, age } in reports {
            let answered_at = Time::from_micros(now.as_micros().saturating_sub(age.as_micros()));
            if let Some(broker) = self.brokers.get_mut(service) {
                broker.record_limit(now, server, (*limit, answered_at));
            }
        }
    }

    /// Takes the reports to send, each with the home to send it to.
    pub fn take_limit_reports(&mut self) -> Vec<(VmName, Vec<LimitReport>)> {
        std::mem::take(&mut self.limit_reports).into_iter().collect()
    }

    pub(super) fn report_known_limits(&mut self, now: Time) {
        if now >= self.limits_at {
            self.limits_at = now + REPORT_INTERVAL;
            for report in self.limits.reports(now) {
                self.report_limit(now, report);
            }
        }
    }

    fn report_limit(&mut self, now: Time, report: LimitReport) {
        let home = self.selector.home(&report.service).clone();
        if home == self.me {
            self.receive_limits(now, &[report]);
        } else {
            self.limit_reports.entry(home).or_default().push(report);
        }
    }
}
