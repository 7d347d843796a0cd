//! What VMs tell each other of parts.
//!
//! The types are serialized, so the names of fields are part of the protocol.

use model::{Part, ServerId, ServiceName, Span};
use serde::{Deserialize, Serialize};

/// The end of a server before its answer to a request with a part had gone on for a while.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Server that ended.
    pub server: ServerId,
    /// Time since its end was noticed.
    pub age: Span,
    /// Whether the request was let through to try a blocked part.
    pub is_trial: bool,
    /// Whether the server answered others soon after, so that only a connection ended.
    pub is_refuted: bool,
}

/// What one VM knows of a part under which servers ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Service whose servers ended.
    pub service: ServiceName,
    /// The part.
    pub part: Part,
    /// Ends of servers since an answer with the part last went on, the latest ones.
    pub ends: Vec<End>,
    /// Time since an answer with the part last went on, if one did lately.
    pub cleared: Option<Span>,
    /// Time since the part was blocked. `None` if it is not blocked.
    pub blocked: Option<Span>,
    /// Time since a request was last let through.
    pub tried: Option<Span>,
}

impl Suspect {
    /// Returns the same knowledge as seen `time` later: every age grows by `time`.
    ///
    /// # Examples
    ///
    /// ```
    /// use model::{Part, Span};
    /// use poison::Suspect;
    ///
    /// let suspect = Suspect {
    ///     service: "desk".try_into()?,
    ///     part: Part::from("a1"),
    ///     ends: Vec::new(),
    ///     cleared: None,
    ///     blocked: Some(Span::from_secs(2)),
    ///     tried: None,
    /// };
    /// assert_eq!(suspect.after(Span::from_secs(3)).blocked, Some(Span::from_secs(5)));
    /// # Ok::<(), model::Error>(())
    /// ```
    #[must_use]
    pub fn after(&self, time: Span) -> Self {
        let mut later = self.clone();
        let Self { ends, cleared, blocked, tried, .. } = &mut later;
        let ages = ends.iter_mut().map(|end| &mut end.age);
        for age in ages.chain([cleared, blocked, tried].into_iter().flatten()) {
            *age = *age + time;
        }
        later
    }
}
