//! Messages between the instances of a simulated site.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::event::PeerIdentity;
use almondhead_lib::runs::event::RunEvent;
use almondhead_lib::runs::run_message::RunMessage;
use almondhead_lib::runs::run_message::TimedRunMessage;

use super::site::HeldMessage;
use super::site::PEER_DELAY;
use super::site::RunSite;

/// How long after the start of a process its connections to and from other instances are
/// established.
const CONNECT_DELAY: Duration = Duration::from_millis(20);

/// The longest delay of a message that a fault delays, in milliseconds.
const MAX_MESSAGE_DELAY_MS: u64 = 3_000;

/// The size on a link of a message other than an intended state.
const SMALL_MESSAGE_BYTES: u64 = 200;

/// The faults of messages between instances.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageFault {
    /// The percentage of messages that are lost.
    pub lost_percent: u64,
    /// The percentage of messages that arrive twice, the second time with a random delay.
    pub doubled_percent: u64,
    /// The percentage of messages that arrive with a random delay.
    pub late_percent: u64,
}

impl RunSite {
    /// Sets the faults of messages sent from now on.
    pub fn set_message_fault(&mut self, fault: MessageFault) {
        self.message_fault = fault;
    }

    pub(super) fn send_peer(&mut self, from: usize, to: &str, message: Box<TimedRunMessage>) {
        self.messages += 1;
        self.nodes[from].messages += 1;
        let Some(node) = self.nodes.iter().position(|node| &*node.name == to) else {
            return;
        };
        if self.cut_pairs.contains(&(from, node)) || self.happens(self.message_fault.lost_percent) {
            return;
        }
        let newest = self.nodes[from].started_at.max(self.nodes[node].started_at);
        if self.now.since(newest) < CONNECT_DELAY || self.refused_pairs.contains(&(from, node)) {
            let instance = Arc::from(to);
            let event = RunEvent::PeerNotSent { instance, message };
            let incarnation = self.nodes[from].incarnation;
            return self.schedule_event(Duration::ZERO, from, incarnation, event);
        }
        let sender = PeerIdentity {
            instance: self.nodes[from].name.clone(),
            incarnation: self.nodes[from].incarnation(),
        };
        if let Some(held) = self.held_messages.get_mut(&(from, node)) {
            held.push(HeldMessage { sender, message });
            return;
        }
        self.nodes[node].messages += 1;
        let event = RunEvent::PeerMessage { sender, message };
        let incarnation = self.nodes[node].incarnation;
        if self.happens(self.message_fault.doubled_percent) {
            let delay = self.random_delay();
            self.schedule_event(delay, node, incarnation, event.clone());
        }
        let queued = self.message_delays.get(&(from, node)).copied();
        let delay = match self.happens(self.message_fault.late_percent) {
            true => self.random_delay(),
            false => queued.map_or(PEER_DELAY, |queued| PEER_DELAY + queued),
        };
        let delay = delay + self.link_delay(node, &event);
        self.schedule_event(delay, node, incarnation, event);
    }

    /// Sets the rate in bytes a millisecond at which an instance's link carries the messages that are
    /// sent to it from now on, one after the other.
    pub fn set_link_rate(&mut self, node: usize, bytes_per_ms: u64) {
        self.nodes[node].link_bytes_per_ms = Some(bytes_per_ms);
        self.nodes[node].link_free_at = self.now;
    }

    /// Returns the number of intended states that other instances have sent to an instance.
    pub fn received_states(&self, node: usize) -> u64 {
        self.nodes[node].received_states
    }

    /// How long a message waits for the receiver's link, and is on it.
    fn link_delay(&mut self, node: usize, event: &RunEvent) -> Duration {
        let state = &mut self.nodes[node];
        let body_bytes = match event {
            RunEvent::PeerMessage { message, .. } => match &message.message {
                RunMessage::IntendedBody { body, .. } => {
                    state.received_states += 1;
                    body.len() as u64
                }
                _ => 0,
            },
            _ => 0,
        };
        let Some(bytes_per_ms) = state.link_bytes_per_ms else {
            return Duration::ZERO;
        };
        let transfer = Duration::from_millis((SMALL_MESSAGE_BYTES + body_bytes) / bytes_per_ms);
        state.link_free_at = state.link_free_at.max(self.now) + transfer;
        state.link_free_at.since(self.now)
    }

    fn happens(&mut self, percent: u64) -> bool {
        percent > 0 && self.random_below(100) < percent
    }

    /// A short delay or a long one, each in half of the cases.
    fn random_delay(&mut self) -> Duration {
        let most_ms = match self.random_below(2) {
            0 => 20,
            _ => MAX_MESSAGE_DELAY_MS,
        };
        Duration::from_millis(self.random_below(most_ms)) + PEER_DELAY
    }
}
