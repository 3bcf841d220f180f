//! The console: the document as forms, rendered on this side.

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
