//! The check of a document's structure against its JSON Schema.

use std::net::SocketAddr;

use indexmap::IndexSet;
use jsonc_parser::ast::Array;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use serde_json::Value as Json;

use crate::check_cursor::Cursor;
use crate::check_report::Report;
use crate::check_report::quoted;
use crate::schema::SOCKET_ADDRESS_FORMAT;
use crate::schema::document_schema;

const DEFINITION_PREFIX: &str = "#/$defs/";

/// Reports unknown and duplicate keys, missing fields, wrong types and values out of bounds.
pub(crate) fn check_shape(root: &Cursor<'_>, report: &mut Report) {
    let schema = document_schema();
    let mut check = ShapeCheck {
        definitions: &schema["$defs"],
        report,
    };
    check.value(root, &schema);
}

struct ShapeCheck<'c> {
    definitions: &'c Json,
    report: &'c mut Report,
}

impl ShapeCheck<'_> {
    fn value(&mut self, cursor: &Cursor<'_>, schema: &Json) {
        let schema = self.resolved(schema);
        if schema["oneOf"].is_array() {
            return self.enumeration(cursor, schema);
        }
        if allows(schema, "null") && cursor.value.as_null_keyword().is_some() {
            return;
        }
        match cursor.value {
            Value::Object(object) if allows(schema, "object") => {
                self.object(cursor, object, schema);
            }
            Value::Array(array) if allows(schema, "array") => self.array(cursor, array, schema),
            Value::StringLit(text) if allows(schema, "string") => {
                self.string(cursor, &text.value, schema);
            }
            Value::NumberLit(number) if allows(schema, "integer") => {
                self.integer(cursor, number.value, schema);
            }
            Value::BooleanLit(_) if allows(schema, "boolean") => {}
            value => {
                let reason = format!("must be {}, not {}", expected(schema), kind(value));
                self.add(cursor, reason);
            }
        }
    }

    fn resolved<'s>(&self, schema: &'s Json) -> &'s Json
    where
        Self: 's,
    {
        let Some(reference) = schema["$ref"].as_str() else {
            return schema;
        };
        let name = reference.trim_start_matches(DEFINITION_PREFIX);
        &self.definitions[name]
    }

    fn enumeration(&mut self, cursor: &Cursor<'_>, schema: &Json) {
        let variants: Vec<&str> = elements(&schema["oneOf"])
            .iter()
            .filter_map(|variant| variant["const"].as_str())
            .collect();
        let value = cursor.text();
        if value.is_some_and(|text| variants.contains(&text)) {
            return;
        }
        let found = value.map_or_else(|| kind(cursor.value).to_owned(), quoted);
        let reason = format!("must be one of {}, not {found}", variants.join(", "));
        self.add(cursor, reason);
    }

    fn object(&mut self, cursor: &Cursor<'_>, object: &Object<'_>, schema: &Json) {
        let mut seen = IndexSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let path = cursor.path_to(name);
            let offset = property.range().start;
            if !seen.insert(name) {
                self.report.add(offset, path, "is given twice".to_owned());
                continue;
            }
            let Some(field) = schema["properties"].get(name) else {
                let reason = format!("unknown key; allowed keys: {}", allowed_keys(schema));
                self.report.add(offset, path, reason);
                continue;
            };
            let value = Cursor {
                value: &property.value,
                path,
            };
            self.value(&value, field);
        }
        let required = elements(&schema["required"]);
        for name in required.iter().filter_map(Json::as_str) {
            if !seen.contains(name) {
                let path = cursor.path_to(name);
                let reason = "is missing".to_owned();
                self.report.add(cursor.offset(), path, reason);
            }
        }
    }

    fn array(&mut self, cursor: &Cursor<'_>, array: &Array<'_>, schema: &Json) {
        let count = array.elements.len() as u64;
        if let Some(max) = schema["maxItems"].as_u64().filter(|max| count > *max) {
            let reason = format!("has {count} elements, more than the {max} allowed");
            return self.add(cursor, reason);
        }
        if let Some(min) = schema["minItems"].as_u64().filter(|min| count < *min) {
            self.add(cursor, format!("must have at least {min} elements"));
        }
        for element in cursor.elements(array) {
            self.value(&element, &schema["items"]);
        }
    }

    fn string(&mut self, cursor: &Cursor<'_>, text: &str, schema: &Json) {
        let count = text.chars().count() as u64;
        if schema["minLength"].as_u64().is_some_and(|min| count < min) {
            self.add(cursor, "must not be empty".to_owned());
        }
        if let Some(max) = schema["maxLength"].as_u64().filter(|max| count > *max) {
            let reason = format!("has {count} characters, more than the {max} allowed");
            self.add(cursor, reason);
        }
        if schema["format"] == SOCKET_ADDRESS_FORMAT && text.parse::<SocketAddr>().is_err() {
            let found = quoted(text);
            let reason = format!("must be an IP address with a port, 10.0.0.1:8080, not {found}");
            self.add(cursor, reason);
        }
    }

    fn integer(&mut self, cursor: &Cursor<'_>, literal: &str, schema: &Json) {
        let number = cursor.number();
        let Some(number) = number.filter(|number| number.to_string() == literal) else {
            let found = quoted(literal);
            return self.add(cursor, format!("must be a whole number, not {found}"));
        };
        let min = bound(&schema["minimum"]);
        let max = bound(&schema["maximum"]);
        if min.is_some_and(|min| number < min) || max.is_some_and(|max| number > max) {
            let min = min.unwrap_or(i128::MIN);
            let max = max.unwrap_or(i128::MAX);
            self.add(cursor, format!("must be {min} to {max}, not {number}"));
        }
    }

    fn add(&mut self, cursor: &Cursor<'_>, reason: String) {
        self.report
            .add(cursor.offset(), cursor.path.clone(), reason);
    }
}

fn elements(list: &Json) -> &[Json] {
    list.as_array().map_or(&[], Vec::as_slice)
}

fn bound(limit: &Json) -> Option<i128> {
    limit.as_u64().map(i128::from)
}

fn allows(schema: &Json, name: &str) -> bool {
    let allowed = &schema["type"];
    allowed == name || elements(allowed).iter().any(|kind| kind == name)
}

fn allowed_keys(schema: &Json) -> String {
    let Some(properties) = schema["properties"].as_object() else {
        return String::new();
    };
    let names: Vec<&str> = properties.keys().map(String::as_str).collect();
    names.join(", ")
}

fn expected(schema: &Json) -> &'static str {
    let names = [
        ("object", "an object"),
        ("array", "a list"),
        ("string", "a string"),
        ("integer", "a whole number"),
        ("boolean", "true or false"),
    ];
    let named = names.iter().find(|(name, _)| allows(schema, name));
    named.map_or("another value", |(_, text)| *text)
}

fn kind(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a string",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}
