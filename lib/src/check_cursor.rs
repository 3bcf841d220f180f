//! A position in the syntax tree of a document, with its JSON pointer.

use jsonc_parser::ast::Array;
use jsonc_parser::ast::ObjectProp;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use crate::document_diff::escape_pointer;

/// A value in the syntax tree of a document and its JSON pointer.
#[derive(Clone)]
pub(crate) struct Cursor<'t> {
    /// The value.
    pub(crate) value: &'t Value<'t>,
    /// The JSON pointer of the value from the root.
    pub(crate) path: String,
}

impl<'t> Cursor<'t> {
    /// Creates the cursor at the root of a document.
    pub(crate) fn root(value: &'t Value<'t>) -> Self {
        Cursor {
            value,
            path: String::new(),
        }
    }

    /// The byte offset at which the value starts.
    pub(crate) fn offset(&self) -> usize {
        self.value.range().start
    }

    /// The property `name` of this object, the first one if it is given twice.
    pub(crate) fn field(&self, name: &str) -> Option<Cursor<'t>> {
        let object = self.value.as_object()?;
        let property = object
            .properties
            .iter()
            .find(|property| property.name.as_str() == name)?;
        Some(self.property(property))
    }

    /// The cursor at a property of this object.
    pub(crate) fn property(&self, property: &'t ObjectProp<'t>) -> Cursor<'t> {
        Cursor {
            value: &property.value,
            path: self.path_to(property.name.as_str()),
        }
    }

    /// The JSON pointer of the property `name` of this object.
    pub(crate) fn path_to(&self, name: &str) -> String {
        format!("{}/{}", self.path, escape_pointer(name))
    }

    /// The value at a JSON pointer relative to this one; `None` if there is none.
    pub(crate) fn at(&self, pointer: &str) -> Option<Cursor<'t>> {
        let mut cursor = self.clone();
        for part in pointer.split('/').skip(1) {
            cursor = match cursor.value.as_array() {
                Some(array) => {
                    let index: usize = part.parse().ok()?;
                    Cursor {
                        value: array.elements.get(index)?,
                        path: format!("{}/{index}", cursor.path),
                    }
                }
                None => cursor.field(&part.replace("~1", "/").replace("~0", "~"))?,
            };
        }
        Some(cursor)
    }

    /// The elements of the list in the property `name`; empty if that is missing or not a list.
    pub(crate) fn items(&self, name: &str) -> Vec<Cursor<'t>> {
        let Some(list) = self.field(name) else {
            return Vec::new();
        };
        let Some(array) = list.value.as_array() else {
            return Vec::new();
        };
        list.elements(array)
    }

    /// The cursors at the elements of `array`, which must be the value of this cursor.
    pub(crate) fn elements(&self, array: &'t Array<'t>) -> Vec<Cursor<'t>> {
        let elements = array.elements.iter().enumerate();
        elements
            .map(|(index, value)| Cursor {
                value,
                path: format!("{}/{index}", self.path),
            })
            .collect()
    }

    /// The string; `None` if the value is not a string.
    pub(crate) fn text(&self) -> Option<&'t str> {
        let literal = self.value.as_string_lit()?;
        Some(literal.value.as_ref())
    }

    /// The integer; `None` if the value is not an integer.
    pub(crate) fn number(&self) -> Option<i128> {
        let literal = self.value.as_number_lit()?;
        literal.value.parse().ok()
    }
}
