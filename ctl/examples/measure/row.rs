//! The results table.

use almondhead_ctl::load_report::LoadReport;
use almondhead_macros::message;

/// The results of one scenario under one set of policies.
#[message]
pub(crate) struct Row {
    /// The scenario's name.
    pub(crate) scenario: String,
    /// The name of the set of policies.
    pub(crate) policies: String,
    /// The maximum number of starts of one task, as recorded by the upstreams.
    pub(crate) most_starts_of_one_task: u64,
    /// The processor time of all entries in microseconds per task offered.
    pub(crate) entry_us_per_task: f64,
    /// The largest resident memory of an entry in kibibytes.
    pub(crate) entry_resident_kib: u64,
    /// The report of the load driver.
    pub(crate) report: LoadReport,
}

const HEADER: &str = "\
| scenario | policies | singles p50 | p99 | p99.9 | jobs p50 | p99 | p99.9 | wasted | goodput | in burst \
| complete | not run | failed | no answer | refused in ms p99 | most starts | entry us/task | entry MiB |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

/// Prints the rows as a Markdown table.
pub(crate) fn print_rows(rows: &[Row]) {
    println!("{HEADER}");
    for row in rows {
        let report = &row.report;
        let (singles, jobs) = (report.singles_over_ideal, report.jobs_over_ideal);
        let wasted = report.messages.as_ref().map(|m| m.wasted_per_task);
        print!("| {} | {} ", row.scenario, row.policies);
        print!(
            "| {:.3} | {:.3} | {:.3} ",
            singles.p50, singles.p99, singles.p999
        );
        print!("| {:.3} | {:.3} | {:.3} ", jobs.p50, jobs.p99, jobs.p999);
        print!(
            "| {:.3} | {:.3} ",
            wasted.unwrap_or(f64::NAN),
            report.goodput
        );
        print!("| {:.3} ", report.goodput_in_burst.unwrap_or(f64::NAN));
        for kind in ["complete", "not_run", "failed"] {
            print!("| {} ", jobs_ended(report, kind));
        }
        print!(
            "| {} ",
            jobs_ended(report, "broken") + jobs_ended(report, "unreadable")
        );
        print!("| {:.1} ", report.refusal_ms.p99);
        print!("| {} ", row.most_starts_of_one_task);
        let resident_mib = row.entry_resident_kib / 1024;
        println!("| {:.0} | {resident_mib} |", row.entry_us_per_task);
    }
}

fn jobs_ended(report: &LoadReport, kind: &str) -> u64 {
    let outcomes = report.ends.iter();
    outcomes
        .filter(|(label, _)| label.split(':').next() == Some(kind))
        .map(|(_, jobs)| jobs)
        .sum()
}
