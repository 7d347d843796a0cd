//! The counters.

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

/// Metrics cannot be set up or written.
#[derive(Debug)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("metrics cannot be exported")
    }
}

impl std::error::Error for Error {}

/// Things that are counted besides refusals and retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// A request was answered whole.
    Answered,
    /// A request was sent to a backend server.
    Dispatched,
    /// A running request was cancelled for a higher tier.
    Revoked,
    /// A refusal was answered before its record was synced.
    RefusalUnsynced,
    /// Messages to another VM were dropped.
    MessageDropped,
    /// A call of a stranger between VMs was refused.
    PeerCallRefused,
    /// A plan came into force at this VM.
    PlanInForce,
    /// This VM learnt of another leader of the replicated log, or of none.
    LeaderChanged,
    /// A request was sent to another server.
    SentAgain,
    /// A stream went on at another server.
    Resumed,
    /// A caller left before the end of its answer.
    CallerLeft,
}

impl Operation {
    fn code(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::PlanInForce => "plan_in_force",
            Self::LeaderChanged => "leader_changed",
            Self::SentAgain => "sent_again",
            Self::Resumed => "resumed",
            Self::CallerLeft => "caller_left",
            Self::Dispatched => "dispatched",
            Self::Revoked => "revoked",
            Self::RefusalUnsynced => "refusal_unsynced",
            Self::MessageDropped => "message_dropped",
            Self::PeerCallRefused => "stranger_refused",
        }
    }
}

/// Counters of one entry VM.
#[derive(Debug)]
pub struct Meters {
    registry: Registry,
    _provider: SdkMeterProvider,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    ops: Counter<u64>,
    first_byte: Histogram<f64>,
    broken: Gauge<u64>,
    open: Gauge<i64>,
    open_now: AtomicI64,
    peer_bytes: Counter<u64>,
    peer_bytes_now: AtomicU64,
    by_reason: Mutex<BTreeMap<RefusalReason, u64>>,
}

impl Meters {
    /// Counters labelled with a VM's name.
    ///
    /// # Errors
    ///
    /// If the exporter cannot be set up.
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
            ops: meter.u64_counter("operations").build(),
            first_byte: meter.f64_histogram("first_byte_seconds").build(),
            broken: meter.u64_gauge("invariants_broken").build(),
            open: meter.i64_gauge("open_requests").build(),
            open_now: AtomicI64::new(0),
            peer_bytes: meter.u64_counter("peer_bytes").build(),
            peer_bytes_now: AtomicU64::new(0),
            by_reason: Mutex::default(),
            registry,
            _provider: provider,
        };
        // Every reason is listed from the start, so that a missing one is seen to be zero.
        for reason in RefusalReason::ALL {
            meters.refusals.add(0, &[KeyValue::new("reason", reason.code())]);
        }
        for reason in RetryReason::ALL {
            meters.retries.add(0, &[KeyValue::new("reason", reason.code())]);
        }
        Ok(meters)
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: RefusalReason) {
        self.refusals.add(1, &[KeyValue::new("reason", reason.code())]);
        let mut counts = self.by_reason.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(reason).or_default() += 1;
    }

    /// Refusals counted so far.
    #[must_use]
    pub fn refusals(&self) -> BTreeMap<RefusalReason, u64> {
        self.by_reason.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.add(1, &[KeyValue::new("reason", reason.code())]);
    }

    /// Counts an operation.
    pub fn count(&self, op: Operation) {
        self.ops.add(1, &[KeyValue::new("kind", op.code())]);
    }

    /// Records the time from a request's arrival to the first byte of its answer, in seconds.
    pub fn record_first_byte(&self, seconds: f64) {
        self.first_byte.record(seconds, &[]);
    }

    /// Notes that a request was opened (+1) or ended (-1).
    pub fn change_open_requests(&self, change: i64) {
        let open = self.open_now.fetch_add(change, Ordering::Relaxed) + change;
        self.open.record(open, &[]);
    }

    /// Counts bytes of messages between entry VMs that this VM sent.
    pub fn add_peer_bytes(&self, bytes: usize) {
        self.peer_bytes.add(bytes as u64, &[]);
        self.peer_bytes_now.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes of messages between entry VMs that this VM sent so far.
    #[must_use]
    pub fn peer_bytes_sent(&self) -> u64 {
        self.peer_bytes_now.load(Ordering::Relaxed)
    }

    /// All counters in Prometheus' text form.
    ///
    /// # Errors
    ///
    /// If they cannot be encoded.
    pub fn text(&self) -> Result<String, Report<Error>> {
        for invariant in Invariant::ALL {
            let label = KeyValue::new("invariant", invariant.code());
            self.broken.record(invariant.violations(), &[label]);
        }
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text).change_context(Error)?;
        String::from_utf8(text).change_context(Error)
    }
}
