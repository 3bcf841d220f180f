//! A form for one object of the document.

use almondhead_lib::check::Problem;
use serde_json::Value as Json;

use super::draft::Draft;
use super::draft::shown_value;
use super::field::Field;
use super::field::FieldKind;
use super::html::escape;

/// The name of the field that carries the console's token.
pub(crate) const TOKEN_FIELD: &str = "token";

/// The name of the field that carries the draft's edition.
pub(crate) const EDITION_FIELD: &str = "edition";

/// What a form carries to prove that it is the console's own and not outdated.
#[derive(Clone, Copy)]
pub(crate) struct FormSeal<'f> {
    /// The console's token.
    pub(crate) token: &'f str,
    /// The draft's edition.
    pub(crate) edition: u64,
}

/// A form for the object at a JSON pointer.
pub(crate) struct Form<'f> {
    /// The draft that holds the object.
    pub(crate) draft: &'f Draft,
    /// Where the object stands.
    pub(crate) pointer: String,
    /// The fields.
    pub(crate) fields: Vec<Field>,
    /// Where the form is sent.
    pub(crate) action: String,
    /// What the form carries.
    pub(crate) seal: FormSeal<'f>,
}

/// A fault at a field of the form.
struct FieldError<'f> {
    field: &'f Field,
    reason: String,
}

impl Form<'_> {
    /// Whether any field has a fault.
    pub(crate) fn has_errors(&self) -> bool {
        !self.errors(&self.draft.value(&self.pointer)).is_empty()
    }

    /// The form with its values, and its faults when they are to be shown.
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
        let open = form_open(&self.action, self.seal);
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

    /// The field of a problem's path.
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

/// The start of a form that changes something.
pub(crate) fn form_open(action: &str, seal: FormSeal<'_>) -> String {
    let (action, token) = (escape(action), escape(seal.token));
    let edition = seal.edition;
    format!(
        "<form method=\"post\" action=\"{action}\" autocomplete=\"off\">\
         <input type=\"hidden\" name=\"{TOKEN_FIELD}\" value=\"{token}\">\
         <input type=\"hidden\" name=\"{EDITION_FIELD}\" value=\"{edition}\">\n"
    )
}

/// A form that is one button.
pub(crate) fn button_form(action: &str, seal: FormSeal<'_>, label: &str) -> String {
    let open = form_open(action, seal);
    format!(
        "{open}<button class=\"quiet\">{}</button></form>\n",
        escape(label)
    )
}

/// The id of a field's form element, without spaces.
pub(crate) fn field_id(field: &Field) -> String {
    format!("f-{}", field.key.replace(char::is_whitespace, "_"))
}

/// The place of a problem among the console's pages; none where no form shows it.
pub(crate) fn problem_address(problem: &Problem) -> Option<String> {
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

/// A choice that also holds the present value when it is none of the names.
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
