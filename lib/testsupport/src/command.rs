//! The command line that the stand-ins' programs share.

use std::net::SocketAddr;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

/// Returns the command line of a stand-in, with where it listens.
pub fn stand_in_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(
        Arg::new("listen")
            .long("listen")
            .value_name("IP:PORT")
            .help("Where to listen; port 0 takes any free one")
            .default_value("127.0.0.1:0")
            .value_parser(value_parser!(SocketAddr)),
    )
}

/// Returns where a stand-in is to listen.
pub fn listen_address(arguments: &ArgMatches) -> SocketAddr {
    *arguments.get_one("listen").expect("has a default")
}
