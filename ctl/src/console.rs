//! The console: a web server that renders the document as HTML forms and edits a draft of it.

mod draft;
mod field;
mod form;
mod form_values;
mod html;
mod labels;
mod pages;
mod routes;
mod section;
mod server;
mod state;
mod utc_input;

pub(crate) use server::serve;
pub(crate) use state::Console;
