//! Calendar dates and times of day in UTC.

const SECONDS_PER_DAY: u64 = 86_400;
const DAYS_PER_ERA: u64 = 146_097;
const YEARS_PER_ERA: u64 = 400;

/// The number of days from 0000-03-01 to 1970-01-01.
const DAYS_BEFORE_EPOCH: u64 = 719_468;

/// A point in time in UTC, to the second.
pub(crate) struct UtcTime {
    unix_seconds: u64,
}

impl UtcTime {
    /// Converts milliseconds since the Unix epoch, rounded down to the second.
    pub(crate) fn from_unix_ms(unix_ms: u64) -> Self {
        let unix_seconds = unix_ms / 1_000;
        UtcTime { unix_seconds }
    }

    /// Formats the date as `2026-12-03`.
    pub(crate) fn date(&self) -> String {
        format_date(self.unix_seconds / SECONDS_PER_DAY)
    }

    /// Formats the time of day as `22:04:05`.
    pub(crate) fn time_of_day(&self) -> String {
        let second = self.unix_seconds % SECONDS_PER_DAY;
        let (hour, minute) = (second / 3_600, second / 60 % 60);
        format!("{hour:02}:{minute:02}:{:02}", second % 60)
    }
}

/// Formats milliseconds since the Unix epoch as `2026-12-03 22:04:05 UTC`.
pub(crate) fn format_utc(unix_ms: u64) -> String {
    let time = UtcTime::from_unix_ms(unix_ms);
    format!("{} {} UTC", time.date(), time.time_of_day())
}

/// Formats the date of a day since the Unix epoch.
///
/// Years are counted from March, so that a leap day is the last day of its year.
fn format_date(unix_day: u64) -> String {
    let day = unix_day + DAYS_BEFORE_EPOCH;
    let day_of_era = day % DAYS_PER_ERA;
    let year_of_era =
        (day_of_era + day_of_era / 36_524 - day_of_era / 1_460 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let march_month = (5 * day_of_year + 2) / 153;
    let day_of_month = day_of_year - (153 * march_month + 2) / 5 + 1;
    let month = if march_month < 10 {
        march_month + 3
    } else {
        march_month - 9
    };
    let year = day / DAYS_PER_ERA * YEARS_PER_ERA + year_of_era + u64::from(month <= 2);
    format!("{year:04}-{month:02}-{day_of_month:02}")
}
