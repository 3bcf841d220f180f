//! The task that owns the dispatcher: it feeds in events and carries out the actions.

use std::collections::VecDeque;
use std::sync::Arc;

use almondhead_lib::action::Action;
use almondhead_lib::dispatcher::Dispatcher;
use almondhead_lib::dispatcher::DispatcherStatus;
use almondhead_lib::event::Event;
use almondhead_lib::id::RequestId;
use almondhead_lib::id::SessionId;
use almondhead_lib::outcome::JobAnswer;
use almondhead_lib::outcome::NotRunReason;
use async_channel::Receiver;
use async_channel::Sender;
use futures_lite::future::or;
use indexmap::IndexMap;

use crate::clock::Clock;
use crate::effects::Effects;
use crate::hop_tracker::HopTracker;
use crate::timer::TimerService;

/// A command to the driver.
pub(crate) enum Command {
    /// Hand an event to the dispatcher.
    Event(Event),
    /// Hand a caller's request to the dispatcher and answer it on `reply`.
    Request {
        /// The request.
        request: RequestId,
        /// The event that carries the request.
        event: Event,
        /// Receives the answer.
        reply: Sender<Arc<JobAnswer>>,
    },
    /// Open a session.
    OpenSession(Sender<Result<SessionId, NotRunReason>>),
    /// Read the dispatcher's status.
    Status(Sender<DriverStatus>),
}

/// A snapshot of the dispatcher's state.
#[derive(Clone, Debug, Default)]
pub(crate) struct DriverStatus {
    /// The dispatcher's own status.
    pub(crate) dispatcher: DispatcherStatus,
    /// Whether no request, attempt or batch is open.
    pub(crate) is_idle: bool,
}

/// Why the driver woke up.
enum Wakeup {
    Command(Command),
    Timer,
    Closed,
}

/// Owns the dispatcher and the requests that wait for their answers; runs as a single task.
pub(crate) struct Driver {
    dispatcher: Dispatcher,
    clock: Clock,
    timer: TimerService,
    commands: Receiver<Command>,
    effects: Effects,
    hops: HopTracker,
    replies: IndexMap<RequestId, Sender<Arc<JobAnswer>>>,
    actions: Vec<Action>,
    follow_ups: VecDeque<Event>,
}

impl Driver {
    pub(crate) fn new(
        dispatcher: Dispatcher,
        clock: Clock,
        commands: Receiver<Command>,
        effects: Effects,
        hops: HopTracker,
    ) -> Self {
        Driver {
            dispatcher,
            clock,
            timer: TimerService::new(clock),
            commands,
            effects,
            hops,
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
                Wakeup::Timer => self.handle_event(Event::Tick),
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

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Event(event) => {
                if let Event::RequestDropped { request } = &event {
                    self.replies.swap_remove(request);
                }
                self.handle_event(event);
            }
            Command::Request {
                request,
                event,
                reply,
            } => {
                self.replies.insert(request, reply);
                self.handle_event(event);
            }
            Command::OpenSession(reply) => {
                let opened = self.dispatcher.open_session(self.clock.now());
                reply.try_send(opened).ok();
            }
            Command::Status(reply) => {
                let status = self.status();
                reply.try_send(status).ok();
            }
        }
    }

    /// Hands an event to the dispatcher, then the events that its actions caused directly.
    fn handle_event(&mut self, event: Event) {
        self.follow_ups.push_back(event);
        while let Some(event) = self.follow_ups.pop_front() {
            self.handle_one(event);
        }
    }

    fn handle_one(&mut self, mut event: Event) {
        self.hops.before_event(&mut event);
        let mut actions = std::mem::take(&mut self.actions);
        self.dispatcher
            .handle(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Answer { request, answer } => {
                self.hops.before_answer(request);
                if let Some(reply) = self.replies.swap_remove(&request) {
                    reply.try_send(answer).ok();
                }
            }
            Action::StartAttempt(attempt) => self.effects.start(attempt),
            Action::StopTasks { target, tasks } => self.effects.stop(target, tasks),
            Action::Claim { claim, team, key } => self.effects.claim(claim, team, key),
            Action::FindHome { claim, team, key } => self.effects.find_home(claim, &team, &key),
            Action::SendPeer {
                instance,
                mut message,
            } => {
                self.hops.before_send(&instance, &mut message);
                let not_sent = self.effects.send_peer(instance, message);
                self.follow_ups.extend(not_sent);
            }
        }
    }

    fn status(&self) -> DriverStatus {
        DriverStatus {
            dispatcher: self.dispatcher.status(),
            is_idle: self.dispatcher.is_idle() && self.replies.is_empty(),
        }
    }
}
