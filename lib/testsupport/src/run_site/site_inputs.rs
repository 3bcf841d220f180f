//! How the inputs of a simulated instance reach its dispatcher: at once, late, or after a pause.

use std::time::Duration;

use almondhead_lib::runs::event::RunEvent;

use super::node::WaitingInput;
use super::site::RunSite;
use super::site::ScheduledEvent;

impl RunSite {
    /// Makes an instance read its inputs this long after they arrive, in the order of arrival, as a
    /// process on a small share of a core does. Its timers fire on time: the real process handles one
    /// that is due before it reads anything.
    ///
    /// A new lag applies to the inputs that wait, too.
    pub fn set_input_lag(&mut self, node: usize, lag: Duration) {
        self.nodes[node].input_lag = lag;
        self.read_inputs(node);
    }

    /// Lets an input arrive at an instance.
    pub(super) fn deliver(&mut self, node: usize, event: RunEvent) {
        let now = self.now;
        let state = &mut self.nodes[node];
        if state.dispatcher.is_none() {
            return;
        }
        if let RunEvent::RequestDropped { request } = &event {
            state.disconnected.insert(*request);
        }
        if state.is_frozen {
            state.frozen_events.push(event);
            return;
        }
        state.waiting_inputs.push_back(WaitingInput {
            arrived_at: now,
            event,
        });
        if state.waiting_inputs.len() == 1 {
            self.read_inputs(node);
        }
    }

    /// Reads the inputs that have waited for the lag, and plans to read the next one.
    pub(super) fn read_inputs(&mut self, node: usize) {
        while let Some(input) = self.nodes[node].next_input(self.now) {
            self.read_input(node, input);
        }
        let state = &mut self.nodes[node];
        let Some(due) = state.next_input_due().filter(|_| !state.is_frozen) else {
            return;
        };
        let planned = state.reads_at.filter(|at| *at > self.now);
        if planned.is_none_or(|at| due < at) {
            state.reads_at = Some(due);
            let incarnation = state.incarnation;
            let wait = due.since(self.now);
            self.schedule(wait, ScheduledEvent::ReadInputs { node, incarnation });
        }
    }

    fn read_input(&mut self, node: usize, event: RunEvent) {
        // The real process sees that a connection has ended before it delivers its request.
        if let RunEvent::Requested { request, .. } = &event
            && self.nodes[node].disconnected.contains(request)
        {
            return;
        }
        self.handle(node, event);
    }
}
