//! The lints of limits that contradict each other.

use crate::document::Document;
use crate::lint_report::LintReport;
use crate::policies::PlacementPolicy;
use crate::service::Service;
use crate::sibling_table::SIBLING_TIMEOUT;
use crate::upstream::Upstream;

/// Warns of limits that another limit keeps from being used or from being kept.
pub(crate) fn lint_limits(document: &Document, report: &mut LintReport<'_>) {
    for (index, service) in document.services.iter().enumerate() {
        lint_queued_tasks(document, index, service, report);
        lint_retries(document, index, service, report);
    }
    for (index, upstream) in document.upstreams.iter().enumerate() {
        lint_connections(document, index, upstream, report);
    }
    lint_open_tasks(document, report);
    lint_digest_period(document, report);
}

fn lint_queued_tasks(
    document: &Document,
    index: usize,
    service: &Service,
    report: &mut LintReport<'_>,
) {
    let max_tasks = service.max_tasks_per_job;
    let max_queued_tasks = document.policies.max_queued_tasks;
    if max_tasks > max_queued_tasks {
        let reason = format!(
            "{max_tasks} is above max_queued_tasks, {max_queued_tasks}: a larger job is accepted \
             only while nothing of its service is queued"
        );
        report.warn(format!("/services/{index}/max_tasks_per_job"), reason);
    }
}

fn lint_retries(document: &Document, index: usize, service: &Service, report: &mut LintReport<'_>) {
    if service.retry_unknown && document.policies.retry_percent == 0 {
        let reason = "has no effect: retry_percent 0 allows no retries".to_owned();
        report.warn(format!("/services/{index}/retry_unknown"), reason);
    }
}

/// Each entry instance opens an equal share of the connections, at least one. By HTTP/1 a connection
/// carries one task at a time, and only the owner uses an upstream under `owned` placement.
fn lint_connections(
    document: &Document,
    index: usize,
    upstream: &Upstream,
    report: &mut LintReport<'_>,
) {
    let instances = u32::try_from(document.instances.len()).unwrap_or(u32::MAX);
    if instances == 0 {
        return;
    }
    let (connections, slots) = (upstream.connections, upstream.slots);
    let share = (connections / instances).max(1);
    let reason = match document.policies.placement {
        PlacementPolicy::Shared if connections < instances => format!(
            "{connections} is below the {instances} entry instances, each of which opens at least \
             one"
        ),
        PlacementPolicy::Owned if share < slots && !uses_http2(document, upstream) => format!(
            "{connections} split among {instances} entry instances gives the owner {share}, fewer \
             than slots, {slots}: the other slots stay unused"
        ),
        _ => return,
    };
    report.warn(format!("/upstreams/{index}/connections"), reason);
}

fn uses_http2(document: &Document, upstream: &Upstream) -> bool {
    let mut services = document.services.iter();
    services.any(|service| service.name == upstream.service && service.http2)
}

/// Every team may use every service, so only a limit below all services' largest jobs is reported.
fn lint_open_tasks(document: &Document, report: &mut LintReport<'_>) {
    let services = document.services.iter();
    let Some(min_tasks) = services.map(|service| service.max_tasks_per_job).min() else {
        return;
    };
    for (index, team) in document.teams.iter().enumerate() {
        let max_open_tasks = team.max_open_tasks;
        if max_open_tasks < min_tasks {
            let reason = format!(
                "{max_open_tasks} is below max_tasks_per_job of every service, at least \
                 {min_tasks}: a larger job is accepted only while the team has no open task"
            );
            report.warn(format!("/teams/{index}/max_open_tasks"), reason);
        }
    }
}

/// A digest serves as heartbeat, so siblings need one within their timeout.
fn lint_digest_period(document: &Document, report: &mut LintReport<'_>) {
    let period_ms = document.policies.digest_period_ms;
    let timeout_ms = SIBLING_TIMEOUT.as_millis();
    if u128::from(period_ms) >= timeout_ms {
        let reason = format!(
            "{period_ms} is not below {timeout_ms}, after which a silent sibling counts as \
             unreachable"
        );
        report.warn("/policies/digest_period_ms".to_owned(), reason);
    }
}
