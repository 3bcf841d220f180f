//! Runs a site of real processes under load, scenario by scenario, and prints the results under the
//! default policies, the message-saving policies and a baseline.

mod process_costs;
mod row;
mod scenario;
mod site;
mod upstreams;

use std::error::Error;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::row::Row;
use crate::row::print_rows;
use crate::scenario::PolicySet;
use crate::scenario::Scenario;
use crate::site::MeasuredSite;

const UPSTREAMS: &str = "upstreams";

/// The maximum number of attempts to start a site.
const MAX_START_TRIES: usize = 3;

fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    if let Some((UPSTREAMS, arguments)) = matches.subcommand() {
        let count: usize = *arguments.get_one("count").expect("--count has a default");
        return smol::block_on(upstreams::serve(count));
    }
    let rows = measure(&matches)?;
    print_rows(&rows);
    for row in &rows {
        println!("{}", serde_json::to_string(row)?);
    }
    Ok(())
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .default_value(default)
            .value_parser(value_parser!(u64))
    };
    Command::new("measure")
        .about("Measures a site of real processes against a baseline")
        .arg(number("seed", "1", "Seed of all that is drawn"))
        .arg(
            number("duration-s", "10", "Seconds of load for each row")
                .value_parser(value_parser!(u64).range(5..=30)),
        )
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .help("Only the scenarios whose names contain this"),
        )
        .arg(
            Arg::new("policies")
                .long("policies")
                .help("Only the sets of policies whose names contain this"),
        )
        .subcommand(
            Command::new(UPSTREAMS)
                .about("Runs some upstream stand-ins")
                .hide(true)
                .arg(number("count", "1", "How many").value_parser(value_parser!(usize))),
        )
}

fn measure(matches: &ArgMatches) -> Result<Vec<Row>, Box<dyn Error>> {
    let seed: u64 = *matches.get_one("seed").expect("--seed has a default");
    let duration_s: u64 = *matches
        .get_one("duration-s")
        .expect("--duration-s has a default");
    let is_selected = |option: &str, name: &str| {
        let part: Option<&String> = matches.get_one(option);
        part.is_none_or(|part| name.contains(part.as_str()))
    };
    let mut rows = Vec::new();
    for scenario in Scenario::all() {
        if !is_selected("scenario", scenario.name) {
            continue;
        }
        for policies in PolicySet::ALL {
            if !is_selected("policies", policies.name()) {
                continue;
            }
            eprintln!("{}, {}", scenario.name, policies.name());
            match measure_row(&scenario, policies, seed, duration_s) {
                Ok(row) => rows.push(row),
                Err(error) => eprintln!("not measured: {error}"),
            }
        }
    }
    Ok(rows)
}

/// Starts a site, and retries since another process may take one of its ports in the meantime.
fn start_site(policies: PolicySet) -> Result<MeasuredSite, Box<dyn Error>> {
    for _ in 1..MAX_START_TRIES {
        match smol::block_on(MeasuredSite::start(policies)) {
            Ok(site) => return Ok(site),
            Err(error) => eprintln!("start the site, trying again: {error}"),
        }
    }
    smol::block_on(MeasuredSite::start(policies))
}

fn measure_row(
    scenario: &Scenario,
    policies: PolicySet,
    seed: u64,
    duration_s: u64,
) -> Result<Row, Box<dyn Error>> {
    let mut site = start_site(policies)?;
    let options = scenario.options(&site, seed, duration_s)?;
    let before = site.entry_costs();
    let report = site.offer(scenario, options)?;
    let after = site.entry_costs();
    let tasks = report.tasks.max(1) as f64;
    Ok(Row {
        entry_us_per_task: (after.processor_s - before.processor_s) * 1e6 / tasks,
        entry_resident_kib: after.largest_resident_kib,
        scenario: scenario.name.to_owned(),
        policies: policies.name().to_owned(),
        most_starts_of_one_task: smol::block_on(site.most_starts_of_one_task())?,
        report,
    })
}
