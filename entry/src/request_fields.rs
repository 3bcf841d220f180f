//! Reads typed fields of a request body and collects every error.

use std::fmt;
use std::ops::RangeInclusive;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde::de::Deserializer;
use serde::de::MapAccess;
use serde::de::Visitor;
use serde_json::value::RawValue;

use crate::problem::FieldError;

/// The unread fields of one JSON object, and the errors found so far.
#[derive(Default)]
pub(crate) struct RequestFields<'a> {
    prefix: String,
    fields: Vec<RawField<'a>>,
    errors: Vec<FieldError>,
}

/// A field whose value has not been parsed.
struct RawField<'a> {
    name: String,
    value: &'a RawValue,
}

impl<'a> RequestFields<'a> {
    /// Parses the object in `text`; an error is recorded when it is not a JSON object.
    pub(crate) fn parse(prefix: &str, text: &'a [u8]) -> Self {
        let mut parsed = RequestFields {
            prefix: prefix.to_owned(),
            ..RequestFields::default()
        };
        match serde_json::from_slice::<RawObject<'a>>(text) {
            Ok(object) => parsed.fields = object.0,
            Err(error) => parsed.report(prefix, &format!("must be a JSON object: {error}")),
        }
        parsed.report_repeated();
        parsed
    }

    /// Reads a required string of 1 to `max_bytes` bytes.
    pub(crate) fn string(&mut self, name: &str, max_bytes: usize) -> String {
        let reason = format!("must be a string of 1 to {max_bytes} bytes");
        let fits = |string: &String| (1..=max_bytes).contains(&string.len());
        match self.take(name) {
            Some(raw) => self.checked(name, raw, &reason, fits),
            None => {
                self.report_field(name, &reason);
                None
            }
        }
        .unwrap_or_default()
    }

    /// Reads an optional whole number within `range`.
    pub(crate) fn number(&mut self, name: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let raw = self.take(name)?;
        let reason = format!(
            "must be a whole number, {} to {}",
            range.start(),
            range.end()
        );
        self.checked(name, raw, &reason, |number| range.contains(number))
    }

    /// Reads a boolean, false when left out.
    pub(crate) fn flag(&mut self, name: &str) -> bool {
        let raw = self.take(name);
        raw.and_then(|raw| self.checked(name, raw, "must be true or false", |_| true))
            .unwrap_or(false)
    }

    /// Reads a required list of 1 to `max_items` values of any type.
    pub(crate) fn list(&mut self, name: &str, max_items: usize) -> Vec<&'a RawValue> {
        let reason = format!("must be a list of 1 to {max_items} inputs");
        let Some(raw) = self.take(name) else {
            self.report_field(name, &reason);
            return Vec::new();
        };
        let items = serde_json::from_str::<Vec<&'a RawValue>>(raw.get()).unwrap_or_default();
        if items.is_empty() || items.len() > max_items {
            self.report_field(name, &reason);
        }
        items
    }

    /// Reads a nested object, empty when left out.
    pub(crate) fn object(&mut self, name: &str) -> RequestFields<'a> {
        let prefix = format!("{}/{name}", self.prefix);
        match self.take(name) {
            Some(raw) => RequestFields::parse(&prefix, raw.get().as_bytes()),
            None => RequestFields {
                prefix,
                ..RequestFields::default()
            },
        }
    }

    /// Returns the errors of this object; each field left unread is reported as unknown.
    pub(crate) fn finish(mut self) -> Vec<FieldError> {
        let unknown: Vec<String> = self.fields.drain(..).map(|field| field.name).collect();
        for name in unknown {
            self.report_field(&name, "is not a known field");
        }
        self.errors
    }

    fn take(&mut self, name: &str) -> Option<&'a RawValue> {
        let position = self.fields.iter().position(|field| field.name == name)?;
        Some(self.fields.remove(position).value)
    }

    fn checked<T: DeserializeOwned>(
        &mut self,
        name: &str,
        raw: &RawValue,
        reason: &str,
        is_valid: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let parsed = serde_json::from_str::<T>(raw.get()).ok().filter(is_valid);
        if parsed.is_none() {
            self.report_field(name, reason);
        }
        parsed
    }

    fn report_repeated(&mut self) {
        let mut seen: Vec<String> = Vec::new();
        for field in std::mem::take(&mut self.fields) {
            if seen.contains(&field.name) {
                self.report_field(&field.name, "must not occur more than once");
                continue;
            }
            seen.push(field.name.clone());
            self.fields.push(field);
            if seen.len() > MAX_FIELDS {
                let prefix = self.prefix.clone();
                self.report(&prefix, "has too many fields");
                return;
            }
        }
    }

    fn report_field(&mut self, name: &str, reason: &str) {
        let name: String = name.chars().take(MAX_REPORTED_NAME_CHARS).collect();
        let field = format!("{}/{name}", self.prefix);
        self.report(&field, reason);
    }

    fn report(&mut self, field: &str, reason: &str) {
        self.errors.push(FieldError {
            field: field.to_owned(),
            reason: reason.to_owned(),
        });
    }
}

/// Maximum number of fields of one object.
const MAX_FIELDS: usize = 64;
/// Maximum number of characters of a field's name that an error repeats.
const MAX_REPORTED_NAME_CHARS: usize = 100;

/// The fields of a JSON object in the order of the text, repeated ones included.
struct RawObject<'a>(Vec<RawField<'a>>);

impl<'de> Deserialize<'de> for RawObject<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(RawObjectVisitor)
    }
}

struct RawObjectVisitor;

impl<'de> Visitor<'de> for RawObjectVisitor {
    type Value = RawObject<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut fields = Vec::new();
        while let Some(name) = map.next_key::<String>()? {
            let value = map.next_value::<&'de RawValue>()?;
            fields.push(RawField { name, value });
        }
        Ok(RawObject(fields))
    }
}
