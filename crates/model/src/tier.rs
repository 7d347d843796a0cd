//! Tiers, the priorities by which requests are served and shed.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};

/// Number of tiers.
///
/// A deployment with roles needs one tier for each pair of an account's rank and a route's rank.
/// The catalogue's classes of service use the first five.
pub const TIER_COUNT: usize = 16;
/// The lowest class of service in the catalogue.
const LOWEST_CLASS: u8 = 4;

/// A priority of requests, from 0 (highest, shed last) to 15 (lowest, shed first).
///
/// `Ord` compares the numbers, so a smaller value is a higher tier.
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
    /// The highest tier, which is shed last.
    pub const HIGHEST: Self = Self(0);
    /// The lowest tier, which is shed first.
    pub const LOWEST: Self = Self(15);

    /// Returns all tiers, highest first.
    pub fn all() -> impl DoubleEndedIterator<Item = Self> {
        (Self::HIGHEST.0..=Self::LOWEST.0).map(Self)
    }

    /// Creates the tier of a class of service in the catalogue, 0 to 4.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such class.
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
        Self::with_lowest(raw, LOWEST_CLASS)
    }

    fn with_lowest(raw: u8, lowest: u8) -> Result<Self, Error> {
        if raw > lowest {
            return Err(ErrorKind::Tier { raw, lowest }.into());
        }
        Ok(Self(raw))
    }

    /// Returns the index of this tier in an array of [`TIER_COUNT`] elements.
    #[must_use]
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Returns whether this tier is higher than `other`, so that its requests are served first.
    #[must_use]
    pub fn outranks(self, other: Self) -> bool {
        self < other
    }
}

impl TryFrom<u8> for Tier {
    type Error = Error;

    fn try_from(raw: u8) -> Result<Self, Error> {
        Self::with_lowest(raw, Self::LOWEST.0)
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
