//! The draft: the document as edited in the console.

use almondhead_lib::check::Problem;
use almondhead_lib::check::check_document;
use almondhead_lib::document_diff::Change;
use almondhead_lib::document_diff::document_changes;
use almondhead_lib::document_edit::EditError;
use almondhead_lib::document_edit::append_element;
use almondhead_lib::document_edit::read_values;
use almondhead_lib::document_edit::remove_element;
use almondhead_lib::document_edit::set_field;
use almondhead_lib::revision::Head;
use almondhead_net::DocumentStore;
use serde_json::Value as Json;
use serde_json::json;

use super::field::Field;
use super::field::FieldKind;
use super::form_values::FormValues;
use super::section::Section;
use super::utc_input::parse_input_value;
use super::utc_input::to_input_value;
use crate::error::CtlError;

/// The text of a draft when no document was accepted yet.
const EMPTY_DOCUMENT: &str = "\
{
  \"firm\": \"\",
  \"data_centres\": [],
  \"instances\": [],
  \"services\": [],
  \"upstreams\": [],
  \"teams\": []
}
";

/// The value that a browser sends for a checked checkbox.
const CHECKED: &str = "on";

/// The text of a document that is being edited, and the accepted revision that it started from.
pub(crate) struct Draft {
    /// The head of the revision that it started from; `None` before the first document.
    pub(crate) base: Option<Head>,
    /// The current text, JSON with comments.
    pub(crate) text: String,
    /// Incremented by each change, so that forms rendered before it are detected.
    pub(crate) edition: u64,
    base_text: String,
}

impl Draft {
    /// Loads the newest accepted document as a draft.
    pub(crate) async fn load_newest(store: &DocumentStore, edition: u64) -> Result<Self, CtlError> {
        let base = store.head().await?;
        let base_text = match &base {
            Some(head) => store.load(head).await?,
            None => EMPTY_DOCUMENT.to_owned(),
        };
        let text = base_text.clone();
        Ok(Draft {
            base,
            text,
            edition,
            base_text,
        })
    }

    /// Records that the text was accepted as the revision of `head`.
    pub(crate) fn record_accepted(&mut self, head: Head) {
        self.base = Some(head);
        self.base_text = self.text.clone();
    }

    /// Returns the revision that the draft started from; 0 for none.
    pub(crate) fn base_revision(&self) -> u64 {
        self.base.as_ref().map_or(0, |head| head.revision)
    }

    /// Whether the text differs from its base.
    pub(crate) fn is_edited(&self) -> bool {
        self.text != self.base_text
    }

    /// Returns the problems of the current text.
    pub(crate) fn problems(&self) -> Vec<Problem> {
        check_document(&self.text).err().unwrap_or_default()
    }

    /// Returns the changes from the base; `None` while either text has problems.
    pub(crate) fn changes(&self) -> Option<Vec<Change>> {
        let before = check_document(&self.base_text).ok()?;
        let after = check_document(&self.text).ok()?;
        Some(document_changes(&before, &after))
    }

    /// Returns the value at a JSON pointer; null where there is none.
    pub(crate) fn value(&self, pointer: &str) -> Json {
        let values = read_values(&self.text).unwrap_or_default();
        values.pointer(pointer).cloned().unwrap_or_default()
    }

    /// Returns the elements of a list; empty where the document has no such list.
    pub(crate) fn elements(&self, section: Section) -> Vec<Json> {
        match self.value(&section.pointer()) {
            Json::Array(elements) => elements,
            _ => Vec::new(),
        }
    }

    /// Returns the names of the elements of a list.
    pub(crate) fn names(&self, section: Section) -> Vec<String> {
        let elements = self.elements(section);
        let names = elements
            .iter()
            .filter_map(|element| element["name"].as_str());
        names.map(str::to_owned).collect()
    }

    /// Appends an empty element to a list and returns its index.
    pub(crate) fn append(&mut self, section: Section) -> Result<usize, EditError> {
        let index = self.elements(section).len();
        if self.value(&section.pointer()).is_null() {
            self.text = set_field(&self.text, "", section.key(), Some(&json!([])))?;
        }
        self.text = append_element(&self.text, &section.pointer(), &json!({}))?;
        Ok(index)
    }

    /// Removes an element of a list.
    pub(crate) fn remove(&mut self, section: Section, index: usize) -> Result<(), EditError> {
        self.text = remove_element(&self.text, &section.pointer(), index)?;
        Ok(())
    }

    /// Sets the policies to an empty object where the document has none.
    pub(crate) fn ensure_policies(&mut self) -> Result<(), EditError> {
        if self.value("/policies").is_null() {
            self.text = set_field(&self.text, "", "policies", Some(&json!({})))?;
        }
        Ok(())
    }

    /// Sets the fields of the object at a pointer whose values the form changed.
    ///
    /// Input that does not parse as its field's type is stored as a string, so that the check
    /// reports it and the form shows it again.
    pub(crate) fn apply(
        &mut self,
        pointer: &str,
        fields: &[Field],
        values: &FormValues,
    ) -> Result<(), EditError> {
        let object = self.value(pointer);
        for field in fields {
            if matches!(field.kind, FieldKind::Distance { .. }) {
                continue;
            }
            let entered = entered_value(field, values);
            if entered == shown_value(field, &object) {
                continue;
            }
            let value = entered_json(field, &entered);
            self.text = set_field(&self.text, pointer, &field.key, value.as_ref())?;
        }
        self.apply_distances(pointer, &object, fields, values)
    }

    fn apply_distances(
        &mut self,
        pointer: &str,
        object: &Json,
        fields: &[Field],
        values: &FormValues,
    ) -> Result<(), EditError> {
        let mut distances = Vec::new();
        let mut changed = false;
        for field in fields {
            let FieldKind::Distance { to } = &field.kind else {
                continue;
            };
            let entered = entered_value(field, values);
            changed |= entered != shown_value(field, object);
            if let Some(one_way_us) = entered_json(field, &entered) {
                distances.push(json!({"to": to, "one_way_us": one_way_us}));
            }
        }
        if changed {
            let value = Json::Array(distances);
            self.text = set_field(&self.text, pointer, "distances", Some(&value))?;
        }
        Ok(())
    }
}

/// Formats the value of a field as the value of its form control.
pub(crate) fn shown_value(field: &Field, object: &Json) -> String {
    let value = match &field.kind {
        FieldKind::Distance { to } => distance_to(object, to),
        _ => object.get(&field.key),
    };
    match (value.unwrap_or(&field.default), &field.kind) {
        (Json::Null, _) | (Json::Bool(false), FieldKind::Flag) => String::new(),
        (Json::Bool(true), FieldKind::Flag) => CHECKED.to_owned(),
        (Json::Number(number), FieldKind::Time) => number
            .as_u64()
            .map_or_else(|| number.to_string(), to_input_value),
        (Json::String(text), _) => text.clone(),
        (value, _) => value.to_string(),
    }
}

fn distance_to<'j>(object: &'j Json, to: &str) -> Option<&'j Json> {
    let distances = object["distances"].as_array()?;
    let distance = distances.iter().find(|distance| distance["to"] == to)?;
    distance.get("one_way_us")
}

fn entered_value(field: &Field, values: &FormValues) -> String {
    let entered = values.get(&field.key).unwrap_or("");
    entered.trim().to_owned()
}

/// Converts the input of a field to JSON; `None` for an empty field.
fn entered_json(field: &Field, entered: &str) -> Option<Json> {
    if let FieldKind::Flag = field.kind {
        return Some(Json::from(entered == CHECKED));
    }
    if entered.is_empty() {
        return None;
    }
    let number = match field.kind {
        FieldKind::Number { .. } | FieldKind::Distance { .. } => entered.parse().ok(),
        FieldKind::Time => parse_input_value(entered),
        _ => None,
    };
    Some(number.map_or_else(|| Json::from(entered), |number: u64| Json::from(number)))
}
