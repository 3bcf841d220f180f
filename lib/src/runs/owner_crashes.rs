//! How an owner finds out that an upstream has crashed.

use super::crash_report::CrashReport;
use super::owner::Owner;
use super::owner::OwnerNotice;
use super::owner::OwnerTimer;
use super::owner::PendingKind;
use super::owner::PendingOrder;
use super::queue_suspension::AWAY_TIME;
use super::run_id::LeasedUpstreamKey;
use super::run_id::RunId;
use super::run_order::OrderAnswer;
use super::run_order::OrderRefusal;
use super::whole_ms::whole_ms;
use crate::time::Timestamp;

impl Owner {
    /// Records what an answer shows about whether the upstream's process goes on.
    pub(crate) fn record_crash_evidence(
        &mut self,
        now: Timestamp,
        pending: PendingOrder,
        answer: &OrderAnswer,
    ) {
        let evidence = &mut self.upstreams[pending.upstream].crash_evidence;
        match answer {
            OrderAnswer::NoListener => evidence.record_refusal(now, pending.sent_at),
            OrderAnswer::Closed => evidence.record_closed(now),
            OrderAnswer::Reset => evidence.record_reset(),
            // Another process answered.
            OrderAnswer::Refused {
                refusal: OrderRefusal::OtherIncarnation,
                ..
            } => {}
            OrderAnswer::Done { .. } | OrderAnswer::Renewed(_) | OrderAnswer::Refused { .. } => {
                evidence.record_answer();
            }
            OrderAnswer::NotSent | OrderAnswer::Lost => {}
        }
    }

    /// Reports the crash of an upstream whose process has ended, once, and its runs as lost.
    pub(crate) fn check_crash(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
        let upstream = self.upstreams.get(upstream_key);
        if upstream.is_some_and(|upstream| upstream.crash_evidence.has_ended()) {
            self.report_crash(now, upstream_key, "connections_closed_and_refused");
            self.end_crashed_runs(upstream_key);
        }
    }

    /// Reports the runs of a crashed upstream as lost, except those whose start may still take effect
    /// in its next incarnation: these are kept until their leases have expired.
    fn end_crashed_runs(&mut self, upstream_key: LeasedUpstreamKey) {
        let starts = self
            .orders
            .values()
            .filter_map(|pending| match pending.kind {
                PendingKind::Start(run) if pending.upstream == upstream_key => Some(run),
                _ => None,
            });
        let starts: Vec<RunId> = starts.collect();
        let runs = self.upstreams[upstream_key].runs.iter();
        let ended = runs.filter(|(run, leased)| !leased.may_start_late && !starts.contains(run));
        let ended: Vec<RunId> = ended.map(|(run, _)| *run).collect();
        for run in ended {
            self.on_run_lost(upstream_key, run, "crashed");
        }
        self.drop_if_released(upstream_key);
    }

    /// Reports the crash of an upstream with the runs that it ended, once for each incarnation.
    ///
    /// An upstream that is draining ends its process by itself.
    pub(crate) fn report_crash(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        evidence: &str,
    ) {
        let upstream = &mut self.upstreams[upstream_key];
        if std::mem::replace(&mut upstream.crash_evidence.is_reported, true)
            || upstream.listed.draining
        {
            return;
        }
        let ended_at = upstream.crash_evidence.ended_at(now);
        let report = CrashReport {
            ago: now.since(ended_at),
            ..upstream.loss_report(ended_at)
        };
        let newest = report.newest_run();
        tracing::warn!(
            upstream = %report.upstream, fence = report.fence, evidence, runs = report.runs.len(),
            newest_run = newest.map(|newest| newest.run.to_string()),
            newest_queue = newest.map(|newest| &*newest.queue),
            newest_age_ms = newest.map(|newest| whole_ms(newest.age)),
            "upstream crashed"
        );
        for crashed in &report.runs {
            tracing::warn!(
                job = %crashed.run.task.job, run = %crashed.run, upstream = %report.upstream,
                age_ms = whole_ms(crashed.age), runs = report.runs.len(),
                "run on a crashed upstream"
            );
        }
        self.notices.push(OwnerNotice::Crash(report));
        self.record_lone_crash(upstream_key, ended_at);
    }

    /// Reports the loss of the runs on a silent upstream, which may have crashed under one of them.
    pub(crate) fn report_silent_loss(&mut self, now: Timestamp, upstream_key: LeasedUpstreamKey) {
        let upstream = &mut self.upstreams[upstream_key];
        let is_known = upstream.crash_evidence.is_reported || upstream.listed.draining;
        if upstream.runs.is_empty() || is_known {
            return;
        }
        let report = CrashReport {
            is_certain: false,
            ..upstream.loss_report(now)
        };
        self.notices.push(OwnerNotice::Crash(report));
        self.record_lone_crash(upstream_key, now);
    }

    /// Records that an upstream may have crashed at this time under a run that had to be alone.
    fn record_lone_crash(&mut self, upstream_key: LeasedUpstreamKey, crashed_at: Timestamp) {
        let upstream = &mut self.upstreams[upstream_key];
        if upstream.has_lone_run() {
            upstream.crash_evidence.lone_crash_at = Some(crashed_at);
            self.timers
                .subscribe(crashed_at + AWAY_TIME, OwnerTimer::Dispatch);
        }
    }
}
