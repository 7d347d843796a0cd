//! Load balancing policies that choose a backend server among those with a free slot.

use model::ServerId;

/// A backend server that can take one more request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The server's announced id.
    pub id: &'a ServerId,
    /// Number of requests that the server announced to work on at once.
    pub slots: u32,
    /// Requests in flight on the server: those of this VM, and those that other VMs report to it.
    pub running: u32,
    /// Load that the server reported in its last announcement; possibly stale.
    pub reported_load: u32,
    /// Predicted seconds of work of the requests in flight, at a server of ordinary speed.
    pub work: f64,
    /// Predicted seconds of work that this ticket adds.
    pub added_work: f64,
    /// Observed duration of work relative to its prediction; 1 is ordinary, and more is slower.
    pub slowness: f64,
}

/// A policy that chooses one of several servers.
pub trait Router: Send {
    /// Returns the index of the chosen candidate, or `None` if `candidates` is empty.
    fn choose(&mut self, candidates: &[Candidate<'_>]) -> Option<usize>;
}

/// Chooses the server on which the ticket is predicted to finish first.
#[derive(Clone, Copy, Debug, Default)]
pub struct Predicted;

impl Router for Predicted {
    fn choose(&mut self, candidates: &[Candidate<'_>]) -> Option<usize> {
        min_by(candidates, |c| c.slowness * (c.added_work + c.work / f64::from(c.slots.max(1))))
    }
}

/// Chooses servers in turn.
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

/// Chooses the server that last reported the least load per slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastReported;

impl Router for LeastReported {
    fn choose(&mut self, candidates: &[Candidate<'_>]) -> Option<usize> {
        min_by(candidates, |c| f64::from(c.reported_load) / f64::from(c.slots.max(1)))
    }
}

/// Chooses the server with the fewest requests in flight per slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInFlight;

impl Router for LeastInFlight {
    fn choose(&mut self, candidates: &[Candidate<'_>]) -> Option<usize> {
        min_by(candidates, in_flight)
    }
}

/// Chooses the one with fewer requests in flight per slot of two servers drawn at random.
#[derive(Clone, Copy, Debug)]
pub struct TwoChoices {
    state: u64,
}

impl TwoChoices {
    /// Creates a router whose random draws start from `seed`.
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
