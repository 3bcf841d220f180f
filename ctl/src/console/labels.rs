//! Human-readable labels of fields.

/// The unit suffixes of keys, and their form in labels.
const UNITS: [(&str, &str); 6] = [
    ("_at_unix_ms", " at (UTC)"),
    ("_ms", " (ms)"),
    ("_us", " (µs)"),
    ("_bytes", " (bytes)"),
    ("_mib", " (MiB)"),
    ("_percent", " (%)"),
];

/// Returns the label of a key: `Max deadline (ms)` for `max_deadline_ms`.
pub(crate) fn label_of(key: &str) -> String {
    let unit = UNITS.iter().find(|(suffix, _)| key.ends_with(suffix));
    let (suffix, shown) = unit.copied().unwrap_or(("", ""));
    let words = key.strip_suffix(suffix).unwrap_or(key).replace('_', " ");
    let mut letters = words.chars();
    let first = letters.next().map(|letter| letter.to_ascii_uppercase());
    format!("{}{}{shown}", String::from_iter(first), letters.as_str())
}
