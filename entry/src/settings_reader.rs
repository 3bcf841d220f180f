//! Reads typed fields of a JSON object of the settings and collects every problem.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use almondhead_macros::value;
use derive_more::Display;
use serde_json::Map;
use serde_json::Value;

/// One problem found in a settings file.
#[value]
#[derive(Display)]
#[display("{path}: {reason}")]
pub struct SettingsProblem {
    /// The JSON pointer of the value, such as `/limits/body_bytes`.
    pub path: String,
    /// What is wrong, or what the value must be.
    pub reason: String,
}

/// One object of the settings; a field is removed when it is read.
pub(crate) struct SettingsReader {
    path: String,
    fields: Map<String, Value>,
    problems: Vec<SettingsProblem>,
}

impl SettingsReader {
    pub(crate) fn new(path: String, value: Value) -> Self {
        let mut reader = SettingsReader {
            path,
            fields: Map::new(),
            problems: Vec::new(),
        };
        match value {
            Value::Object(fields) => reader.fields = fields,
            _ => {
                let path = reader.path.clone();
                reader.report(path, "must be an object");
            }
        }
        reader
    }

    /// Reads a required, non-empty string.
    pub(crate) fn string(&mut self, name: &str) -> String {
        let string = self.optional_string(name);
        if string.is_none() && !self.is_reported(name) {
            self.report_field(name, "is missing");
        }
        string.unwrap_or_default()
    }

    /// Reads a required, non-empty string of at most `max_bytes`.
    pub(crate) fn bounded_string(&mut self, name: &str, max_bytes: usize) -> String {
        let string = self.string(name);
        if string.len() > max_bytes {
            self.report_field(name, &format!("must be at most {max_bytes} bytes long"));
        }
        string
    }

    /// Reads an optional, non-empty string.
    pub(crate) fn optional_string(&mut self, name: &str) -> Option<String> {
        match self.fields.remove(name)? {
            Value::String(string) if !string.is_empty() => Some(string),
            _ => {
                self.report_field(name, "must be a non-empty string");
                None
            }
        }
    }

    /// Reads a required IP address with port.
    pub(crate) fn address(&mut self, name: &str) -> SocketAddr {
        let text = self.string(name);
        let parsed = text.parse::<SocketAddr>().ok();
        if parsed.is_none() && !self.is_reported(name) {
            self.report_field(name, "must be an IP address with a port, 10.0.0.1:8080");
        }
        parsed.unwrap_or(([0, 0, 0, 0], 0).into())
    }

    /// Reads `true` or `false`, `false` when left out.
    pub(crate) fn flag(&mut self, name: &str) -> bool {
        let Some(value) = self.fields.remove(name) else {
            return false;
        };
        value.as_bool().unwrap_or_else(|| {
            self.report_field(name, "must be true or false");
            false
        })
    }

    /// Reads a whole number within `range`, `default` when left out.
    pub(crate) fn number(&mut self, name: &str, range: RangeInclusive<u64>, default: u64) -> u64 {
        let Some(value) = self.fields.remove(name) else {
            return default;
        };
        match value.as_u64().filter(|number| range.contains(number)) {
            Some(number) => number,
            None => {
                let (low, high) = range.into_inner();
                self.report_field(name, &format!("must be a whole number, {low} to {high}"));
                default
            }
        }
    }

    /// Reads a required number above zero and at most `max`.
    pub(crate) fn positive(&mut self, name: &str, max: f64) -> f64 {
        let value = self.fields.remove(name).and_then(|value| value.as_f64());
        match value.filter(|value| *value > 0.0 && *value <= max) {
            Some(value) => value,
            None => {
                self.report_field(name, &format!("must be a number above 0 and at most {max}"));
                max
            }
        }
    }

    /// Reads a whole number within `range` that counts things in memory, `default` when left out.
    pub(crate) fn count(&mut self, name: &str, range: RangeInclusive<u64>, default: u64) -> usize {
        usize::try_from(self.number(name, range, default)).unwrap_or(usize::MAX)
    }

    /// Reads a nested object, empty when left out.
    pub(crate) fn object(&mut self, name: &str) -> SettingsReader {
        let path = format!("{}/{name}", self.path);
        let value = self.fields.remove(name);
        SettingsReader::new(path, value.unwrap_or_else(|| Map::new().into()))
    }

    /// Reads an optional nested object.
    pub(crate) fn optional_object(&mut self, name: &str) -> Option<SettingsReader> {
        self.fields.contains_key(name).then(|| self.object(name))
    }

    pub(crate) fn report_field(&mut self, name: &str, reason: &str) {
        self.report(format!("{}/{name}", self.path), reason);
    }

    /// Returns the problems of this object; each field left unread is reported as unknown.
    pub(crate) fn finish(mut self) -> Vec<SettingsProblem> {
        let unknown: Vec<String> = self.fields.keys().cloned().collect();
        for name in unknown {
            self.report_field(&name, "is not a known setting");
        }
        self.problems
    }

    fn is_reported(&self, name: &str) -> bool {
        let path = format!("{}/{name}", self.path);
        self.problems.iter().any(|problem| problem.path == path)
    }

    fn report(&mut self, path: String, reason: &str) {
        self.problems.push(SettingsProblem {
            path,
            reason: reason.to_owned(),
        });
    }
}
