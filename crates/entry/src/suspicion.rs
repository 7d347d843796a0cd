//! Relates the ends of backend servers to the parts of the requests that they were answering.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use model::{Part, ServerId, ServiceName, Span};
use poison::{Admission, Detector, Notice};

/// The detector of this VM, shared by all requests.
pub(crate) type SharedDetector = Arc<Mutex<Detector>>;

/// Tells the detector what happens to one request.
pub(crate) struct Suspicion {
    detector: SharedDetector,
    service: ServiceName,
    parts: Vec<Part>,
    server: Option<ServerId>,
    is_trial: bool,
    /// Whether the answer went on for a while.
    went_on: bool,
    /// Whether the result is known.
    settled: bool,
}

impl Suspicion {
    /// Creates the suspicion of a request. The last part is its own, which only its repetitions have.
    pub(crate) fn new(detector: &SharedDetector, service: ServiceName, parts: Vec<Part>) -> Self {
        let detector = Arc::clone(detector);
        Self {
            detector,
            service,
            parts,
            server: None,
            is_trial: false,
            went_on: false,
            settled: false,
        }
    }

    /// Returns the detector. It stays consistent when a handler panics.
    fn lock(&self) -> MutexGuard<'_, Detector> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides whether the request may be sent to a server.
    ///
    /// # Errors
    ///
    /// Returns the time until a request with its parts may be let through.
    pub(crate) fn admit(&mut self, server: ServerId) -> Result<(), Span> {
        self.server = Some(server);
        let admission = self.lock().admit(clock::since_boot(), &self.service, &self.parts);
        log_notices(self.lock().take_notices());
        self.is_trial = admission == Admission::Trial;
        match admission {
            Admission::Free | Admission::Trial => Ok(()),
            Admission::Refused { wait } => Err(wait),
        }
    }

    /// Records that the answer went on for a while. That clears the parts that the request shares
    /// with others.
    pub(crate) fn answer_went_on(&mut self) {
        if !self.settled && !std::mem::replace(&mut self.went_on, true) {
            let shared = self.parts.split_last().map_or(&[][..], |(_, shared)| shared);
            let mut detector = self.lock();
            if let Some(server) = &self.server {
                detector.record_alive(clock::since_boot(), &self.service, server);
            }
            detector.record_answer(clock::since_boot(), &self.service, shared);
            log_notices(detector.take_notices());
        }
    }

    /// Records that the answer is complete, or went on for so long that the request counts as sound.
    pub(crate) fn proved_sound(&mut self) {
        self.answer_went_on();
        if !std::mem::replace(&mut self.settled, true)
            && let Some(own) = self.parts.last()
        {
            let mut detector = self.lock();
            detector.record_sound(clock::since_boot(), &self.service, *own);
            log_notices(detector.take_notices());
        }
    }

    /// Records that the server ended, unless the request is known to be sound.
    pub(crate) fn server_ended(&mut self) {
        if !std::mem::replace(&mut self.settled, true)
            && let Some(server) = self.server.clone()
        {
            let (now, end) = (clock::since_boot(), (&server, self.is_trial));
            match self.parts.last() {
                Some(own) if self.went_on => {
                    self.lock().record_late_end(now, &self.service, *own, end);
                }
                _ => self.lock().record_end(now, &self.service, &self.parts, end),
            }
        }
    }
}

fn log_notices(notices: Vec<Notice>) {
    for Notice { change, service, part, ends, failures } in notices {
        let (service, part) = (service.as_str(), part.to_string());
        spdlog::warn!("{change}", kv: { service, part, ends, failures });
    }
}
