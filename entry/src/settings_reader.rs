//! Reads typed fields out of a JSON object and gathers every fault.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use almondhead_macros::value;
use derive_more::Display;
use serde_json::Map;
use serde_json::Value;

/// One fault of a settings file.
#[value]
#[derive(Display)]
#[display("{path}: {reason}")]
pub struct SettingsProblem {
    /// The JSON pointer of the faulty value, `/limits/body_bytes`.
    pub path: String,
    /// What is wrong, and what would be right.
    pub reason: String,
}

/// One object of the settings; fields are taken out as they are read.
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

    /// A text that must be there and not be empty.
    pub(crate) fn text(&mut self, name: &str) -> String {
        let text = self.optional_text(name);
        if text.is_none() && !self.is_reported(name) {
            self.report_field(name, "is missing");
        }
        text.unwrap_or_default()
    }

    /// A text of at most `max_bytes` that must be there.
    pub(crate) fn short_text(&mut self, name: &str, max_bytes: usize) -> String {
        let text = self.text(name);
        if text.len() > max_bytes {
            self.report_field(name, &format!("must hold at most {max_bytes} bytes"));
        }
        text
    }

    /// A text that may be left out.
    pub(crate) fn optional_text(&mut self, name: &str) -> Option<String> {
        match self.fields.remove(name)? {
            Value::String(text) if !text.is_empty() => Some(text),
            _ => {
                self.report_field(name, "must be a text that is not empty");
                None
            }
        }
    }

    /// An IP address with its port that must be there.
    pub(crate) fn address(&mut self, name: &str) -> SocketAddr {
        let text = self.text(name);
        let parsed = text.parse::<SocketAddr>().ok();
        if parsed.is_none() && !self.is_reported(name) {
            self.report_field(name, "must be an IP address with a port, 10.0.0.1:8080");
        }
        parsed.unwrap_or(([0, 0, 0, 0], 0).into())
    }

    /// A whole number of `range`, `default` when left out.
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

    /// A whole number of `range` that counts things in memory.
    pub(crate) fn count(&mut self, name: &str, range: RangeInclusive<u64>, default: u64) -> usize {
        usize::try_from(self.number(name, range, default)).unwrap_or(usize::MAX)
    }

    /// A part of the settings, empty when left out.
    pub(crate) fn object(&mut self, name: &str) -> SettingsReader {
        let path = format!("{}/{name}", self.path);
        let value = self.fields.remove(name);
        SettingsReader::new(path, value.unwrap_or_else(|| Map::new().into()))
    }

    /// A part of the settings that may be left out.
    pub(crate) fn optional_object(&mut self, name: &str) -> Option<SettingsReader> {
        self.fields.contains_key(name).then(|| self.object(name))
    }

    pub(crate) fn report_field(&mut self, name: &str, reason: &str) {
        self.report(format!("{}/{name}", self.path), reason);
    }

    /// The faults of this object, with each field that nobody has read.
    pub(crate) fn finish(mut self) -> Vec<SettingsProblem> {
        let unknown: Vec<String> = self.fields.keys().cloned().collect();
        for name in unknown {
            self.report_field(&name, "is no known setting");
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
