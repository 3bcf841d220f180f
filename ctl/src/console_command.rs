//! `almondctl console`: serves forms for the document to a browser on this machine.

use std::net::SocketAddr;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::console::Console;
use crate::console::serve;
use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;

/// The subcommand's name.
pub(crate) const NAME: &str = "console";

const LISTEN: &str = "listen";

const LONG_ABOUT: &str = "\
Serves forms for the document to a browser on this machine, until it is interrupted.

Edits are kept in a draft inside this process. Nothing changes on the site before the draft is \
submitted, with the same checks and the same compare-and-set as `submit`.";

/// The subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Serves forms for the document to a browser on this machine")
        .long_about(LONG_ABOUT)
        .arg(
            Arg::new(LISTEN)
                .long(LISTEN)
                .value_name("IP:PORT")
                .help("Where to listen, an address of this machine only; port 0 takes a free one")
                .default_value("127.0.0.1:8090")
                .value_parser(parse_loopback),
        )
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("TEXT")
                .help("Who submits; the user's name when left out")
                .value_parser(value_parser!(String)),
        )
}

/// Serves the console until the process is interrupted.
pub(crate) async fn run(context: &Context, arguments: &ArgMatches) -> Result<Exit, CtlError> {
    let listen: SocketAddr = *arguments
        .get_one(LISTEN)
        .expect("the address has a default");
    let author = arguments.get_one("author").cloned();
    let console = Console::new(context.store()?, author);
    serve(console, listen).await?;
    Ok(Exit::Ok)
}

fn parse_loopback(argument: &str) -> Result<SocketAddr, String> {
    let address: SocketAddr = argument.parse().map_err(|error| format!("{error}"))?;
    match address.ip().is_loopback() {
        true => Ok(address),
        false => Err("the console listens on loopback addresses only".to_owned()),
    }
}
