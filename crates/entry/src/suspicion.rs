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
    /// Whether the result is known.
    settled: bool,
}

impl Suspicion {
    pub(crate) fn new(detector: &SharedDetector, service: ServiceName, parts: Vec<Part>) -> Self {
        let detector = Arc::clone(detector);
        Self { detector, service, parts, server: None, is_trial: false, settled: false }
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

    /// Records that the answer went on for a while or is complete.
    pub(crate) fn answer_went_on(&mut self) {
        if !std::mem::replace(&mut self.settled, true) {
            let mut detector = self.lock();
            if let Some(server) = &self.server {
                detector.record_alive(clock::since_boot(), &self.service, server);
            }
            detector.record_answer(clock::since_boot(), &self.service, &self.parts);
            log_notices(detector.take_notices());
        }
    }

    /// Records that the server ended, unless its answer had gone on for a while.
    pub(crate) fn server_ended(&mut self) {
        if !std::mem::replace(&mut self.settled, true)
            && let Some(server) = self.server.clone()
        {
            let end = (&server, self.is_trial);
            self.lock().record_end(clock::since_boot(), &self.service, &self.parts, end);
        }
    }
}

fn log_notices(notices: Vec<Notice>) {
    for Notice { change, service, part, ends, failures } in notices {
        let (service, part) = (service.as_str(), part.to_string());
        spdlog::warn!("{change}", kv: { service, part, ends, failures });
    }
}
