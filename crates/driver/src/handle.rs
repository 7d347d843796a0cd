//! How traffic threads talk to the control thread.

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

/// Something that happened to a submitted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Dispatch it to this server, once.
    Granted {
        /// The server.
        server: ServerId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// It did not run and will not.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When trying again may help.
        retry: Option<Span>,
    },
    /// Cancel it.
    Revoked,
}

/// What the control thread is sent.
#[derive(Debug)]
pub(crate) enum Work {
    Input(Input),
    Submit { ticket: Ticket, events: channel::UnboundedSender<Event> },
    Stop,
}

/// Talks to the control thread; cheap to clone.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(crate) work: mpsc::Sender<Work>,
    pub(crate) published: Arc<ArcSwap<PublishedState>>,
    pub(crate) calls: Arc<Calls>,
}

/// Calls that wait for an answer.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    next: AtomicU64,
    waiting: Mutex<HashMap<u64, oneshot::Sender<Answer>>>,
}

impl Calls {
    fn open(&self) -> (u64, oneshot::Receiver<Answer>) {
        let (sender, receiver) = oneshot::channel();
        let call = self.next.fetch_add(1, Ordering::Relaxed);
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).insert(call, sender);
        (call, receiver)
    }

    pub(crate) fn answer(&self, call: u64, answer: Answer) {
        let waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner).remove(&call);
        if let Some(sender) = waiting {
            // The caller may have gone; then nobody wants the answer.
            let _ = sender.send(answer);
        }
    }

    /// Answers everything that waits, when the control thread ends.
    pub(crate) fn close(&self) {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }
}

impl Handle {
    /// What every request needs of the control state.
    #[must_use]
    pub fn published(&self) -> Arc<PublishedState> {
        self.published.load_full()
    }

    /// Passes an input that has no answer.
    pub fn input(&self, input: Input) {
        // The control thread ends only when the process stops; nothing is left to do then.
        let _ = self.work.send(Work::Input(input));
    }

    /// Passes an input made from a call number, and waits for the answer.
    pub async fn call(&self, make: impl FnOnce(u64) -> Input) -> Answer {
        let (call, answer) = self.calls.open();
        self.input(make(call));
        answer.await.unwrap_or(Answer::Unknown)
    }

    /// Submits a request's ticket.
    #[must_use]
    pub fn submit(&self, ticket: Ticket) -> Submission {
        let (sender, events) = channel::unbounded_channel();
        let request = ticket.request;
        let _ = self.work.send(Work::Submit { ticket, events: sender });
        Submission { handle: self.clone(), request, events, state: Reported::Waiting }
    }

    /// Ends the control thread.
    pub fn stop(&self) {
        let _ = self.work.send(Work::Stop);
    }
}

/// What the control thread has been told about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reported {
    Waiting,
    Granted,
    Ended,
}

/// A submitted request. Dropping it tells the control thread that the caller left.
#[derive(Debug)]
pub struct Submission {
    handle: Handle,
    request: RequestId,
    events: channel::UnboundedReceiver<Event>,
    state: Reported,
}

impl Submission {
    /// The next thing that happens to the request; a refusal if this VM's control state ended.
    pub async fn next(&mut self) -> Event {
        let event = self.events.recv().await;
        let gone = Event::Refused { reason: RefusalReason::Stopping, retry: None };
        let event = event.unwrap_or(gone);
        match event {
            Event::Granted { .. } => self.state = Reported::Granted,
            Event::Refused { .. } => self.state = Reported::Ended,
            Event::Revoked => {}
        }
        event
    }

    /// Reports how the dispatch ended. After [`Outcome::NotSent`] the request waits again.
    pub fn finish(&mut self, outcome: Outcome) {
        let request = self.request;
        self.state = if outcome == Outcome::NotSent { Reported::Waiting } else { Reported::Ended };
        self.handle.input(Input::Finish { request, outcome });
    }
}

impl Drop for Submission {
    fn drop(&mut self) {
        let request = self.request;
        match self.state {
            Reported::Waiting => self.handle.input(Input::Abandon { request }),
            Reported::Granted => {
                self.handle.input(Input::Finish { request, outcome: Outcome::Cancelled });
            }
            Reported::Ended => {}
        }
    }
}
