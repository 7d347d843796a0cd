//! The metrics, their labels and their export.

use std::{
    collections::BTreeMap,
    fmt,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicI64, AtomicU64, Ordering},
    },
};

use error_stack::{Report, ResultExt};
use model::{Invariant, RefusalReason, RetryReason};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The metrics cannot be set up or encoded.
#[derive(Debug)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("metrics cannot be exported")
    }
}

impl std::error::Error for Error {}

/// Operations that are counted besides refusals and retries.
///
/// Each is a value of the label `kind` of the metric `operations`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// A complete answer was sent to a caller.
    Answered,
    /// A request was sent to a backend server.
    Dispatched,
    /// A running request was cancelled to admit a request of a higher tier.
    Revoked,
    /// A refusal was answered without its record being synced on a disk in time.
    RefusalUnsynced,
    /// A message or a batch of messages to another VM was dropped.
    MessageDropped,
    /// A call from another VM was refused because it failed authentication. Its label value is
    /// `stranger_refused`.
    PeerCallRefused,
    /// A new routing plan came into force on this VM.
    PlanInForce,
    /// This control VM made a patch between two versions of the plan, or compressed a whole one.
    PatchMade,
    /// This entry VM put a plan in force that it got as a patch of the one before.
    PlanByPatch,
    /// This entry VM put a plan in force that it got whole.
    PlanWhole,
    /// This entry VM requested the content of a plan from another control VM, after one was silent.
    PlanAskedAgain,
    /// This entry VM rejected the content of a plan.
    PlanRejected,
    /// This VM observed a change of the leader of the replicated log, or its loss.
    LeaderChanged,
    /// A request was sent to a backend server again, after an earlier attempt failed.
    SentAgain,
    /// An interrupted event stream was resumed on another backend server.
    Resumed,
    /// A backend server was asked whether it is alive after a response that ended with its connection.
    HealthCall,
    /// A request was sent to a second server before the first one had answered.
    Hedged,
    /// A hedge was answered before the first send.
    HedgeAnswered,
    /// A caller disconnected before the end of its answer.
    CallerLeft,
    /// The body of a request was refused for lack of memory.
    BodyRefused,
    /// A connection was closed in favour of another one, or because its client read nothing.
    ConnectionClosed,
    /// A new connection was refused because all others were in use.
    ConnectionRefused,
    /// A datagram to another entry VM could not be sent.
    SendFailed,
    /// A message to other entry VMs was left out, as it does not fit into a datagram.
    Oversized,
    /// A home was left, as it gave no verdicts although it was heard.
    HomeStalled,
}

impl Operation {
    /// Returns the value of the label `kind`.
    fn code(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::PlanInForce => "plan_in_force",
            Self::PatchMade => "patch_made",
            Self::PlanByPatch => "plan_by_patch",
            Self::PlanWhole => "plan_whole",
            Self::PlanAskedAgain => "plan_asked_again",
            Self::PlanRejected => "plan_rejected",
            Self::LeaderChanged => "leader_changed",
            Self::SentAgain => "sent_again",
            Self::Resumed => "resumed",
            Self::HealthCall => "health_call",
            Self::Hedged => "hedged",
            Self::HedgeAnswered => "hedge_answered",
            Self::CallerLeft => "caller_left",
            Self::BodyRefused => "body_refused",
            Self::ConnectionClosed => "connection_closed",
            Self::ConnectionRefused => "connection_refused",
            Self::SendFailed => "send_failed",
            Self::Oversized => "oversized",
            Self::HomeStalled => "home_stalled",
            Self::Dispatched => "dispatched",
            Self::Revoked => "revoked",
            Self::RefusalUnsynced => "refusal_unsynced",
            Self::MessageDropped => "message_dropped",
            Self::PeerCallRefused => "stranger_refused",
        }
    }
}

/// The metrics of one VM.
#[derive(Debug)]
pub struct Meters {
    registry: Registry,
    _provider: SdkMeterProvider,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    operations: Counter<u64>,
    first_byte_seconds: Histogram<f64>,
    invariants_broken: Gauge<u64>,
    service_slots: Gauge<u64>,
    held_bytes: Gauge<u64>,
    version_answers: Counter<u64>,
    version_first_seconds: Histogram<f64>,
    rollout_granted: Gauge<u64>,
    open_requests: Gauge<i64>,
    /// Value of `open_requests`, which the gauge itself cannot return.
    open_count: AtomicI64,
    plan_version: Gauge<u64>,
    plan_bytes: Counter<u64>,
    plan_delay_seconds: Histogram<f64>,
    peer_bytes: Counter<u64>,
    /// Value of `peer_bytes`, which the counter itself cannot return.
    peer_byte_count: AtomicU64,
    /// Values of `refusals`, which the counter itself cannot return.
    refusal_counts: Mutex<BTreeMap<RefusalReason, u64>>,
}

impl Meters {
    /// Creates metrics that all carry the label `vm` with this name.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be set up.
    pub fn new(vm: &str) -> Result<Self, Report<Error>> {
        let registry = Registry::new_custom(
            Some("fuchsiausher".into()),
            Some([("vm".to_owned(), vm.to_owned())].into()),
        )
        .change_context(Error)?;
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .change_context(Error)?;
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let meter = provider.meter("fuchsiausher");
        let meters = Self {
            refusals: meter.u64_counter("refusals").build(),
            retries: meter.u64_counter("retries").build(),
            operations: meter.u64_counter("operations").build(),
            first_byte_seconds: meter.f64_histogram("first_byte_seconds").build(),
            invariants_broken: meter.u64_gauge("invariants_broken").build(),
            service_slots: meter.u64_gauge("service_slots").build(),
            held_bytes: meter.u64_gauge("held_bytes").build(),
            version_answers: meter.u64_counter("version_answers").build(),
            version_first_seconds: meter.f64_histogram("version_first_seconds").build(),
            rollout_granted: meter.u64_gauge("rollout_granted").build(),
            open_requests: meter.i64_gauge("open_requests").build(),
            open_count: AtomicI64::new(0),
            plan_version: meter.u64_gauge("plan_version").build(),
            plan_bytes: meter.u64_counter("plan_bytes").build(),
            plan_delay_seconds: meter.f64_histogram("plan_delay_seconds").build(),
            peer_bytes: meter.u64_counter("peer_bytes").build(),
            peer_byte_count: AtomicU64::new(0),
            refusal_counts: Mutex::default(),
            registry,
            _provider: provider,
        };
        // Every reason is exported from the start, so that a reason that never occurred reads as
        // zero rather than as missing.
        for reason in RefusalReason::ALL {
            meters.refusals.add(0, &[KeyValue::new("reason", reason.code())]);
        }
        for reason in RetryReason::ALL {
            meters.retries.add(0, &[KeyValue::new("reason", reason.code())]);
        }
        Ok(meters)
    }

    /// Counts one refused request.
    pub fn count_refusal(&self, reason: RefusalReason) {
        self.refusals.add(1, &[KeyValue::new("reason", reason.code())]);
        let mut counts = self.refusal_counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(reason).or_default() += 1;
    }

    /// Returns the number of refusals since the process started, by reason.
    #[must_use]
    pub fn refusals(&self) -> BTreeMap<RefusalReason, u64> {
        self.refusal_counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Counts one retry.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.add(1, &[KeyValue::new("reason", reason.code())]);
    }

    /// Counts one operation.
    pub fn count(&self, operation: Operation) {
        self.operations.add(1, &[KeyValue::new("kind", operation.code())]);
    }

    /// Records the seconds from the arrival of a request to the first byte of its answer.
    pub fn record_first_byte(&self, seconds: f64) {
        self.first_byte_seconds.record(seconds, &[]);
    }

    /// Records the number of a service's slots, or of its waiting requests, that are in a state such
    /// as `free`.
    pub fn record_slots(&self, service: &str, state: &'static str, count: u32) {
        let labels = [KeyValue::new("service", service.to_owned()), KeyValue::new("state", state)];
        self.service_slots.record(count.into(), &labels);
    }

    /// Records the bytes of bodies that this VM holds, of a kind such as `requests`.
    pub fn record_held(&self, kind: &'static str, bytes: usize) {
        self.held_bytes.record(bytes as u64, &[KeyValue::new("kind", kind)]);
    }

    /// Counts an answer of a server of a version, with the seconds to its first event; `None` if the
    /// server failed.
    pub fn record_version(&self, service: &str, version: &str, first: Option<f64>) {
        let service = KeyValue::new("service", service.to_owned());
        let version = KeyValue::new("version", version.to_owned());
        if let Some(first) = first {
            self.version_first_seconds.record(first, &[service.clone(), version.clone()]);
        }
        let result = KeyValue::new("result", if first.is_some() { "arrived" } else { "failed" });
        self.version_answers.add(1, &[service, version, result]);
    }

    /// Records the number of requests that this VM has granted since it knows the latest order of a
    /// service, and how many of them went to the version under trial.
    pub fn record_exposure(&self, service: &str, to: &str, (granted, on_trial): (u64, u64)) {
        for (state, count) in [("all", granted), ("on_trial", on_trial)] {
            let service = KeyValue::new("service", service.to_owned());
            let labels =
                [service, KeyValue::new("version", to.to_owned()), KeyValue::new("granted", state)];
            self.rollout_granted.record(count, &labels);
        }
    }

    /// Changes the number of open requests: by +1 when a request arrives, by -1 when it ends.
    pub fn change_open_requests(&self, change: i64) {
        let count = self.open_count.fetch_add(change, Ordering::Relaxed) + change;
        self.open_requests.record(count, &[]);
    }

    /// Records that a plan is in force on this entry VM: its version, the seconds since a control VM
    /// first named that version or a newer one, and whether it came as a patch.
    pub fn record_plan(&self, version: u64, seconds: f64, is_patch: bool) {
        self.plan_version.record(version, &[]);
        self.plan_delay_seconds.record(seconds, &[]);
        self.count(if is_patch { Operation::PlanByPatch } else { Operation::PlanWhole });
    }

    /// Adds to the bytes of plans that this entry VM received.
    pub fn add_plan_bytes(&self, bytes: usize) {
        self.plan_bytes.add(bytes as u64, &[]);
    }

    /// Adds to the bytes of messages that this VM sent to other VMs.
    pub fn add_peer_bytes(&self, bytes: usize) {
        self.peer_bytes.add(bytes as u64, &[]);
        self.peer_byte_count.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the bytes of messages that this VM sent to other VMs since the process started.
    #[must_use]
    pub fn peer_bytes_sent(&self) -> u64 {
        self.peer_byte_count.load(Ordering::Relaxed)
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if they cannot be encoded.
    pub fn text(&self) -> Result<String, Report<Error>> {
        for invariant in Invariant::ALL {
            let label = KeyValue::new("invariant", invariant.code());
            self.invariants_broken.record(invariant.violations(), &[label]);
        }
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text).change_context(Error)?;
        String::from_utf8(text).change_context(Error)
    }
}
