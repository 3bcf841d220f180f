//! Values of the form control `datetime-local`, in UTC.

use crate::utc::UtcTime;

const MILLIS_PER_SECOND: u64 = 1_000;

/// Formats milliseconds since the Unix epoch as `2026-12-04T18:00:00`.
pub(crate) fn to_input_value(unix_ms: u64) -> String {
    let time = UtcTime::from_unix_ms(unix_ms);
    format!("{}T{}", time.date(), time.time_of_day())
}

/// Parses `2026-12-04T18:00`, with or without seconds, to milliseconds since the Unix epoch.
pub(crate) fn parse_input_value(text: &str) -> Option<u64> {
    let (date, clock) = text.split_once('T')?;
    let date: Vec<u64> = numbers(date, '-')?;
    let clock: Vec<u64> = numbers(clock, ':')?;
    let ([year, month, day], [hour, minute, rest @ ..]) = (date.as_slice(), clock.as_slice())
    else {
        return None;
    };
    let second = match rest {
        [] => 0,
        [second] => *second,
        _ => return None,
    };
    let in_range = (1970..=9_999).contains(year)
        && (1..=12).contains(month)
        && (1..=31).contains(day)
        && *hour < 24
        && *minute < 60
        && second < 60;
    if !in_range {
        return None;
    }
    let seconds = unix_day(*year, *month, *day) * 86_400 + hour * 3_600 + minute * 60 + second;
    let unix_ms = seconds * MILLIS_PER_SECOND;
    let same_day = to_input_value(unix_ms).starts_with(text.split_once('T')?.0);
    same_day.then_some(unix_ms)
}

fn numbers(text: &str, separator: char) -> Option<Vec<u64>> {
    text.split(separator)
        .map(|part| part.parse().ok())
        .collect()
}

/// Returns the number of days from the Unix epoch to a date from 1970 on.
///
/// Years are counted from March, so that a leap day is the last day of its year.
fn unix_day(year: u64, month: u64, day: u64) -> u64 {
    let year = if month <= 2 { year - 1 } else { year };
    let march_month = (month + 9) % 12;
    let day_of_year = (153 * march_month + 2) / 5 + day - 1;
    let leap_days = year / 4 - year / 100 + year / 400;
    365 * year + leap_days + day_of_year - 719_468
}
