//! The lints of entries that nothing in the document can match.

use crate::check_report::quoted;
use crate::document::Document;
use crate::lint_report::LintReport;
use crate::policies::PlacementPolicy;
use crate::policies::QueuePolicy;

/// Warns of services without teams, teams without services, unused data centres, distances too long
/// for any deadline, and weights that the queue policy ignores.
pub(crate) fn lint_unmatched(document: &Document, report: &mut LintReport<'_>) {
    lint_callers(document, report);
    lint_data_centres(document, report);
    lint_distances(document, report);
    lint_weights(document, report);
}

/// A job names a service and a team of the document, so it needs one of each.
fn lint_callers(document: &Document, report: &mut LintReport<'_>) {
    if document.teams.is_empty() && !document.services.is_empty() {
        let reason = "there is no team, so every job is refused".to_owned();
        report.warn("/teams".to_owned(), reason);
    }
    if document.services.is_empty() && !document.teams.is_empty() {
        let reason = "there is no service, so the teams can submit nothing".to_owned();
        report.warn("/services".to_owned(), reason);
    }
}

/// Without a list of instances the document does not say where they run, so nothing is reported.
fn lint_data_centres(document: &Document, report: &mut LintReport<'_>) {
    if document.instances.is_empty() {
        return;
    }
    for (index, data_centre) in document.data_centres.iter().enumerate() {
        let name = &data_centre.name;
        let has_instance = document.instances.iter().any(|i| i.data_centre == *name);
        let has_upstream = document.upstreams.iter().any(|u| u.data_centre == *name);
        if !has_instance && !has_upstream {
            let reason = "has neither an entry instance nor an upstream".to_owned();
            report.warn(format!("/data_centres/{index}"), reason);
        }
    }
}

/// Overflow is forwarded only if its answer can be back before the deadline.
fn lint_distances(document: &Document, report: &mut LintReport<'_>) {
    let policies = &document.policies;
    if !policies.forward_overflow || policies.placement == PlacementPolicy::Shared {
        return;
    }
    let deadlines = document.services.iter();
    let Some(longest_ms) = deadlines.map(|service| service.max_deadline_ms).max() else {
        return;
    };
    for (from, data_centre) in document.data_centres.iter().enumerate() {
        for (index, distance) in data_centre.distances.iter().enumerate() {
            let round_trip_us = u64::from(distance.one_way_us) * 2;
            if round_trip_us < u64::from(longest_ms) * 1_000 {
                continue;
            }
            let to = quoted(&distance.to);
            let reason = format!(
                "the round trip to {to} takes {round_trip_us} us, no less than the longest \
                 max_deadline_ms, {longest_ms}: no overflow is forwarded there"
            );
            let path = format!("/data_centres/{from}/distances/{index}/one_way_us");
            report.warn(path, reason);
        }
    }
}

fn lint_weights(document: &Document, report: &mut LintReport<'_>) {
    let policy = match document.policies.queue {
        QueuePolicy::FairFewestRemaining => return,
        QueuePolicy::Fifo => "fifo",
        QueuePolicy::EarliestDeadline => "earliest_deadline",
    };
    let mut weights = document.teams.iter().map(|team| team.weight);
    let first = weights.next();
    if weights.any(|weight| Some(weight) != first) {
        let reason = format!("{policy} ignores the teams' weights, which differ");
        report.warn("/policies/queue".to_owned(), reason);
    }
}
