//! The part of the command line that the stand-in programs share.

use std::net::SocketAddr;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

/// Returns the command line of a stand-in with the argument `--listen`.
pub fn stand_in_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(
        Arg::new("listen")
            .long("listen")
            .value_name("IP:PORT")
            .help("The address to listen on; port 0 selects a free port")
            .default_value("127.0.0.1:0")
            .value_parser(value_parser!(SocketAddr)),
    )
}

/// Returns the address that a stand-in is to listen on.
pub fn listen_address(arguments: &ArgMatches) -> SocketAddr {
    *arguments.get_one("listen").expect("--listen has a default")
}
