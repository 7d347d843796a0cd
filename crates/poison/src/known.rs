//! What is known of parts, kept for VMs that start.

use model::Time;

use crate::suspect::Suspect;

/// Suspects as they were known at some time.
///
/// # Examples
///
/// ```
/// use model::{Part, Span, Time};
/// use poison::{Known, Suspect};
///
/// let mut suspect = Suspect {
///     service: "desk".try_into()?,
///     part: Part::from("a1"),
///     ends: Vec::new(),
///     cleared: None,
///     blocked: Some(Span::from_secs(2)),
///     tried: None,
/// };
/// let (now, later) = (Time::from_micros(0), Time::from_micros(1_000_000));
/// let mut known = Known::default();
/// assert!(known.update(now, vec![suspect.clone()]));
/// suspect = suspect.after(Span::from_secs(1));
/// assert_eq!(known.at(later), [suspect.clone()]);
/// assert!(!known.update(later, vec![suspect]), "it is the same but for its age");
/// # Ok::<(), model::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Known {
    at: Time,
    suspects: Vec<Suspect>,
}

impl Known {
    /// Returns the suspects with their ages at `now`.
    #[must_use]
    pub fn at(&self, now: Time) -> Vec<Suspect> {
        self.suspects.iter().map(|suspect| suspect.after(now - self.at)).collect()
    }

    /// Replaces the suspects by those known at `now`. Returns whether more than their ages changed.
    pub fn update(&mut self, now: Time, suspects: Vec<Suspect>) -> bool {
        let is_news = self.at(now) != suspects;
        if is_news {
            *self = Self { at: now, suspects };
        }
        is_news
    }
}
