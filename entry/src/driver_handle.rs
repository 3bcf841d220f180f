//! The handle by which the other parts of the process send commands to the driver.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use almondhead_lib::event::Event;
use almondhead_lib::id::RequestId;
use almondhead_lib::id::SessionId;
use almondhead_lib::outcome::JobAnswer;
use almondhead_lib::outcome::NotRunReason;
use async_channel::Receiver;
use async_channel::Sender;
use async_channel::TrySendError;
use derive_more::Display;
use derive_more::Error;

use crate::driver::Command;
use crate::driver::DriverStatus;

/// Sends commands to the driver; clones share one bounded queue.
#[derive(Clone)]
pub(crate) struct DriverHandle {
    commands: Sender<Command>,
    next_request: Arc<AtomicU64>,
}

/// A caller's request that waits for its answer.
pub(crate) struct OpenRequest {
    request: RequestId,
    answer: Receiver<Arc<JobAnswer>>,
    driver: DriverHandle,
    is_answered: bool,
}

/// Why a request was not queued for the driver.
#[derive(Debug, Display, Error)]
pub(crate) enum DriverError {
    /// The queue of commands is full.
    #[display("hand a request to the dispatcher: its queue is full")]
    QueueFull,
    /// The driver has ended.
    #[display("hand a request to the dispatcher: it has ended")]
    Ended,
}

impl DriverHandle {
    /// Creates a handle and the driver's receiver, with a queue of at most `waiting_events` commands.
    pub(crate) fn new(waiting_events: usize) -> (Self, Receiver<Command>) {
        let (commands, receiver) = async_channel::bounded(waiting_events);
        let handle = DriverHandle {
            commands,
            next_request: Arc::new(AtomicU64::new(1)),
        };
        (handle, receiver)
    }

    /// Queues an event; waits while the queue is full.
    pub(crate) async fn send(&self, event: Event) {
        self.commands.send(Command::Event(event)).await.ok();
    }

    /// Queues an event unless the queue is full; returns whether it was queued.
    pub(crate) fn try_send(&self, event: Event) -> bool {
        self.commands.try_send(Command::Event(event)).is_ok()
    }

    /// Queues a caller's request without waiting.
    ///
    /// # Errors
    ///
    /// [`DriverError`] when the queue is full or the driver has ended.
    pub(crate) fn request(
        &self,
        event: impl FnOnce(RequestId) -> Event,
    ) -> Result<OpenRequest, DriverError> {
        let request = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        let (reply, answer) = async_channel::bounded(1);
        let command = Command::Request {
            request,
            event: event(request),
            reply,
        };
        match self.commands.try_send(command) {
            Ok(()) => Ok(OpenRequest {
                request,
                answer,
                driver: self.clone(),
                is_answered: false,
            }),
            Err(TrySendError::Full(_)) => Err(DriverError::QueueFull),
            Err(TrySendError::Closed(_)) => Err(DriverError::Ended),
        }
    }

    /// Opens a session; none when the driver has ended.
    pub(crate) async fn open_session(&self) -> Option<Result<SessionId, NotRunReason>> {
        let (reply, opened) = async_channel::bounded(1);
        let command = Command::OpenSession(reply);
        self.commands.send(command).await.ok()?;
        opened.recv().await.ok()
    }

    /// Reads the dispatcher's status; none when the driver has ended.
    pub(crate) async fn status(&self) -> Option<DriverStatus> {
        let (reply, status) = async_channel::bounded(1);
        self.commands.send(Command::Status(reply)).await.ok()?;
        status.recv().await.ok()
    }
}

impl OpenRequest {
    /// Waits for the answer; none when the driver has ended.
    pub(crate) async fn answer(&mut self) -> Option<Arc<JobAnswer>> {
        let answer = self.answer.recv().await.ok();
        self.is_answered = true;
        answer
    }
}

impl Drop for OpenRequest {
    /// Reports an unanswered request to the dispatcher as dropped.
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let request = self.request;
        let event = Event::RequestDropped { request };
        if self.driver.try_send(event.clone()) {
            return;
        }
        let driver = self.driver.clone();
        crate::executor::spawn(async move { driver.send(event).await });
    }
}
