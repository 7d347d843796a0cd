//! Choice of a backend server among those with room.

use model::ServerId;

/// A backend server with room for one more request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Id of the server.
    pub id: &'a ServerId,
    /// Requests that it can work on at once.
    pub slots: u32,
    /// Requests that we granted and that have not ended.
    pub running: u32,
    /// Load that it reported last, possibly stale.
    pub reported: u32,
    /// Predicted seconds of work granted and not ended.
    pub work: f64,
    /// Predicted seconds that this ticket adds.
    pub added: f64,
    /// Observed duration relative to the prediction; 1 is ordinary.
    pub slowness: f64,
}

/// Chooses one of several servers.
pub trait Router: Send {
    /// Position of the chosen candidate; `None` only if there are none.
    fn choose(&mut self, candidates: &[Candidate<'_>]) -> Option<usize>;
}

/// The server on which the ticket is predicted to finish first.
#[derive(Clone, Copy, Debug, Default)]
pub struct Predicted;

impl Router for Predicted {
    fn choose(&mut self, candidates: &[Candidate<'_>]) -> Option<usize> {
        min_by(candidates, |c| c.slowness * (c.added + c.work / f64::from(c.slots.max(1))))
    }
}

/// Servers in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Router for RoundRobin {
    fn choose(&mut self, candidates: &[Candidate<'_>]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        self.next = self.next.wrapping_add(1);
        Some(self.next % candidates.len())
    }
}

/// The server that last reported the least load for its size.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastReported;

impl Router for LeastReported {
    fn choose(&mut self, candidates: &[Candidate<'_>]) -> Option<usize> {
        min_by(candidates, |c| f64::from(c.reported) / f64::from(c.slots.max(1)))
    }
}

/// The server with the fewest of our requests for its size.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInFlight;

impl Router for LeastInFlight {
    fn choose(&mut self, candidates: &[Candidate<'_>]) -> Option<usize> {
        min_by(candidates, in_flight)
    }
}

/// The better of two servers drawn at random, by requests in flight.
#[derive(Clone, Copy, Debug)]
pub struct TwoChoices {
    state: u64,
}

impl TwoChoices {
    /// Draws from this seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { state: seed | 1 }
    }

    fn draw(&mut self, n: usize) -> usize {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        usize::try_from(self.state % n as u64).unwrap_or(0)
    }
}

impl Router for TwoChoices {
    fn choose(&mut self, candidates: &[Candidate<'_>]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let (a, b) = (self.draw(candidates.len()), self.draw(candidates.len()));
        if in_flight(&candidates[a]) <= in_flight(&candidates[b]) { Some(a) } else { Some(b) }
    }
}

fn in_flight(c: &Candidate<'_>) -> f64 {
    f64::from(c.running) / f64::from(c.slots.max(1))
}

fn min_by(candidates: &[Candidate<'_>], cost: impl Fn(&Candidate<'_>) -> f64) -> Option<usize> {
    (0..candidates.len()).min_by(|a, b| cost(&candidates[*a]).total_cmp(&cost(&candidates[*b])))
}
