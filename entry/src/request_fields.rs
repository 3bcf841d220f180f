//! Reads typed fields out of a request body and gathers every fault.

use std::fmt;
use std::ops::RangeInclusive;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde::de::Deserializer;
use serde::de::MapAccess;
use serde::de::Visitor;
use serde_json::value::RawValue;

use crate::problem::FieldError;

/// The fields of one JSON object, unread, and the faults found so far.
#[derive(Default)]
pub(crate) struct RequestFields<'a> {
    prefix: String,
    fields: Vec<RawField<'a>>,
    errors: Vec<FieldError>,
}

struct RawField<'a> {
    name: String,
    value: &'a RawValue,
}

impl<'a> RequestFields<'a> {
    /// The fields of the object in `text`; a fault when it is none.
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

    /// A text of at most `max_bytes` that must be there.
    pub(crate) fn text(&mut self, name: &str, max_bytes: usize) -> String {
        let reason = format!("must be a text of 1 to {max_bytes} bytes");
        let fits = |text: &String| (1..=max_bytes).contains(&text.len());
        match self.take(name) {
            Some(raw) => self.checked(name, raw, &reason, fits),
            None => {
                self.report_field(name, &reason);
                None
            }
        }
        .unwrap_or_default()
    }

    /// A whole number of `range` that may be left out.
    pub(crate) fn number(&mut self, name: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let raw = self.take(name)?;
        let reason = format!(
            "must be a whole number, {} to {}",
            range.start(),
            range.end()
        );
        self.checked(name, raw, &reason, |number| range.contains(number))
    }

    /// A truth value, false when left out.
    pub(crate) fn flag(&mut self, name: &str) -> bool {
        let raw = self.take(name);
        raw.and_then(|raw| self.checked(name, raw, "must be true or false", |_| true))
            .unwrap_or(false)
    }

    /// A list of any values that must be there and hold 1 to `max_items`.
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

    /// An object within this one, empty when left out.
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

    /// The faults of this object, with each field that nobody has read.
    pub(crate) fn finish(mut self) -> Vec<FieldError> {
        let unknown: Vec<String> = self.fields.drain(..).map(|field| field.name).collect();
        for name in unknown {
            self.report_field(&name, "is no known field");
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
        is_right: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let parsed = serde_json::from_str::<T>(raw.get()).ok().filter(is_right);
        if parsed.is_none() {
            self.report_field(name, reason);
        }
        parsed
    }

    fn report_repeated(&mut self) {
        let mut seen: Vec<String> = Vec::new();
        for field in std::mem::take(&mut self.fields) {
            if seen.contains(&field.name) {
                self.report_field(&field.name, "must not stand twice");
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
        let name: String = name.chars().take(MAX_NAME_CHARS).collect();
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

const MAX_FIELDS: usize = 64;
const MAX_NAME_CHARS: usize = 100;

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
