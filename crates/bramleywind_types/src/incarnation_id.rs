use std::{fmt, str::FromStr};

use crate::NameError;

/// Identifies one run of a router, or one part of a run between two seals.
///
/// It is a random 64-bit number: the probability that any two incarnations of a fleet with a million restarts
/// collide is below 1 in 10^7.
///
/// ```
/// use bramleywind_types::IncarnationId;
///
/// let incarnation = IncarnationId::random();
/// assert_eq!(incarnation.to_string().parse(), Ok(incarnation));
/// ```
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct IncarnationId(u64);

const HEX_DIGITS: usize = 16;

impl IncarnationId {
    /// Returns a new random id.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Returns the id with the given number, for tests and fixtures.
    pub fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// Returns the id as a number.
    pub fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Debug for IncarnationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "IncarnationId({self})")
    }
}

impl fmt::Display for IncarnationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for IncarnationId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error =
            || NameError::NotHex { kind: "IncarnationId", value: text.into(), digits: HEX_DIGITS };
        if text.len() != HEX_DIGITS {
            return Err(error());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| error())
    }
}

impl TryFrom<Box<str>> for IncarnationId {
    type Error = NameError;

    fn try_from(text: Box<str>) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<IncarnationId> for Box<str> {
    fn from(id: IncarnationId) -> Self {
        id.to_string().into()
    }
}
