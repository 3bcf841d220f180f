//! The fields of a form, derived from the JSON Schema of the document.

use std::sync::LazyLock;

use almondhead_lib::schema::document_schema;
use almondhead_macros::value;
use serde_json::Value as Json;

use super::labels::label_of;
use super::section::Section;

const DEFINITION_PREFIX: &str = "#/$defs/";

static SCHEMA: LazyLock<Json> = LazyLock::new(document_schema);

/// The type of a field's value, which selects its form control.
#[value]
pub(crate) enum FieldKind {
    /// Free text.
    Text,
    /// An unsigned integer within bounds.
    Number {
        /// The minimum.
        min: u64,
        /// The maximum; absent where only the type bounds it.
        max: Option<u64>,
    },
    /// A boolean.
    Flag,
    /// A time in milliseconds since the Unix epoch, shown as a date and time in UTC.
    Time,
    /// One of these values.
    Choice(Vec<String>),
    /// The name of an element of this list.
    Reference(Section),
    /// The one-way network time to another data centre, in microseconds.
    Distance {
        /// The name of the other data centre.
        to: String,
    },
}

/// One field of a form.
#[value]
pub(crate) struct Field {
    /// The key in the object; for a distance `distance:NAME`, a key of the form only.
    pub(crate) key: String,
    /// The label.
    pub(crate) label: String,
    /// The help text.
    pub(crate) help: String,
    /// The type of the value.
    pub(crate) kind: FieldKind,
    /// Whether the key must be present in the object.
    pub(crate) required: bool,
    /// The default that applies when the key is absent.
    pub(crate) default: Json,
}

/// Returns the fields of an element of a list.
///
/// A data centre has a distance field for each of `other_data_centres`.
pub(crate) fn element_fields(section: Section, other_data_centres: &[String]) -> Vec<Field> {
    let list = &SCHEMA["properties"][section.key()];
    let mut fields = fields_of(resolve_reference(&list["items"]));
    if section == Section::DataCentres {
        let distances = other_data_centres.iter().map(|to| distance_field(to));
        fields.extend(distances);
    }
    fields
}

/// Returns the fields of the document's top level that hold neither lists nor objects.
pub(crate) fn site_fields() -> Vec<Field> {
    fields_of(&SCHEMA)
}

/// Returns the fields of the policies.
pub(crate) fn policy_fields() -> Vec<Field> {
    fields_of(resolve_reference(&SCHEMA["properties"]["policies"]))
}

/// Returns the fields of a schema's properties in schema order, the required ones first.
fn fields_of(definition: &'static Json) -> Vec<Field> {
    let Some(properties) = definition["properties"].as_object() else {
        return Vec::new();
    };
    let required: Vec<&str> = definition["required"]
        .as_array()
        .map(|names| names.iter().filter_map(Json::as_str).collect())
        .unwrap_or_default();
    let optional = properties.keys().map(String::as_str);
    let optional = optional.filter(|key| !required.contains(key));
    let keys = required.iter().copied().chain(optional);
    keys.filter_map(|key| field(key, &properties[key], required.contains(&key)))
        .collect()
}

/// Returns the field of a property; `None` for lists and objects, which have no form control.
fn field(key: &str, property: &'static Json, required: bool) -> Option<Field> {
    let kind = kind_of(key, resolve_reference(property))?;
    Some(Field {
        key: key.to_owned(),
        label: label_of(key),
        help: help_of(property, &kind),
        kind,
        required,
        default: property["default"].clone(),
    })
}

fn help_of(property: &Json, kind: &FieldKind) -> String {
    match kind {
        FieldKind::Time => "Date and time, UTC; it stays when left empty.".to_owned(),
        _ => property["description"].as_str().unwrap_or("").to_owned(),
    }
}

fn kind_of(key: &str, schema: &Json) -> Option<FieldKind> {
    match key {
        "data_centre" => return Some(FieldKind::Reference(Section::DataCentres)),
        "service" => return Some(FieldKind::Reference(Section::Services)),
        key if key.ends_with("_at_unix_ms") => return Some(FieldKind::Time),
        _ => {}
    }
    if let Some(choices) = schema["oneOf"].as_array() {
        let names = choices.iter().filter_map(|choice| choice["const"].as_str());
        return Some(FieldKind::Choice(names.map(str::to_owned).collect()));
    }
    match schema["type"].as_str()? {
        "string" => Some(FieldKind::Text),
        "boolean" => Some(FieldKind::Flag),
        "integer" => Some(FieldKind::Number {
            min: schema["minimum"].as_u64().unwrap_or(0),
            max: schema["maximum"].as_u64(),
        }),
        _ => None,
    }
}

fn distance_field(to: &str) -> Field {
    let definition = &SCHEMA["$defs"]["Distance"]["properties"]["one_way_us"];
    Field {
        key: format!("distance:{to}"),
        label: format!("One way to {to} (µs)"),
        help: "The one-way network time in microseconds; far when left out.".to_owned(),
        kind: FieldKind::Distance { to: to.to_owned() },
        required: false,
        default: definition["default"].clone(),
    }
}

fn resolve_reference(schema: &'static Json) -> &'static Json {
    match schema["$ref"].as_str() {
        Some(reference) => &SCHEMA["$defs"][reference.trim_start_matches(DEFINITION_PREFIX)],
        None => schema,
    }
}
