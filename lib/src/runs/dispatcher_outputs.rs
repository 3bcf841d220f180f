//! How a dispatcher carries out what its home and its owner put out.

use super::home::HomeOutput;
use super::owner::OwnerNotice;
use super::owner_choice::OwnerRef;
use super::run_action::RunAction;
use super::run_answer::RunAnswer;
use super::run_dispatcher::RunDispatcher;
use super::run_message::RunEnds;
use super::run_message::RunMessage;
use crate::id::RequestId;

impl RunDispatcher {
    /// Carries out the outputs of home and owner until neither produces more.
    pub(crate) fn process_outputs(&mut self) {
        let may_start = self.inputs.is_current(self.now) && !self.awaits_evacuation();
        loop {
            if may_start {
                self.place_waiting();
            }
            let outputs = std::mem::take(&mut self.home.outputs);
            if may_start {
                self.owner.start_queued(self.now);
            }
            let notices = std::mem::take(&mut self.owner.notices);
            if outputs.is_empty() && notices.is_empty() {
                break;
            }
            for output in outputs {
                self.carry_out_home_output(output);
            }
            for notice in notices {
                self.handle_owner_notice(notice);
            }
        }
        debug_assert!(
            self.has_no_released_run(),
            "an own upstream runs a task that its home here no longer has placed there"
        );
        self.actions.append(&mut self.owner.actions);
    }

    /// Whether the home has placed all that this instance holds for itself: no heartbeat tells an instance
    /// which of its own batches are open.
    fn has_no_released_run(&self) -> bool {
        let own = self.settings.incarnation;
        let held = self.owner.by_number.iter();
        let mut held = held.filter(|((home, _), _)| *home == own);
        held.all(|((_, number), batch_key)| {
            let open = self.home.batches.get(&(OwnerRef::Own, *number));
            let open_tasks = self.owner.batches[*batch_key].open_tasks;
            open.is_some_and(|open| open.task_count() >= open_tasks)
        })
    }

    fn carry_out_home_output(&mut self, output: HomeOutput) {
        let now = self.now;
        let own = self.settings.incarnation;
        match output {
            HomeOutput::Answer { request, answer } => self.answer(request, answer),
            HomeOutput::Place { owner, mut batch } => match owner {
                OwnerRef::Own => {
                    let as_of = self.name_own_delegator(&mut batch);
                    self.owner.place(now, own, as_of, batch);
                }
                OwnerRef::Peer(peer) => self.send(peer, RunMessage::Place(batch)),
            },
            HomeOutput::Adopt {
                owner,
                upstream,
                mut batch,
            } => match owner {
                OwnerRef::Own => {
                    let as_of = self.name_own_delegator(&mut batch);
                    self.owner.adopt(now, own, as_of, &upstream, batch);
                }
                // Counts as lost on the way: the callers may have left. The owner stops the runs.
                OwnerRef::Peer(_) if !self.inputs.is_current(now) => {}
                OwnerRef::Peer(peer) => self.send(peer, RunMessage::Adopt { upstream, batch }),
            },
            HomeOutput::Cancel {
                owner,
                cancellation,
            } => match owner {
                OwnerRef::Own => self.owner.cancel(now, own, &cancellation),
                OwnerRef::Peer(peer) => self.send(peer, RunMessage::Cancel(cancellation)),
            },
        }
    }

    fn handle_owner_notice(&mut self, notice: OwnerNotice) {
        match notice {
            OwnerNotice::Ends { home, batch, ends } => {
                if home == self.settings.incarnation {
                    return self.home.handle_ends(self.now, OwnerRef::Own, batch, ends);
                }
                if let Some(peer) = self.peers.by_incarnation(home) {
                    let digest = self.digest();
                    let ends = RunEnds {
                        batch,
                        ends,
                        digest,
                    };
                    self.send(peer, RunMessage::Ends(ends));
                }
            }
            OwnerNotice::Found {
                upstream,
                fence,
                running,
                ended,
            } => {
                let now = self.now;
                let own = OwnerRef::Own;
                self.home
                    .handle_found_runs(now, own, &upstream, &running, &ended);
                let found = RunMessage::Found {
                    upstream,
                    fence,
                    running,
                    ended,
                };
                self.broadcast(&found);
            }
            OwnerNotice::Crash(report) => {
                self.home.counts.upstream_crashes += u64::from(report.is_certain);
                self.record_crash(&report);
                self.broadcast(&RunMessage::Crashes(vec![report]));
            }
        }
    }

    pub(crate) fn answer(&mut self, request: RequestId, answer: RunAnswer) {
        if Self::is_delegated_request(request) {
            return self.answer_delegated(request, answer);
        }
        self.actions.push(RunAction::Answer { request, answer });
    }
}
