use std::{fmt, num::ParseIntError, str::FromStr};

/// Identifies the text of a part of a prompt. Its textual form is hexadecimal.
///
/// ```
/// use bramleywind_gateway::platform_api::PartId;
///
/// let part: PartId = "5c1e07a2".parse().unwrap();
/// assert_eq!(part, PartId(0x5c1e_07a2));
/// assert_eq!(part.to_string(), "5c1e07a2");
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::LowerHex::fmt(&self.0, f)
    }
}

impl FromStr for PartId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
