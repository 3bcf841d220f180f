//! `almondctl schema`: writes the JSON Schema of the document.

use almondhead_lib::schema::document_schema_text;
use clap::Command;

use crate::error::CtlError;
use crate::exit::Exit;
use crate::report::write_text;

/// The subcommand's name.
pub(crate) const NAME: &str = "schema";

/// The subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME).about("Writes the JSON Schema of the document, for editors")
}

/// Writes the schema.
pub(crate) fn run() -> Result<Exit, CtlError> {
    write_text(&document_schema_text())?;
    Ok(Exit::Ok)
}
