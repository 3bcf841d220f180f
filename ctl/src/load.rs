//! `almondctl load`: submits jobs to entry instances at a configured rate and reports how they
//! ended.

use std::sync::Arc;

use clap::ArgMatches;
use clap::Command;

use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::load_driver::LoadDriver;
use crate::load_error::LoadError;
use crate::load_options::LoadOptions;
use crate::load_plan::LoadPlan;
use crate::load_report::LoadReport;
use crate::load_scrape::scrape_messages;
use crate::report::write_report;

/// The subcommand's name.
pub(crate) const NAME: &str = "load";

const ABOUT: &str = "Offers jobs to entry instances at a set rate and measures them";

const DETAILS: &str = "\
Jobs are sent at times drawn before the start, whatever became of the earlier ones, and each
response time counts from the planned time. The ideal of a single task is its run time and the
unavoidable round trips; that of a job also bears that its tasks share the slots.";

/// Returns the command line of the subcommand.
pub fn command() -> Command {
    LoadOptions::with_arguments(Command::new(NAME).about(ABOUT).long_about(DETAILS))
}

/// Runs the load and prints its report.
pub(crate) fn run(context: &Context, matches: &ArgMatches) -> Result<Exit, CtlError> {
    let options = LoadOptions::from_matches(matches)?;
    write_report(context.format, &offer(&options)?)?;
    Ok(Exit::Ok)
}

/// Generates the load that `options` describe, and returns its report once every job has ended.
///
/// # Errors
///
/// [`LoadError`] when a session can't be opened before the first job, or the metrics can't be read.
pub fn offer(options: &LoadOptions) -> Result<LoadReport, LoadError> {
    let plan = LoadPlan::draw(options);
    let driver = Arc::new(LoadDriver::new(options));
    let before = smol::block_on(scrape_messages(
        driver.client(),
        &options.operator_addresses,
    ))?;
    let samples = driver.run(&plan)?;
    let after = smol::block_on(scrape_messages(
        driver.client(),
        &options.operator_addresses,
    ))?;
    let messages = after
        .zip(before)
        .map(|(after, before)| after.since(&before));
    Ok(LoadReport::new(options, &plan, &samples, messages))
}
