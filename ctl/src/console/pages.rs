//! The console's pages other than the forms: draft, lists, review, submission and errors.

use almondhead_lib::check::Problem;
use almondhead_lib::document_diff::Change;
use serde_json::Value as Json;

use super::draft::Draft;
use super::draft::shown_value;
use super::field::Field;
use super::field::FieldKind;
use super::field::element_fields;
use super::form::HiddenFields;
use super::form::button_form;
use super::form::form_open;
use super::form::problem_link;
use super::html::Page;
use super::html::escape;
use super::section::Section;
use crate::error::CtlError;
use crate::history_command::describe_head;
use crate::submitting::SubmitReport;

/// Renders the state of the draft, with the number of elements of each list.
pub(crate) fn draft_page(draft: &Draft, hidden_fields: HiddenFields<'_>) -> Page {
    let from = match &draft.base {
        Some(head) => format!("Made from {}.", describe_head(head)),
        None => "No document was accepted yet; this is the first one.".to_owned(),
    };
    let state = match draft.is_edited() {
        true => "It was edited and not submitted yet.",
        false => "Nothing was edited.",
    };
    let problem_count = problem_count_text(&draft.problems());
    let rows: String = Section::ALL
        .into_iter()
        .map(|section| section_row(draft, section))
        .collect();
    let discard = match draft.is_edited() {
        true => button_form("/discard", hidden_fields, "Discard the edits"),
        false => button_form("/discard", hidden_fields, "Load the newest revision"),
    };
    let from = escape(&from);
    let body = format!(
        "<p>{from} {state} {problem_count}</p>\n<table><thead><tr><th scope=\"col\">Part</th>\
         <th scope=\"col\">Count</th></tr></thead><tbody>{rows}</tbody></table>\n\
         <p><a href=\"/review\">Review and submit</a></p>\n{discard}"
    );
    Page::new("Draft", body)
}

/// Renders the elements of a list, each with a link to its form.
pub(crate) fn list_page(draft: &Draft, section: Section) -> Page {
    let fields = element_fields(section, &[]);
    let headings: String = fields
        .iter()
        .map(|field| format!("<th scope=\"col\">{}</th>", escape(&field.label)))
        .collect();
    let problems = draft.problems();
    let elements = draft.elements(section);
    let rows: String = elements
        .iter()
        .enumerate()
        .map(|(index, element)| element_row(section, index, element, &fields, &problems))
        .collect();
    let (list, singular) = (section.key(), section.singular());
    let body = format!(
        "<p><a href=\"/lists/{list}/new\">Add a new {singular}</a></p>\n<div class=\"scroll\"><table>\
         <thead><tr>{headings}<th scope=\"col\">Faults</th></tr></thead><tbody>{rows}</tbody></table></div>\n"
    );
    Page::new(section.title(), body)
}

/// Renders the problems of the draft or, if there are none, its changes and the submission form.
pub(crate) fn review_page(draft: &Draft, author: &str, hidden_fields: HiddenFields<'_>) -> Page {
    let problems = draft.problems();
    if !problems.is_empty() {
        let items: String = problems.iter().map(problem_item).collect();
        let count = problem_count_text(&problems);
        let body = format!(
            "<div class=\"summary\"><p>{count} It can't be submitted.</p><ul>{items}</ul></div>\n"
        );
        return Page::new("Review and submit", body);
    }
    let changes = changes_html(draft.changes().as_deref(), draft.base_revision());
    let open = form_open("/submit", hidden_fields);
    let author = escape(author);
    let body = format!(
        "{changes}{open}\
         <div class=\"field\"><label for=\"note\">Note</label>\
         <p class=\"help\" id=\"note-help\">What to write into the history.</p>\
         <input id=\"note\" name=\"note\" aria-describedby=\"note-help\"></div>\n\
         <div class=\"field\"><label for=\"author\">Author</label>\
         <input id=\"author\" name=\"author\" value=\"{author}\"></div>\n\
         <button>Submit and put in force</button></form>\n"
    );
    Page::new("Review and submit", body)
}

/// Renders the result of a submission; status 409 when another one was accepted first.
pub(crate) fn submitted_page(report: &SubmitReport, hidden_fields: HiddenFields<'_>) -> Page {
    match report {
        SubmitReport::Accepted { head, changes } => {
            let line = escape(&describe_head(head));
            let changes = changes_html(changes.as_deref(), head.revision - 1);
            let body =
                format!("<p class=\"done\" role=\"status\">Accepted as {line}.</p>\n{changes}");
            Page::new("Submitted", body)
        }
        SubmitReport::Conflict {
            expected_revision,
            winner,
            changes,
        } => {
            let winner = winner.as_ref().map(describe_head).unwrap_or_default();
            let winner = escape(&winner);
            let changes = changes_html(changes.as_deref(), *expected_revision);
            let again = button_form(
                "/discard",
                hidden_fields,
                "Discard the draft and load the newest revision",
            );
            let body = format!(
                "<p class=\"summary\" role=\"alert\">Not accepted, and nothing was changed: another \
                 document was accepted before. In force is {winner}. The draft is kept.</p>\n{changes}{again}"
            );
            Page::new("Not submitted", body).with_status(409)
        }
    }
}

/// Renders an error with status 502.
pub(crate) fn error_page(error: &CtlError) -> Page {
    let message = escape(&error.to_string());
    let body = format!(
        "<p class=\"summary\" role=\"alert\">{message}</p>\n<p><a href=\"/\">Back to the draft</a></p>\n"
    );
    Page::new("Not done", body).with_status(502)
}

fn section_row(draft: &Draft, section: Section) -> String {
    let (list, title) = (section.key(), section.title());
    let count = draft.elements(section).len();
    format!("<tr><th scope=\"row\"><a href=\"/lists/{list}\">{title}</a></th><td>{count}</td></tr>")
}

fn element_row(
    section: Section,
    index: usize,
    element: &Json,
    fields: &[Field],
    problems: &[Problem],
) -> String {
    let list = section.key();
    let pointer = format!("{}/{index}", section.pointer());
    let pointer_prefix = format!("{pointer}/");
    let own = problems
        .iter()
        .filter(|problem| problem.path == pointer || problem.path.starts_with(&pointer_prefix));
    let reasons: Vec<String> = own.map(|problem| escape(&problem.reason)).collect();
    let mut cells = String::new();
    for (column, field) in fields.iter().enumerate() {
        let shown = escape(&cell_text(field, element));
        cells += &match column {
            0 if shown.is_empty() => {
                format!("<th scope=\"row\"><a href=\"/lists/{list}/{index}\">unnamed</a></th>")
            }
            0 => format!("<th scope=\"row\"><a href=\"/lists/{list}/{index}\">{shown}</a></th>"),
            _ => format!("<td>{shown}</td>"),
        };
    }
    format!("<tr>{cells}<td>{}</td></tr>\n", reasons.join("; "))
}

fn cell_text(field: &Field, element: &Json) -> String {
    let shown = shown_value(field, element);
    match field.kind {
        FieldKind::Flag if shown.is_empty() => "no".to_owned(),
        FieldKind::Flag => "yes".to_owned(),
        FieldKind::Time => shown.replace('T', " "),
        _ => shown,
    }
}

fn problem_item(problem: &Problem) -> String {
    let reason = escape(&problem.reason);
    let path = escape(&problem.path);
    match problem_link(problem) {
        Some(link) => {
            let link = escape(&link);
            format!("<li><a href=\"{link}\"><code>{path}</code></a>: {reason}</li>")
        }
        None => format!("<li><code>{path}</code>: {reason}</li>"),
    }
}

fn problem_count_text(problems: &[Problem]) -> String {
    match problems.len() {
        0 => "It has no faults.".to_owned(),
        1 => "It has 1 fault.".to_owned(),
        count => format!("It has {count} faults."),
    }
}

fn changes_html(changes: Option<&[Change]>, revision: u64) -> String {
    match changes {
        Some([]) => format!("<p>No difference from revision {revision}.</p>\n"),
        Some(changes) => {
            let items: String = changes
                .iter()
                .map(|change| format!("<li><code>{}</code></li>", escape(&change.to_string())))
                .collect();
            format!("<h2>Changes since revision {revision}</h2><ul>{items}</ul>\n")
        }
        None if revision == 0 => "<p>This is the first document.</p>\n".to_owned(),
        None => format!("<p>Revision {revision} could not be compared.</p>\n"),
    }
}
