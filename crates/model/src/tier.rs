//! Classes of service.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};

/// Number of tiers: enough for each pair of an account's and a route's rank in a deployment with
/// roles. The catalogue's classes of service are the first five.
pub const TIER_COUNT: usize = 16;
/// Lowest class of service of the catalogue.
const LOWEST_CLASS: u8 = 4;

/// A rank by which requests are served, 0 (highest, shed last) to 15 (lowest, shed first).
///
/// `Ord` follows the number, so a smaller tier is a higher class.
///
/// # Examples
///
/// ```
/// use model::Tier;
///
/// let top = Tier::try_from(0)?;
/// assert!(top.outranks(Tier::LOWEST));
/// # Ok::<(), model::Error>(())
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "u8", into = "u8")]
pub struct Tier(u8);

impl Tier {
    /// The highest class.
    pub const HIGHEST: Self = Self(0);
    /// The lowest class.
    pub const LOWEST: Self = Self(15);

    /// All tiers, highest first.
    pub fn all() -> impl DoubleEndedIterator<Item = Self> {
        (Self::HIGHEST.0..=Self::LOWEST.0).map(Self)
    }

    /// The tier of a class of service of the catalogue, 0 to 4.
    ///
    /// # Errors
    ///
    /// If there is no such class.
    ///
    /// # Examples
    ///
    /// ```
    /// use model::Tier;
    ///
    /// assert_eq!(Tier::from_class(0)?, Tier::HIGHEST);
    /// assert!(Tier::from_class(5).is_err());
    /// # Ok::<(), model::Error>(())
    /// ```
    pub fn from_class(raw: u8) -> Result<Self, Error> {
        Self::up_to(raw, LOWEST_CLASS)
    }

    fn up_to(raw: u8, lowest: u8) -> Result<Self, Error> {
        if raw > lowest {
            return Err(ErrorKind::Tier { raw, lowest }.into());
        }
        Ok(Self(raw))
    }

    /// Position in an array of [`TIER_COUNT`] elements.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Whether this tier must be served before `other`.
    #[must_use]
    pub fn outranks(self, other: Self) -> bool {
        self < other
    }
}

impl TryFrom<u8> for Tier {
    type Error = Error;

    fn try_from(raw: u8) -> Result<Self, Error> {
        Self::up_to(raw, Self::LOWEST.0)
    }
}

impl From<Tier> for u8 {
    fn from(tier: Tier) -> Self {
        tier.0
    }
}

impl fmt::Display for Tier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
