//! The URL paths of the console and their handlers.

use almondhead_macros::value;

use super::draft::Draft;
use super::field::Field;
use super::field::element_fields;
use super::field::policy_fields;
use super::field::site_fields;
use super::form::EDITION_FIELD;
use super::form::Form;
use super::form::HiddenFields;
use super::form::TOKEN_FIELD;
use super::form::button_form;
use super::form_values::FormValues;
use super::html::Page;
use super::pages::draft_page;
use super::pages::error_page;
use super::pages::list_page;
use super::pages::review_page;
use super::pages::submitted_page;
use super::section::Section;
use super::state::Console;
use crate::error::CtlError;
use crate::submitting::NewDocument;
use crate::submitting::SubmitReport;
use crate::submitting::submit_document;

/// A URL path of the console.
#[value]
pub(crate) enum Route {
    /// The state of the draft.
    Draft,
    /// The firm's form.
    Site,
    /// The policies' form.
    Policies,
    /// The elements of a list.
    List(Section),
    /// The form for a new element.
    New(Section),
    /// The form of an element, by its index.
    Element(Section, usize),
    /// The removal of an element, by its index.
    Remove(Section, usize),
    /// The problems or changes of the draft, and the submission form.
    Review,
    /// The submission.
    Submit,
    /// The replacement of the draft by the newest revision.
    Discard,
}

/// The response to a request.
pub(crate) enum Reply {
    /// A page.
    Page(Page),
    /// A redirect to this path.
    Redirect(String),
}

impl Route {
    /// Parses a path; `None` where there is no such page.
    pub(crate) fn parse(path: &str) -> Option<Self> {
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        Some(match parts.as_slice() {
            [""] => Self::Draft,
            ["site"] => Self::Site,
            ["policies"] => Self::Policies,
            ["review"] => Self::Review,
            ["submit"] => Self::Submit,
            ["discard"] => Self::Discard,
            ["lists", list] => Self::List(Section::parse(list)?),
            ["lists", list, "new"] => Self::New(Section::parse(list)?),
            ["lists", list, index] => Self::Element(Section::parse(list)?, index.parse().ok()?),
            ["lists", list, index, "remove"] => {
                Self::Remove(Section::parse(list)?, index.parse().ok()?)
            }
            _ => return None,
        })
    }
}

impl Console {
    /// Handles a GET request for a page.
    pub(crate) async fn show_page(&self, route: &Route) -> Reply {
        let mut guard = self.draft.lock().await;
        let draft = match self.load_draft(&mut guard).await {
            Ok(draft) => draft,
            Err(error) => return Reply::Page(error_page(&error)),
        };
        Reply::Page(match route {
            Route::Draft => draft_page(draft, self.hidden_fields(draft)),
            Route::List(section) => list_page(draft, *section),
            Route::Review => review_page(draft, &self.author, self.hidden_fields(draft)),
            Route::Site | Route::Policies | Route::Element(..) => {
                self.form_page(draft, route, true)
            }
            Route::New(..) => self.form_page(draft, route, false),
            Route::Submit | Route::Discard | Route::Remove(..) => {
                return Reply::Redirect("/".to_owned());
            }
        })
    }

    /// Handles a POST request with form data.
    ///
    /// Refuses a form with a wrong token and, except for a discard, one with an outdated edition.
    pub(crate) async fn handle_form(&self, route: &Route, values: &FormValues) -> Reply {
        if values.get(TOKEN_FIELD) != Some(self.token.as_str()) {
            return refusal(403, "The form is of another run of the console.");
        }
        match self.try_handle_form(route, values).await {
            Ok(reply) => reply,
            Err(error) => Reply::Page(error_page(&error)),
        }
    }

    async fn try_handle_form(&self, route: &Route, values: &FormValues) -> Result<Reply, CtlError> {
        let mut guard = self.draft.lock().await;
        if *route == Route::Discard {
            let edition = guard.as_ref().map_or(0, |draft| draft.edition + 1);
            *guard = Some(Draft::load_newest(&self.store, edition).await?);
            return Ok(Reply::Redirect("/".to_owned()));
        }
        let draft = self.load_draft(&mut guard).await?;
        if values.get(EDITION_FIELD) != Some(draft.edition.to_string().as_str()) {
            return Ok(refusal(
                409,
                "The draft was changed since the form was loaded.",
            ));
        }
        draft.edition += 1;
        match *route {
            Route::Submit => self.submit(draft, values).await,
            Route::Remove(section, index) => {
                draft.remove(section, index)?;
                Ok(Reply::Redirect(format!("/lists/{}", section.key())))
            }
            Route::New(section) => {
                let index = draft.append(section)?;
                self.apply_form(draft, &Route::Element(section, index), values)
            }
            Route::Policies => {
                draft.ensure_policies()?;
                self.apply_form(draft, route, values)
            }
            Route::Site | Route::Element(..) => self.apply_form(draft, route, values),
            Route::Draft | Route::List(..) | Route::Review | Route::Discard => {
                Ok(Reply::Redirect("/".to_owned()))
            }
        }
    }

    /// Applies the form data to the draft, and shows the form again if any value has a problem.
    fn apply_form(
        &self,
        draft: &mut Draft,
        route: &Route,
        values: &FormValues,
    ) -> Result<Reply, CtlError> {
        let spec = FormSpec::new(draft, route);
        draft.apply(&spec.pointer, &spec.fields, values)?;
        let target = spec.redirect_to.clone();
        let has_errors = spec.form(draft, self.hidden_fields(draft)).has_errors();
        Ok(match has_errors {
            true => Reply::Page(self.form_page(draft, route, true).with_status(422)),
            false => Reply::Redirect(target),
        })
    }

    async fn submit(&self, draft: &mut Draft, values: &FormValues) -> Result<Reply, CtlError> {
        if !draft.problems().is_empty() {
            return Ok(Reply::Redirect("/review".to_owned()));
        }
        let author = values.get("author").filter(|author| !author.is_empty());
        let document = NewDocument {
            text: draft.text.clone(),
            expected_revision: Some(draft.base_revision()),
            note: values.get("note").unwrap_or("").to_owned(),
            author: author.unwrap_or(&self.author).to_owned(),
        };
        let report = submit_document(&self.store, document).await?;
        if let SubmitReport::Accepted { head, .. } = &report {
            draft.record_accepted(head.clone());
        }
        Ok(Reply::Page(submitted_page(
            &report,
            self.hidden_fields(draft),
        )))
    }

    /// Returns the draft, loading the newest revision when there is none yet.
    async fn load_draft<'d>(
        &self,
        current: &'d mut Option<Draft>,
    ) -> Result<&'d mut Draft, CtlError> {
        match current {
            Some(draft) => Ok(draft),
            None => Ok(current.insert(Draft::load_newest(&self.store, 0).await?)),
        }
    }

    fn hidden_fields(&self, draft: &Draft) -> HiddenFields<'_> {
        HiddenFields {
            token: &self.token,
            edition: draft.edition,
        }
    }

    fn form_page(&self, draft: &Draft, route: &Route, show_errors: bool) -> Page {
        let spec = FormSpec::new(draft, route);
        if let Route::Element(section, index) = route
            && *index >= draft.elements(*section).len()
        {
            let body = "<p>There is no such element in the draft.</p>\n";
            return Page::new(spec.title, body.to_owned()).with_status(404);
        }
        let mut body = spec
            .form(draft, self.hidden_fields(draft))
            .to_html(show_errors);
        if let Route::Element(section, index) = route {
            let action = format!("/lists/{}/{index}/remove", section.key());
            let label = format!("Remove this {} from the draft", section.singular());
            body += &button_form(&action, self.hidden_fields(draft), &label);
        }
        Page::new(spec.title, body)
    }
}

fn refusal(status: u16, reason: &str) -> Reply {
    let body = format!("<p role=\"alert\">{reason} Nothing was done. Load the page again.</p>\n");
    Reply::Page(Page::new("Not done", body).with_status(status))
}

/// The object that a route's form edits, and how the form is shown.
struct FormSpec {
    title: String,
    pointer: String,
    fields: Vec<Field>,
    action: String,
    redirect_to: String,
}

impl FormSpec {
    fn new(draft: &Draft, route: &Route) -> Self {
        match *route {
            Route::New(section) => {
                let count = draft.elements(section).len();
                let title = format!("New {}", section.singular());
                Self::element(draft, section, count, "new", title)
            }
            Route::Element(section, index) => {
                let name = draft.value(&format!("{}/{index}/name", section.pointer()));
                let name = name.as_str().unwrap_or("unnamed").to_owned();
                let title = format!("{name}, {}", section.singular());
                Self::element(draft, section, index, &index.to_string(), title)
            }
            Route::Policies => FormSpec {
                title: "Policies".to_owned(),
                pointer: "/policies".to_owned(),
                fields: policy_fields(),
                action: "/policies".to_owned(),
                redirect_to: "/".to_owned(),
            },
            _ => FormSpec {
                title: "Firm".to_owned(),
                pointer: String::new(),
                fields: site_fields(),
                action: "/site".to_owned(),
                redirect_to: "/".to_owned(),
            },
        }
    }

    fn element(draft: &Draft, section: Section, index: usize, last: &str, title: String) -> Self {
        let pointer = format!("{}/{index}", section.pointer());
        let own = draft.value(&format!("{pointer}/name"));
        let mut others = draft.names(Section::DataCentres);
        others.retain(|name| own.as_str() != Some(name));
        FormSpec {
            title,
            pointer,
            fields: element_fields(section, &others),
            action: format!("/lists/{}/{last}", section.key()),
            redirect_to: format!("/lists/{}", section.key()),
        }
    }

    fn form<'f>(&self, draft: &'f Draft, hidden_fields: HiddenFields<'f>) -> Form<'f> {
        Form {
            draft,
            pointer: self.pointer.clone(),
            fields: self.fields.clone(),
            action: self.action.clone(),
            hidden_fields,
        }
    }
}
