//! The differences between two documents.

use std::fmt;

use almondhead_macros::message;
use indexmap::IndexMap;
use serde_json::Value;

use crate::document::Document;

/// The fields by which the elements of a list are told apart.
const IDENTITY_FIELDS: [&str; 2] = ["name", "to"];

/// One difference between two documents.
#[message]
pub struct Change {
    /// The path of the value, with list elements by name: `/upstreams/worker-1/slots`.
    pub path: String,
    /// The value before; none where it was added.
    pub before: Option<Value>,
    /// The value after; none where it was removed.
    pub after: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(formatter, "{path}: {before} -> {after}"),
            (None, Some(after)) => write!(formatter, "{path}: added {after}"),
            (Some(_), None) => write!(formatter, "{path}: removed"),
            (None, None) => write!(formatter, "{path}: unchanged"),
        }
    }
}

/// The differences from one document to another, defaults written out.
///
/// The order of list elements is no difference. Comments are not compared.
pub fn document_changes(before: &Document, after: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    compare(
        String::new(),
        Some(&to_json(before)),
        Some(&to_json(after)),
        &mut changes,
    );
    changes
}

fn to_json(document: &Document) -> Value {
    serde_json::to_value(document).expect("documents have text keys only")
}

fn compare(path: String, before: Option<&Value>, after: Option<&Value>, changes: &mut Vec<Change>) {
    if before == after {
        return;
    }
    let members = before.and_then(members).zip(after.and_then(members));
    let Some((before_members, after_members)) = members else {
        changes.push(Change {
            path,
            before: before.cloned(),
            after: after.cloned(),
        });
        return;
    };
    for (name, value) in &before_members {
        let inner = path_to(&path, name);
        compare(
            inner,
            Some(value),
            after_members.get(name).copied(),
            changes,
        );
    }
    for (name, value) in &after_members {
        if !before_members.contains_key(name) {
            compare(path_to(&path, name), None, Some(value), changes);
        }
    }
}

fn path_to(path: &str, name: &str) -> String {
    format!("{path}/{}", escape_pointer(name))
}

/// A key as a part of a JSON pointer.
pub(crate) fn escape_pointer(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}

/// The members of an object by key, or of a list by the identity of its elements.
fn members(value: &Value) -> Option<IndexMap<&str, &Value>> {
    match value {
        Value::Object(object) => Some(
            object
                .iter()
                .map(|(key, one)| (key.as_str(), one))
                .collect(),
        ),
        Value::Array(list) => list.iter().map(|one| Some((identity(one)?, one))).collect(),
        _ => None,
    }
}

fn identity(element: &Value) -> Option<&str> {
    let fields = IDENTITY_FIELDS.iter();
    let mut found = fields.filter_map(|field| element.get(field)?.as_str());
    found.next()
}
