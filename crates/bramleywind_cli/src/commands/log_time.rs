use std::{str::FromStr, time::Duration};

use snafu::{OptionExt, Snafu};

/// The time of a log line in nanoseconds since 1970.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LogTime(u128);

/// A text that is no time in the format of the logs.
#[derive(Debug, Snafu)]
#[snafu(display("`{text}` is no time; expected one like 2026-12-04T14:20:37.5Z"))]
pub(super) struct InvalidLogTime {
    text: Box<str>,
}

impl LogTime {
    /// Returns the time that lies `duration` before this one.
    pub(super) fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_nanos()))
    }
}

impl FromStr for LogTime {
    type Err = InvalidLogTime;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_nanos(text).map(Self).context(InvalidLogTimeSnafu { text })
    }
}

/// Parses `YYYY-MM-DDTHH:MM:SS.FZ`, where the fraction may be missing.
fn parse_nanos(text: &str) -> Option<u128> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let (time, fraction) = time.split_once('.').unwrap_or((time, ""));
    let [year, month, day] = parse_numbers(date, '-')?;
    let [hour, minute, second] = parse_numbers(time, ':')?;
    let nanos: u32 =
        if fraction.is_empty() { 0 } else { format!("{fraction:0<9}").get(..9)?.parse().ok()? };
    let seconds = days_since_1970(year, month, day)? * 86_400 + hour * 3_600 + minute * 60 + second;
    Some(u128::from(seconds) * 1_000_000_000 + u128::from(nanos))
}

fn parse_numbers(text: &str, separator: char) -> Option<[u64; 3]> {
    let numbers: Vec<u64> = text.split(separator).map(str::parse).collect::<Result<_, _>>().ok()?;
    numbers.try_into().ok()
}

/// Returns the days from 1970-01-01 to a date of the Gregorian calendar. Years begin in March here, so that a leap day is the
/// last day of its year.
fn days_since_1970(year: u64, month: u64, day: u64) -> Option<u64> {
    let is_valid = year >= 1970 && (1..=12).contains(&month) && (1..=31).contains(&day);
    if !is_valid {
        return None;
    }
    let (year, month) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let leap_days = year / 4 - year / 100 + year / 400;
    // Days from the first of March of the year 0 to 1970-01-01.
    const EPOCH_DAYS: u64 = 719_468;
    Some(year * 365 + leap_days + (153 * month + 2) / 5 + day - 1 - EPOCH_DAYS)
}
