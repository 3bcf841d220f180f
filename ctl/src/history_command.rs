//! `almondctl history`: lists the accepted revisions with author, time and note.

use std::fmt;

use almondhead_lib::revision::Head;
use almondhead_macros::message;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::report::write_report;
use crate::utc::format_utc;

/// The subcommand's name.
pub(crate) const NAME: &str = "history";

const LIMIT: &str = "limit";

/// The heads of the newest revisions, newest first.
#[message]
struct HistoryReport {
    heads: Vec<Head>,
}

impl fmt::Display for HistoryReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.heads.is_empty() {
            writeln!(formatter, "no document was accepted yet")?;
        }
        for head in &self.heads {
            writeln!(formatter, "{}", describe_head(head))?;
        }
        Ok(())
    }
}

/// Describes a head in one line: revision, author, time and note.
pub(crate) fn describe_head(head: &Head) -> String {
    let at = format_utc(head.submitted_at_unix_ms);
    let note = match head.note.as_str() {
        "" => String::new(),
        note => format!(": {note}"),
    };
    format!(
        "revision {} by {} at {at}{note}",
        head.revision, head.author
    )
}

/// The subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Lists the accepted revisions, the newest first")
        .arg(
            Arg::new(LIMIT)
                .long(LIMIT)
                .value_name("COUNT")
                .help("The most revisions to list")
                .default_value("20")
                .value_parser(value_parser!(u16).range(1..=1_000)),
        )
}

/// Reads the history and writes it.
pub(crate) async fn run(context: &Context, arguments: &ArgMatches) -> Result<Exit, CtlError> {
    let limit: u16 = *arguments.get_one(LIMIT).expect("the limit has a default");
    let heads = context.store()?.history(usize::from(limit)).await?;
    write_report(context.format, &HistoryReport { heads })?;
    Ok(Exit::Ok)
}
