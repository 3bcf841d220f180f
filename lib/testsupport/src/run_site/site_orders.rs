//! How a simulated site delivers orders to its upstreams, and their answers.

use std::time::Duration;

use almondhead_lib::runs::event::RunEvent;
use almondhead_lib::runs::run_id::OrderId;
use almondhead_lib::runs::run_id::RunId;
use almondhead_lib::runs::run_order::OrderAnswer;
use almondhead_lib::runs::run_order::OrderRefusal;
use almondhead_lib::runs::run_order::RunOrder;

use super::site::PathLoss;
use super::site::RunSite;
use super::site::ScheduledEvent;
use super::upstream::StartRequest;
use super::upstream::UpstreamFault;
use super::upstream::WaitingRenew;

/// How long after a change of an upstream's capacity its owner may go by the one before: 3 s and a
/// heartbeat of the upstream.
const CAPACITY_GRACE: Duration = Duration::from_millis(4_500);

/// How long after its start a deadly task crashes its upstream.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// The one-way delay between an instance and an upstream.
pub(super) const ORDER_DELAY: Duration = Duration::from_micros(400);

/// How long an instance waits for the answer to a start or stop order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(60);

/// How long an instance waits for the answer to a renew order beyond the wait that the order
/// states.
const RENEW_GRACE: Duration = Duration::from_millis(80);

impl RunSite {
    pub(super) fn send_order(
        &mut self,
        node: usize,
        order: OrderId,
        upstream: usize,
        run_order: RunOrder,
    ) {
        self.orders += 1;
        let incarnation = self.nodes[node].incarnation;
        let wait = match &run_order {
            RunOrder::Renew { wait, .. } => *wait + RENEW_GRACE,
            _ => ORDER_TIMEOUT,
        };
        self.pending_orders.insert((node, incarnation, order));
        self.schedule(
            wait,
            ScheduledEvent::OrderTimeout {
                node,
                incarnation,
                order,
            },
        );
        let draw = self.random_below(100);
        let late = u64::from(self.order_fault.late_percent);
        let unanswered = late + u64::from(self.order_fault.unanswered_percent);
        let is_stop = matches!(run_order, RunOrder::Stop { .. });
        let is_late = draw < late || (is_stop && self.delays_stops);
        let delay = match is_late {
            true => Duration::from_millis(2_000 + self.random_below(8_000)),
            false => ORDER_DELAY,
        };
        let held_by = is_late.then_some(self.upstreams[upstream].incarnation);
        let path = self.upstream_paths.get(&(node, upstream));
        match path {
            Some(PathLoss::Orders) => return,
            Some(PathLoss::Refused) => {
                let refused = OrderAnswer::NoListener;
                return self.answer_order(node, incarnation, order, refused, ORDER_DELAY);
            }
            _ => {}
        }
        let is_answered = !is_late && draw >= unanswered;
        let order = ScheduledEvent::Order {
            node,
            incarnation,
            order,
            upstream,
            run_order,
            is_answered,
            held_by,
        };
        self.schedule(delay, order);
    }

    pub(super) fn execute_order(
        &mut self,
        node: usize,
        incarnation: u64,
        order: OrderId,
        upstream: usize,
        run_order: &RunOrder,
        is_answered: bool,
    ) {
        match self.upstreams[upstream].fault {
            Some(UpstreamFault::Down) => return,
            Some(UpstreamFault::Crashed) => {
                let refused = OrderAnswer::NoListener;
                return self.answer_order(node, incarnation, order, refused, ORDER_DELAY);
            }
            _ => {}
        }
        self.advance(upstream);
        let now = self.now;
        let state = &mut self.upstreams[upstream];
        let clock_ms = Some(state.clock_ms(now));
        let result = match run_order {
            RunOrder::Start {
                run,
                lease_until_ms,
                fence,
                ..
            } => {
                let result = self.start_run(upstream, *run, *lease_until_ms, *fence);
                result.map(|()| OrderAnswer::Done { clock_ms })
            }
            RunOrder::Stop { run, fence } => {
                let result = state.stop(*run, *fence);
                result.map(|()| OrderAnswer::Done { clock_ms })
            }
            RunOrder::Renew {
                lease_until_ms,
                fence,
                acknowledged_end,
                wait,
            } => {
                let result = state.renew(now, *lease_until_ms, *fence, *acknowledged_end);
                if result.is_ok() && state.ended.is_empty() && !wait.is_zero() {
                    state.renews.push(WaitingRenew {
                        node,
                        incarnation,
                        order,
                        until: now + *wait,
                        is_answer_lost: !is_answered,
                    });
                    self.schedule(*wait, ScheduledEvent::RenewWaitOver(upstream));
                    self.check_lease(upstream);
                    return self.advance(upstream);
                }
                result.map(|()| OrderAnswer::Renewed(state.report(now)))
            }
        };
        self.check_lease(upstream);
        let answer = result.unwrap_or_else(|refusal| OrderAnswer::Refused { refusal, clock_ms });
        if is_answered && !self.is_answer_lost(node, upstream) {
            self.answer_order(node, incarnation, order, answer, ORDER_DELAY);
        }
        self.advance(upstream);
        self.answer_renews(upstream, false);
    }

    fn start_run(
        &mut self,
        upstream: usize,
        run: RunId,
        lease_until_ms: u64,
        fence: u64,
    ) -> Result<(), OrderRefusal> {
        let Some((job, work)) = self.jobs.get(run.task.job.as_str()).cloned() else {
            self.violations.push(format!(
                "{run} was ordered, but its job was never submitted"
            ));
            return Err(OrderRefusal::Invalid);
        };
        let request = StartRequest {
            run,
            resources: job.steps[run.task.step as usize].resources,
            work,
            lease_until_ms,
            fence,
        };
        let was_running = self.upstreams[upstream].runs.contains_key(&run);
        self.upstreams[upstream].start(self.now, &request)?;
        let state = &self.upstreams[upstream];
        let label = job.steps[run.task.step as usize].required_label.as_ref();
        if label.is_some_and(|label| !state.listed.labels.contains(label)) {
            let (at, id) = (self.now_ms(), &state.listed.id);
            self.violations.push(format!(
                "{run} started at {at} ms without its required label on {id}"
            ));
        }
        let is_known = self.now.since(state.capacity_changed_at) > CAPACITY_GRACE;
        if !was_running && is_known && state.is_over_capacity() {
            let at = self.now_ms();
            let id = &state.listed.id;
            self.violations.push(format!(
                "{run} started at {at} ms beyond the capacity of {id}"
            ));
        }
        let job = run.task.job.to_string();
        if !was_running && run.task.index == 0 && self.deadly_jobs.contains_key(&job) {
            self.schedule(CRASH_DELAY, ScheduledEvent::Crash { upstream, run });
        }
        self.started_jobs.insert(job.clone());
        self.check_not_run_answers(&job);
        for other in 0..self.upstreams.len() {
            self.advance(other);
        }
        let runs = self.upstreams.iter().flat_map(|state| state.runs.keys());
        let same = runs.filter(|other| other.task == run.task).count();
        if same > 1 && !was_running {
            let at = self.now_ms();
            self.violations.push(format!(
                "{run} started at {at} ms while another run of its task was in progress"
            ));
        }
        Ok(())
    }

    pub(super) fn crash(&mut self, upstream: usize, run: RunId) {
        if self.upstreams[upstream].runs.contains_key(&run) {
            let job = run.task.job.to_string();
            let fault = self.deadly_jobs.get(&job).copied();
            *self.crashes.entry(job).or_default() += 1;
            self.crash_by(upstream, fault.unwrap_or(UpstreamFault::Crashed));
        }
    }

    /// Ends the connections of waiting renew orders.
    pub(super) fn end_connections(&mut self, renews: Vec<WaitingRenew>, answer: &OrderAnswer) {
        for renew in renews {
            self.answer_order(
                renew.node,
                renew.incarnation,
                renew.order,
                answer.clone(),
                ORDER_DELAY,
            );
        }
    }

    pub(super) fn answer_order(
        &mut self,
        node: usize,
        incarnation: u64,
        order: OrderId,
        answer: OrderAnswer,
        after: Duration,
    ) {
        if !self.pending_orders.swap_remove(&(node, incarnation, order)) {
            return;
        }
        let event = RunEvent::OrderAnswered { order, answer };
        self.schedule_event(after, node, incarnation, event);
    }

    /// Ends the runs of an upstream that are over, and answers the renew orders that wait for that.
    pub(super) fn advance(&mut self, upstream: usize) {
        let has_ended_runs = self.upstreams[upstream].advance(self.now);
        if let Some(at) = self.upstreams[upstream].next_end_at() {
            self.schedule(at.since(self.now), ScheduledEvent::Advance(upstream));
        }
        if has_ended_runs {
            self.answer_renews(upstream, true);
        }
    }

    /// Answers the waiting renew orders of an upstream: all of them, or those whose wait is over.
    pub(super) fn answer_renews(&mut self, upstream: usize, all: bool) {
        let now = self.now;
        let state = &mut self.upstreams[upstream];
        if state.fault.is_some_and(UpstreamFault::is_down) {
            return;
        }
        let due: Vec<WaitingRenew> = state
            .renews
            .extract_if(.., |renew| all || renew.until <= now)
            .collect();
        let report = state.report(now);
        for renew in due.into_iter().filter(|renew| !renew.is_answer_lost) {
            if self.is_answer_lost(renew.node, upstream) {
                continue;
            }
            let answer = OrderAnswer::Renewed(report.clone());
            self.answer_order(
                renew.node,
                renew.incarnation,
                renew.order,
                answer,
                ORDER_DELAY,
            );
        }
    }

    /// Returns whether answers from an upstream to an instance are lost, as on every broken path.
    fn is_answer_lost(&self, node: usize, upstream: usize) -> bool {
        self.upstream_paths.contains_key(&(node, upstream))
    }
}
