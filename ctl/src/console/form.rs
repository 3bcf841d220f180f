//! The HTML form for one object of the document.

use almondhead_lib::check::Problem;
use serde_json::Value as Json;

use super::draft::Draft;
use super::draft::shown_value;
use super::field::Field;
use super::field::FieldKind;
use super::html::escape;

/// The name of the hidden field with the console's token.
pub(crate) const TOKEN_FIELD: &str = "token";

/// The name of the hidden field with the draft's edition.
pub(crate) const EDITION_FIELD: &str = "edition";

/// The values of the hidden fields of every form.
///
/// The token protects against cross-site request forgery, the edition against outdated forms.
#[derive(Clone, Copy)]
pub(crate) struct HiddenFields<'f> {
    /// The console's token.
    pub(crate) token: &'f str,
    /// The draft's edition.
    pub(crate) edition: u64,
}

/// A form for the object at a JSON pointer.
pub(crate) struct Form<'f> {
    /// The draft that holds the object.
    pub(crate) draft: &'f Draft,
    /// The JSON pointer of the object.
    pub(crate) pointer: String,
    /// The fields, in the order of display.
    pub(crate) fields: Vec<Field>,
    /// The path that the form is posted to.
    pub(crate) action: String,
    /// The values of the hidden fields.
    pub(crate) hidden_fields: HiddenFields<'f>,
}

/// A problem of a field's value.
struct FieldError<'f> {
    field: &'f Field,
    reason: String,
}

impl Form<'_> {
    /// Whether the value of any field has a problem.
    pub(crate) fn has_errors(&self) -> bool {
        !self.errors(&self.draft.value(&self.pointer)).is_empty()
    }

    /// Renders the form with its values, and with their problems if `show_errors` is set.
    pub(crate) fn to_html(&self, show_errors: bool) -> String {
        let object = self.draft.value(&self.pointer);
        let errors = match show_errors {
            true => self.errors(&object),
            false => Vec::new(),
        };
        let fields: String = self
            .fields
            .iter()
            .map(|field| self.field_html(field, &object, &errors))
            .collect();
        let summary = summary_html(&errors);
        let open = form_open(&self.action, self.hidden_fields);
        format!("{summary}{open}{fields}<button>Keep in the draft</button></form>\n")
    }

    fn errors(&self, object: &Json) -> Vec<FieldError<'_>> {
        let problems = self.draft.problems();
        let fields = problems.iter().filter_map(|problem| {
            let field = self.field_at(&problem.path, object)?;
            let reason = problem.reason.clone();
            Some(FieldError { field, reason })
        });
        fields.collect()
    }

    /// Returns the field that a problem's path belongs to.
    fn field_at(&self, path: &str, object: &Json) -> Option<&Field> {
        let inner = path.strip_prefix(&self.pointer)?.strip_prefix('/')?;
        let mut parts = inner.split('/');
        let key = match (parts.next()?, parts.next()) {
            ("distances", Some(index)) => {
                let index: usize = index.parse().ok()?;
                let to = object["distances"][index]["to"].as_str()?;
                format!("distance:{to}")
            }
            (key, _) => key.to_owned(),
        };
        self.fields.iter().find(|field| field.key == key)
    }

    fn field_html(&self, field: &Field, object: &Json, errors: &[FieldError<'_>]) -> String {
        let id = escape(&field_id(field));
        let own = errors.iter().filter(|error| error.field == field);
        let reasons: Vec<String> = own.map(|error| escape(&error.reason)).collect();
        let invalid = !reasons.is_empty();
        let mut attributes = format!("id=\"{id}\" name=\"{}\"", escape(&field.key));
        attributes += &format!(
            " aria-describedby=\"{id}-help{}\"",
            match invalid {
                true => format!(" {id}-error"),
                false => String::new(),
            }
        );
        if invalid {
            attributes += " aria-invalid=\"true\"";
        }
        let control = self.control_html(field, &shown_value(field, object), &attributes);
        let label = label_html(field, &id);
        let help = help_html(field, &id);
        let error = match invalid {
            true => format!(
                "<p class=\"error\" id=\"{id}-error\">Error: {}</p>",
                reasons.join("; ")
            ),
            false => String::new(),
        };
        match field.kind {
            FieldKind::Flag => {
                format!("<div class=\"field flag\">{control} {label}{error}{help}</div>\n")
            }
            _ => format!("<div class=\"field\">{label}{help}{error}{control}</div>\n"),
        }
    }

    fn control_html(&self, field: &Field, shown: &str, attributes: &str) -> String {
        let value = escape(shown);
        match &field.kind {
            FieldKind::Text => format!("<input {attributes} value=\"{value}\">"),
            FieldKind::Number { .. } | FieldKind::Distance { .. } => {
                format!("<input {attributes} inputmode=\"numeric\" value=\"{value}\">")
            }
            FieldKind::Time => {
                format!("<input {attributes} type=\"datetime-local\" step=\"1\" value=\"{value}\">")
            }
            FieldKind::Flag => {
                let checked = if shown.is_empty() { "" } else { " checked" };
                format!("<input {attributes} type=\"checkbox\"{checked}>")
            }
            FieldKind::Choice(choices) => select_html(attributes, choices, shown),
            FieldKind::Reference(section) => {
                select_html(attributes, &self.draft.names(*section), shown)
            }
        }
    }
}

/// Renders the opening tag of a form that posts to `action`, and its hidden fields.
pub(crate) fn form_open(action: &str, hidden_fields: HiddenFields<'_>) -> String {
    let (action, token) = (escape(action), escape(hidden_fields.token));
    let edition = hidden_fields.edition;
    format!(
        "<form method=\"post\" action=\"{action}\" autocomplete=\"off\">\
         <input type=\"hidden\" name=\"{TOKEN_FIELD}\" value=\"{token}\">\
         <input type=\"hidden\" name=\"{EDITION_FIELD}\" value=\"{edition}\">\n"
    )
}

/// Renders a form that consists of one button.
pub(crate) fn button_form(action: &str, hidden_fields: HiddenFields<'_>, label: &str) -> String {
    let open = form_open(action, hidden_fields);
    format!(
        "{open}<button class=\"quiet\">{}</button></form>\n",
        escape(label)
    )
}

/// Returns the HTML id of a field's control, without whitespace.
pub(crate) fn field_id(field: &Field) -> String {
    format!("f-{}", field.key.replace(char::is_whitespace, "_"))
}

/// Returns the link to the form control of a problem; `None` where no form shows it.
pub(crate) fn problem_link(problem: &Problem) -> Option<String> {
    let mut parts = problem.path.split('/').skip(1);
    let (first, second, third) = (parts.next()?, parts.next(), parts.next());
    match (first, second, third) {
        ("firm", None, _) => Some("/site#f-firm".to_owned()),
        ("policies", Some(key), _) => Some(format!("/policies#f-{key}")),
        (list, Some(index), None) => Some(format!("/lists/{list}/{index}")),
        (list, Some(index), Some(key)) => Some(format!("/lists/{list}/{index}#f-{key}")),
        _ => None,
    }
}

fn label_html(field: &Field, id: &str) -> String {
    let label = escape(&field.label);
    let required = if field.required { " (required)" } else { "" };
    format!("<label for=\"{id}\">{label}{required}</label>")
}

fn help_html(field: &Field, id: &str) -> String {
    let bounds = match field.kind {
        FieldKind::Number {
            min,
            max: Some(max),
        } => format!(" {min} to {max}."),
        _ => String::new(),
    };
    format!(
        "<p class=\"help\" id=\"{id}-help\">{}{bounds}</p>",
        escape(&field.help)
    )
}

fn summary_html(errors: &[FieldError<'_>]) -> String {
    if errors.is_empty() {
        return String::new();
    }
    let items: String = errors
        .iter()
        .map(|error| {
            let id = escape(&field_id(error.field));
            let label = escape(&error.field.label);
            let reason = escape(&error.reason);
            format!("<li><a href=\"#{id}\">{label}</a>: {reason}</li>")
        })
        .collect();
    format!(
        "<div class=\"summary\" role=\"alert\"><h2>Kept in the draft, with faults</h2><ul>{items}</ul></div>\n"
    )
}

/// Renders a select control of `names`, and of the current value where that is none of them.
fn select_html(attributes: &str, names: &[String], shown: &str) -> String {
    let mut options = String::new();
    if !names.iter().any(|name| name == shown) {
        options += &option_html(shown, true);
    }
    for name in names {
        options += &option_html(name, name == shown);
    }
    format!("<select {attributes}>{options}</select>")
}

fn option_html(name: &str, selected: bool) -> String {
    let selected = if selected { " selected" } else { "" };
    let name = escape(name);
    format!("<option value=\"{name}\"{selected}>{name}</option>")
}
