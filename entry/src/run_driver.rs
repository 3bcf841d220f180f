//! The task that owns the dispatcher of leased runs: feeds in events and carries out the actions.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::id::RequestId;
use almondhead_lib::membership::Sibling;
use almondhead_lib::peer_message::PeerMessage;
use almondhead_lib::runs::event::RunEvent;
use almondhead_lib::runs::run_action::PeerAddress;
use almondhead_lib::runs::run_action::RunAction;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_lib::runs::run_dispatcher::RunDispatcher;
use almondhead_lib::runs::run_id::OrderId;
use almondhead_lib::runs::run_message::TimedRunMessage;
use almondhead_lib::runs::run_order::AddressedOrder;
use almondhead_lib::runs::run_status::RunStatus;
use almondhead_lib::time::Timestamp;
use almondhead_platform::ListingSwitch;
use almondhead_platform::OrderClient;
use almondhead_platform::RosterSession;
use almondhead_platform::StoreClient;
use async_channel::Receiver;
use async_channel::Sender;
use futures_lite::future::or;
use indexmap::IndexMap;
use smol::Timer;

use crate::clock::Clock;
use crate::executor;
use crate::input_mark::InputMark;
use crate::peer::PeerTransport;
use crate::run_handle::RunHandle;
use crate::run_metrics::RunMetrics;
use crate::timer::TimerService;

/// Delay before a mark that failed is sent again.
const MARK_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A command to the driver.
pub(crate) enum RunCommand {
    /// Hand an event to the dispatcher.
    Event(RunEvent),
    /// Hand a caller's request to the dispatcher and answer it on `reply`.
    Request {
        /// The request.
        request: RequestId,
        /// The event that carries the request.
        event: RunEvent,
        /// Receives the answer.
        reply: Sender<RunAnswer>,
    },
    /// Read the dispatcher's status.
    Status(Sender<RunDriverStatus>),
}

/// A snapshot of the dispatcher's state.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunDriverStatus {
    /// The dispatcher's own status.
    pub(crate) dispatcher: RunStatus,
    /// Whether no request, no job and no task held for another instance is open.
    pub(crate) is_idle: bool,
}

/// The clients that carry out the dispatcher's actions.
pub(crate) struct RunEffects {
    pub(crate) orders: Arc<OrderClient>,
    pub(crate) store: Arc<StoreClient>,
    pub(crate) peers: Arc<dyn PeerTransport>,
    pub(crate) metrics: RunMetrics,
    pub(crate) handle: RunHandle,
    /// Passes the inputs of the process.
    pub(crate) input_mark: Arc<InputMark>,
    /// Switches the reads of the upstreams' entries.
    pub(crate) listing_switch: Arc<ListingSwitch>,
    /// Asks the roster session to write this instance's row again.
    pub(crate) register_again: Sender<()>,
}

/// Why the driver woke up.
enum Wakeup {
    Command(RunCommand),
    Timer,
    Closed,
}

/// Owns the dispatcher and the requests that wait for their answers; runs as a single task.
pub(crate) struct RunDriver {
    dispatcher: RunDispatcher,
    clock: Clock,
    timer: TimerService,
    commands: Receiver<RunCommand>,
    effects: RunEffects,
    replies: IndexMap<RequestId, Sender<RunAnswer>>,
    actions: Vec<RunAction>,
    follow_ups: VecDeque<RunEvent>,
}

impl RunDriver {
    pub(crate) fn new(
        dispatcher: RunDispatcher,
        clock: Clock,
        commands: Receiver<RunCommand>,
        effects: RunEffects,
    ) -> Self {
        RunDriver {
            dispatcher,
            clock,
            timer: TimerService::new(clock),
            commands,
            effects,
            replies: IndexMap::new(),
            actions: Vec::new(),
            follow_ups: VecDeque::new(),
        }
    }

    /// Runs until every sender of commands has been dropped.
    pub(crate) async fn run(mut self) {
        loop {
            match self.next_wakeup().await {
                Wakeup::Command(command) => self.handle_command(command),
                Wakeup::Timer => self.handle_event(RunEvent::Tick),
                Wakeup::Closed => return,
            }
        }
    }

    /// Waits for a command or the dispatcher's timer; a timer that is due goes first.
    async fn next_wakeup(&mut self) -> Wakeup {
        let due = self.dispatcher.next_wakeup();
        if due.is_some_and(|due| due <= self.clock.now()) {
            return Wakeup::Timer;
        }
        if let Ok(command) = self.commands.try_recv() {
            return Wakeup::Command(command);
        }
        let commands = &self.commands;
        let timer = &self.timer;
        let command = async {
            match commands.recv().await {
                Ok(command) => Wakeup::Command(command),
                Err(_) => Wakeup::Closed,
            }
        };
        let timer = async {
            timer.at(due).await;
            Wakeup::Timer
        };
        or(command, timer).await
    }

    fn handle_command(&mut self, command: RunCommand) {
        match command {
            RunCommand::Event(event) => {
                if let RunEvent::RequestDropped { request } = &event {
                    self.replies.swap_remove(request);
                }
                self.handle_event(event);
            }
            RunCommand::Request {
                request,
                event,
                reply,
            } => {
                self.replies.insert(request, reply);
                self.handle_event(event);
            }
            RunCommand::Status(reply) => {
                // Fails when the receiver has been dropped.
                reply.try_send(self.status()).ok();
            }
        }
    }

    /// Hands an event to the dispatcher, then the events that its actions caused directly.
    fn handle_event(&mut self, event: RunEvent) {
        self.follow_ups.push_back(event);
        while let Some(event) = self.follow_ups.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.dispatcher
                .handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
            self.actions = actions;
        }
    }

    fn execute(&mut self, action: RunAction) {
        match action {
            RunAction::Answer { request, answer } => {
                if let Some(reply) = self.replies.swap_remove(&request) {
                    // Fails when the caller has left.
                    reply.try_send(answer).ok();
                }
            }
            RunAction::Order {
                order,
                addressed_order,
            } => self.send_order(order, addressed_order),
            RunAction::SendPeer { instance, message } => self.send_peer(instance, message),
            RunAction::SetPeers(peers) => {
                let peers: Vec<Sibling> = peers.into_iter().map(sibling).collect();
                self.effects.peers.set_siblings(&peers);
            }
            RunAction::RemoveMember { name, row_version } => {
                self.remove_member(name, row_version);
            }
            RunAction::ReadListing {
                is_on,
                known_version,
            } => self.effects.listing_switch.set(is_on, known_version),
            RunAction::ReadInputs { as_of } => self.send_mark(as_of),
            RunAction::RegisterAgain => {
                // Fails when a request is already queued, which has the same effect.
                self.effects.register_again.try_send(()).ok();
            }
        }
    }

    /// Sends a mark behind all that has reached this process.
    fn send_mark(&self, as_of: Timestamp) {
        let handle = self.effects.handle.clone();
        let input_mark = Arc::clone(&self.effects.input_mark);
        executor::spawn(async move {
            while let Err(error) = input_mark.pass().await {
                tracing::error!(%error, "inputs not passed");
                Timer::after(MARK_RETRY_DELAY).await;
            }
            handle.send(RunEvent::InputsRead { as_of });
        });
    }

    fn send_order(&self, order: OrderId, addressed_order: AddressedOrder) {
        let orders = Arc::clone(&self.effects.orders);
        let handle = self.effects.handle.clone();
        let metrics = self.effects.metrics.clone();
        executor::spawn(async move {
            let sent_at = std::time::Instant::now();
            let answer = orders.send(&addressed_order).await;
            metrics.count_order(&addressed_order.order, &answer, sent_at.elapsed());
            handle.send(RunEvent::OrderAnswered { order, answer });
        });
    }

    fn send_peer(&mut self, instance: Arc<str>, message: Box<TimedRunMessage>) {
        let envelope = PeerMessage::Run(message);
        let Err(error) = self.effects.peers.send(&instance, &envelope) else {
            return;
        };
        tracing::debug!(%error, "peer message not sent");
        if let PeerMessage::Run(message) = envelope {
            let event = RunEvent::PeerNotSent { instance, message };
            self.follow_ups.push_back(event);
        }
    }

    fn remove_member(&self, name: Arc<str>, row_version: u64) {
        let store = Arc::clone(&self.effects.store);
        executor::spawn(async move {
            match RosterSession::remove(&store, &name, row_version).await {
                Ok(outcome) => tracing::info!(instance = %name, ?outcome, "removal of an instance"),
                Err(error) => tracing::warn!(instance = %name, %error, "instance not removed"),
            }
        });
    }

    fn status(&self) -> RunDriverStatus {
        RunDriverStatus {
            dispatcher: self.dispatcher.status(),
            is_idle: self.dispatcher.is_idle() && self.replies.is_empty(),
        }
    }
}

fn sibling(peer: PeerAddress) -> Sibling {
    Sibling {
        name: peer.name,
        data_centre: peer.data_centre,
        peer_address: peer.address,
        incarnation: Some(peer.incarnation),
        leaving: false,
    }
}
