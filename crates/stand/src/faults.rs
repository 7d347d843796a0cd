//! Ways in which a stand-in fails.

use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};

/// How a stand-in treats the requests that reach it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Answers as it should.
    None,
    /// Closes the connection after reading a request, before any byte of an answer.
    CloseUnanswered,
    /// Closes the connection in the middle of an answer.
    CloseMidAnswer,
    /// Ends a stream without its end marker, but otherwise in order.
    OmitEndMarker,
    /// Names another request in its answer.
    WrongRequestId,
    /// Never answers.
    Hang,
}

impl Fault {
    const ALL: [Self; 6] = [
        Self::None,
        Self::CloseUnanswered,
        Self::CloseMidAnswer,
        Self::OmitEndMarker,
        Self::WrongRequestId,
        Self::Hang,
    ];
}

/// The fault in force, and how much slower than usual the stand-in works.
#[derive(Debug)]
pub(crate) struct Faults {
    fault: AtomicU8,
    /// Slowdown in thousandths.
    slowdown: AtomicU64,
}

impl Default for Faults {
    fn default() -> Self {
        Self { fault: AtomicU8::new(0), slowdown: AtomicU64::new(1_000) }
    }
}

impl Faults {
    pub(crate) fn set(&self, fault: Fault) {
        self.fault.store(fault as u8, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> Fault {
        Fault::ALL[usize::from(self.fault.load(Ordering::Relaxed))]
    }

    pub(crate) fn set_slowdown(&self, thousandths: u64) {
        self.slowdown.store(thousandths.max(1), Ordering::Relaxed);
    }

    /// A duration in microseconds, slowed down.
    pub(crate) fn slowed(&self, micros: u64) -> std::time::Duration {
        let slowed = micros.saturating_mul(self.slowdown.load(Ordering::Relaxed)) / 1_000;
        std::time::Duration::from_micros(slowed)
    }
}
