//! Edits of a document's text that leave the rest of the text, including comments, unchanged.

use derive_more::Display;
use derive_more::Error;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Range;
use jsonc_parser::common::Ranged;
use serde_json::Value as Json;

use crate::check::parse_value;
use crate::check_cursor::Cursor;

/// Why an edit cannot be made.
#[derive(Debug, Display, Error)]
pub enum EditError {
    /// The text cannot be parsed.
    #[display("cannot edit {path}: the document has a syntax error")]
    Syntax {
        /// The JSON pointer of the object, list or element to edit.
        path: String,
    },
    /// There is no object, list or element at the path.
    #[display("cannot edit {path}: the document has no such object, list or element")]
    NotFound {
        /// The JSON pointer of the object, list or element to edit.
        path: String,
    },
}

/// The byte ranges of an object or list and of its members in the text.
struct Container {
    range: Range,
    members: Vec<Range>,
}

/// Sets a field of the object at a JSON pointer, or removes the field if `value` is `None`.
///
/// # Errors
///
/// When the text has a syntax error, or there is no object at the pointer.
pub fn set_field(
    text: &str,
    path: &str,
    field: &str,
    value: Option<&Json>,
) -> Result<String, EditError> {
    let tree = parse(text, path)?;
    let cursor = find(&tree, path)?;
    let object = cursor.value.as_object().ok_or_else(|| not_found(path))?;
    let container = Container {
        range: object.range,
        members: object.properties.iter().map(Ranged::range).collect(),
    };
    let mut properties = object.properties.iter();
    let index = properties.position(|property| property.name.as_str() == field);
    Ok(match (index, value) {
        (Some(index), Some(value)) => {
            let old = object.properties[index].value.range();
            splice(text, old.start, old.end, &value.to_string())
        }
        (Some(index), None) => container.remove(text, index),
        (None, Some(value)) => container.append(text, &format!("{}: {value}", Json::from(field))),
        (None, None) => text.to_owned(),
    })
}

/// Appends an element to the list at a JSON pointer.
///
/// # Errors
///
/// When the text has a syntax error, or there is no list at the pointer.
pub fn append_element(text: &str, path: &str, value: &Json) -> Result<String, EditError> {
    let tree = parse(text, path)?;
    let container = list_at(&tree, path)?;
    Ok(container.append(text, &format!("\n    {value}")))
}

/// Removes an element of the list at a JSON pointer.
///
/// # Errors
///
/// When the text has a syntax error, or there is no such element.
pub fn remove_element(text: &str, path: &str, index: usize) -> Result<String, EditError> {
    let tree = parse(text, path)?;
    let container = list_at(&tree, path)?;
    if index >= container.members.len() {
        return Err(not_found(&format!("{path}/{index}")));
    }
    Ok(container.remove(text, index))
}

/// Parses a document's text into its values; returns `None` if it cannot be parsed.
pub fn read_values(text: &str) -> Option<Json> {
    jsonc_parser::parse_to_serde_value(text, &crate::check::strict_options()).ok()
}

impl Container {
    fn append(&self, text: &str, member: &str) -> String {
        match self.members.last() {
            Some(last) => splice(text, last.end, last.end, &format!(", {member}")),
            None => {
                let start = self.range.start + 1;
                splice(text, start, start, member)
            }
        }
    }

    fn remove(&self, text: &str, index: usize) -> String {
        let removed = self.members[index];
        if let Some(next) = self.members.get(index + 1) {
            return splice(text, removed.start, next.start, "");
        }
        match index.checked_sub(1) {
            Some(previous) => splice(text, self.members[previous].end, removed.end, ""),
            None => splice(text, self.range.start + 1, self.range.end - 1, ""),
        }
    }
}

fn parse<'t>(text: &'t str, path: &str) -> Result<Value<'t>, EditError> {
    let path = path.to_owned();
    parse_value(text).ok_or(EditError::Syntax { path })
}

fn find<'t>(tree: &'t Value<'t>, path: &str) -> Result<Cursor<'t>, EditError> {
    Cursor::root(tree).at(path).ok_or_else(|| not_found(path))
}

fn list_at<'t>(tree: &'t Value<'t>, path: &str) -> Result<Container, EditError> {
    let cursor = find(tree, path)?;
    let array = cursor.value.as_array().ok_or_else(|| not_found(path))?;
    Ok(Container {
        range: array.range,
        members: array.elements.iter().map(Ranged::range).collect(),
    })
}

fn not_found(path: &str) -> EditError {
    let path = path.to_owned();
    EditError::NotFound { path }
}

fn splice(text: &str, start: usize, end: usize, replacement: &str) -> String {
    format!("{}{replacement}{}", &text[..start], &text[end..])
}
