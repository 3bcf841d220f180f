//! The program `almondhead`: one entry instance.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use almondhead_entry::Settings;
use clap::Arg;
use clap::Command;
use clap::value_parser;

const EXIT_FAILED: u8 = 1;
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let arguments = command().get_matches();
    if let Some(file) = arguments.get_one::<PathBuf>("check-settings") {
        return check(file);
    }
    match arguments.get_one::<PathBuf>("settings") {
        Some(file) => start(file),
        None => ExitCode::from(EXIT_SETTINGS),
    }
}

fn command() -> Command {
    Command::new("almondhead")
        .version(clap::crate_version!())
        .about("Runs one almondhead entry instance")
        .after_help(
            "Exit codes: 0 stopped as asked or settings are right, \
             1 could not start or failed inside, 2 wrong arguments or settings.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Run with the settings of FILE, JSON with comments")
                .value_parser(value_parser!(PathBuf))
                .required_unless_present("check-settings"),
        )
        .arg(
            Arg::new("check-settings")
                .long("check-settings")
                .value_name("FILE")
                .help("Check the settings of FILE, print every fault and exit")
                .value_parser(value_parser!(PathBuf))
                .conflicts_with("settings"),
        )
}

fn check(file: &Path) -> ExitCode {
    match Settings::load(file) {
        Ok(_) => {
            println!("{}: settings are right", file.display());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

fn start(file: &Path) -> ExitCode {
    let settings = match Settings::load(file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match almondhead_entry::run(settings, file) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
