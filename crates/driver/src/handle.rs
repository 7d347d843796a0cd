//! Communication of traffic threads with the control thread.
//!
//! A [`Handle`] queues work for the control thread. Results come back in one of two ways: a call
//! has a single answer, and a submitted request has a stream of events, which [`Submission`]
//! receives.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
};

use arc_swap::ArcSwap;
use control::{Answer, Input, PublishedState};
use model::{Outcome, RefusalReason, RequestId, ServerId, Span, Ticket};
use tokio::sync::{mpsc as channel, oneshot};

/// A decision of the control thread about a submitted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request is granted and must be dispatched to this backend server, at most once.
    Granted {
        /// The backend server to dispatch to.
        server: ServerId,
        /// Address on which the server accepts requests.
        address: SocketAddr,
    },
    /// The request is refused; it has not run and will not run.
    Refused {
        /// The reason reported to the caller.
        reason: RefusalReason,
        /// Delay after which a retry may succeed, if one is known.
        retry: Option<Span>,
    },
    /// The grant is revoked and the running request must be cancelled.
    Revoked,
}

/// An item in the queue of the control thread.
#[derive(Debug)]
pub(crate) enum Work {
    Input(Input),
    Submit { ticket: Ticket, events: channel::UnboundedSender<Event> },
    Stop,
}

/// A handle to the control thread, which is cheap to clone.
///
/// When the control thread ends, pending calls return [`Answer::Unknown`] and submitted requests
/// are refused with [`RefusalReason::Stopping`]. After that, inputs are dropped.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(crate) work: mpsc::Sender<Work>,
    pub(crate) published: Arc<ArcSwap<PublishedState>>,
    pub(crate) calls: Arc<PendingCalls>,
}

/// Calls that wait for an answer, by call number.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    next: AtomicU64,
    waiting: Mutex<HashMap<u64, oneshot::Sender<Answer>>>,
}

impl PendingCalls {
    fn open(&self) -> (u64, oneshot::Receiver<Answer>) {
        let (sender, receiver) = oneshot::channel();
        let call = self.next.fetch_add(1, Ordering::Relaxed);
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).insert(call, sender);
        (call, receiver)
    }

    pub(crate) fn answer(&self, call: u64, answer: Answer) {
        let waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner).remove(&call);
        if let Some(sender) = waiting {
            // The send fails if the caller no longer waits; the answer is then dropped.
            let _ = sender.send(answer);
        }
    }

    /// Drops all waiting calls when the control thread ends, which wakes their callers.
    pub(crate) fn close(&self) {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }
}

impl Handle {
    /// Returns the part of the control state that is read for every request.
    ///
    /// This reads the latest snapshot without going through the control thread.
    #[must_use]
    pub fn published(&self) -> Arc<PublishedState> {
        self.published.load_full()
    }

    /// Queues an input that has no answer.
    pub fn input(&self, input: Input) {
        // The send fails only after the control thread has ended because the process stops.
        let _ = self.work.send(Work::Input(input));
    }

    /// Makes a call and waits for its answer.
    ///
    /// `make` is given the number of the call and returns the input that carries it.
    pub async fn call(&self, make: impl FnOnce(u64) -> Input) -> Answer {
        let (call, answer) = self.calls.open();
        self.input(make(call));
        answer.await.unwrap_or(Answer::Unknown)
    }

    /// Submits the ticket of a request.
    ///
    /// The result receives the decisions on this request and must be kept until it has ended.
    #[must_use]
    pub fn submit(&self, ticket: Ticket) -> Submission {
        let (sender, events) = channel::unbounded_channel();
        let request = ticket.request;
        let _ = self.work.send(Work::Submit { ticket, events: sender });
        Submission { handle: self.clone(), request, events, state: RequestState::Waiting }
    }

    /// Ends the control thread once it reaches this item of its queue.
    pub fn stop(&self) {
        let _ = self.work.send(Work::Stop);
    }
}

/// State of a request as the control thread knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    Waiting,
    Granted,
    Ended,
}

/// The caller's side of a submitted request, which receives the decisions on it.
///
/// Dropping it before the request has ended reports that the caller left: a waiting request is
/// withdrawn, and a granted one is reported as [`Outcome::Cancelled`].
#[derive(Debug)]
pub struct Submission {
    handle: Handle,
    request: RequestId,
    events: channel::UnboundedReceiver<Event>,
    state: RequestState,
}

impl Submission {
    /// Waits for the next event; returns a refusal if the control thread of this VM has ended.
    pub async fn next(&mut self) -> Event {
        let event = self.events.recv().await;
        let stopped = Event::Refused { reason: RefusalReason::Stopping, retry: None };
        let event = event.unwrap_or(stopped);
        match event {
            Event::Granted { .. } => self.state = RequestState::Granted,
            Event::Refused { .. } => self.state = RequestState::Ended,
            Event::Revoked => {}
        }
        event
    }

    /// Reports how the dispatch ended. After [`Outcome::NotSent`] the request waits for a grant
    /// again.
    pub fn finish(&mut self, outcome: Outcome) {
        let request = self.request;
        self.state =
            if outcome == Outcome::NotSent { RequestState::Waiting } else { RequestState::Ended };
        self.handle.input(Input::Finish { request, outcome });
    }
}

impl Drop for Submission {
    fn drop(&mut self) {
        let request = self.request;
        match self.state {
            RequestState::Waiting => self.handle.input(Input::Abandon { request }),
            RequestState::Granted => {
                self.handle.input(Input::Finish { request, outcome: Outcome::Cancelled });
            }
            RequestState::Ended => {}
        }
    }
}
