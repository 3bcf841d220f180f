//! Times of the calendar, UTC.

const SECONDS_PER_DAY: u64 = 86_400;
const DAYS_PER_ERA: u64 = 146_097;
const YEARS_PER_ERA: u64 = 400;

/// The days from the first of March of the year 0 to the first of January 1970.
const EPOCH_DAY: u64 = 719_468;

/// A time since the Unix epoch as `2026-12-03 22:04:05 UTC`.
pub(crate) fn format_utc(unix_ms: u64) -> String {
    let seconds = unix_ms / 1_000;
    let second_of_day = seconds % SECONDS_PER_DAY;
    let (hour, minute, second) = (
        second_of_day / 3_600,
        second_of_day / 60 % 60,
        second_of_day % 60,
    );
    let date = format_date(seconds / SECONDS_PER_DAY);
    format!("{date} {hour:02}:{minute:02}:{second:02} UTC")
}

/// The date of a day since the Unix epoch, counted in years that begin in March.
fn format_date(unix_day: u64) -> String {
    let day = unix_day + EPOCH_DAY;
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
