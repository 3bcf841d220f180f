//! The lints of times of leaving: entries that have left, and what they leave behind.

use crate::document::Document;
use crate::lint_report::LintReport;

/// Warns of entries that have left, services that lose all upstreams, and data centres whose
/// upstreams have no entry instance, or none left.
pub(crate) fn lint_leaving(document: &Document, now_unix_ms: u64, report: &mut LintReport<'_>) {
    lint_passed(document, now_unix_ms, report);
    lint_services(document, report);
    lint_data_centres(document, report);
}

fn lint_passed(document: &Document, now_unix_ms: u64, report: &mut LintReport<'_>) {
    let instances = document.instances.iter().map(|i| i.leaves_at_unix_ms);
    let upstreams = document.upstreams.iter().map(|u| u.leaves_at_unix_ms);
    let instances = instances.enumerate().map(|(i, at)| ("instances", i, at));
    let upstreams = upstreams.enumerate().map(|(i, at)| ("upstreams", i, at));
    for (list, index, leaves_at_unix_ms) in instances.chain(upstreams) {
        let Some(passed_unix_ms) = leaves_at_unix_ms.filter(|at| *at <= now_unix_ms) else {
            continue;
        };
        let reason = format!("{passed_unix_ms} has passed: the entry takes no work");
        report.warn(format!("/{list}/{index}/leaves_at_unix_ms"), reason);
    }
}

fn lint_services(document: &Document, report: &mut LintReport<'_>) {
    for (index, service) in document.services.iter().enumerate() {
        let upstreams = document.upstreams.iter();
        let of_service = upstreams.filter(|upstream| upstream.service == service.name);
        let last = last_leaves_at(of_service.map(|upstream| upstream.leaves_at_unix_ms));
        if let Leaves::At(unix_ms) = last {
            let reason =
                format!("the last upstream of this service leaves at {unix_ms}; then no task runs");
            report.warn(format!("/services/{index}"), reason);
        }
    }
}

/// Instances of other data centres take over upstreams without an entry instance in their own, so
/// they are used only while the data centres reach each other.
fn lint_data_centres(document: &Document, report: &mut LintReport<'_>) {
    if document.instances.is_empty() {
        return;
    }
    for (index, data_centre) in document.data_centres.iter().enumerate() {
        let name = &data_centre.name;
        let upstreams = document.upstreams.iter();
        let upstreams = upstreams.filter(|upstream| upstream.data_centre == *name);
        let upstreams = last_leaves_at(upstreams.map(|upstream| upstream.leaves_at_unix_ms));
        let instances = document.instances.iter();
        let instances = instances.filter(|instance| instance.data_centre == *name);
        let instances = last_leaves_at(instances.map(|instance| instance.leaves_at_unix_ms));
        if instances >= upstreams {
            continue;
        }
        let since = match instances {
            Leaves::At(unix_ms) => format!("from {unix_ms} on has upstreams but no entry instance"),
            _ => "has upstreams but no entry instance".to_owned(),
        };
        let reason =
            format!("{since}: only other data centres use them, and none if it is cut off");
        report.warn(format!("/data_centres/{index}"), reason);
    }
}

/// When the last of some entries leaves, in ascending order of time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Leaves {
    /// There is no entry.
    None,
    /// At this time in milliseconds since the Unix epoch.
    At(u64),
    /// At least one entry stays.
    Never,
}

fn last_leaves_at(times: impl Iterator<Item = Option<u64>>) -> Leaves {
    let times = times.map(|leaves_at_unix_ms| match leaves_at_unix_ms {
        Some(unix_ms) => Leaves::At(unix_ms),
        None => Leaves::Never,
    });
    times.max().unwrap_or(Leaves::None)
}
