//! The differences between two documents.

use std::fmt;

use almondhead_macros::message;
use indexmap::IndexMap;
use serde_json::Value;

use crate::document::Document;

/// The fields that identify an element within its list.
const IDENTITY_FIELDS: [&str; 2] = ["name", "to"];

/// One difference between two documents.
#[message]
pub struct Change {
    /// The path of the value, with list elements by name: `/upstreams/worker-1/slots`.
    pub path: String,
    /// The value before the change; `None` if the value was added.
    pub before: Option<Value>,
    /// The value after the change; `None` if the value was removed.
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

/// The changes from `before` to `after`, compared with all defaults filled in.
///
/// The order of list elements and comments are ignored.
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

/// Escapes a key for use in a JSON pointer.
pub(crate) fn escape_pointer(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}

/// The members of an object by key, or the elements of a list by identity.
///
/// Returns `None` for other values, and for lists with an element that has no identity field.
fn members(value: &Value) -> Option<IndexMap<&str, &Value>> {
    match value {
        Value::Object(object) => Some(
            object
                .iter()
                .map(|(key, member)| (key.as_str(), member))
                .collect(),
        ),
        Value::Array(list) => list
            .iter()
            .map(|element| Some((identity(element)?, element)))
            .collect(),
        _ => None,
    }
}

fn identity(element: &Value) -> Option<&str> {
    let fields = IDENTITY_FIELDS.iter();
    let mut identities = fields.filter_map(|field| element.get(field)?.as_str());
    identities.next()
}
