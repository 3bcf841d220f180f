//! The handle by which the other parts of the process send commands to the driver of leased runs.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use almondhead_lib::id::RequestId;
use almondhead_lib::runs::event::RunEvent;
use almondhead_lib::runs::run_answer::RunAnswer;
use async_channel::Receiver;
use async_channel::Sender;

use crate::run_driver::RunCommand;
use crate::run_driver::RunDriverStatus;

/// Sends commands to the driver; clones share one queue.
///
/// The queue is unbounded: the listener limits open requests, and the dispatcher open orders.
#[derive(Clone)]
pub(crate) struct RunHandle {
    commands: Sender<RunCommand>,
    next_request: Arc<AtomicU64>,
}

/// A caller's request that waits for its answer.
pub(crate) struct OpenRunRequest {
    request: RequestId,
    answer: Receiver<RunAnswer>,
    handle: RunHandle,
    is_answered: bool,
}

impl RunHandle {
    /// Creates a handle and the driver's receiver.
    pub(crate) fn new() -> (Self, Receiver<RunCommand>) {
        let (commands, receiver) = async_channel::unbounded();
        let handle = RunHandle {
            commands,
            next_request: Arc::new(AtomicU64::new(1)),
        };
        (handle, receiver)
    }

    /// Queues an event.
    pub(crate) fn send(&self, event: RunEvent) {
        // Fails only when the driver has ended, which happens at the end of the process.
        self.commands.try_send(RunCommand::Event(event)).ok();
    }

    /// Queues a caller's request.
    pub(crate) fn request(&self, event: impl FnOnce(RequestId) -> RunEvent) -> OpenRunRequest {
        let request = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        let (reply, answer) = async_channel::bounded(1);
        let command = RunCommand::Request {
            request,
            event: event(request),
            reply,
        };
        // Fails when the driver has ended: then the channel is closed and the request unanswered.
        self.commands.try_send(command).ok();
        OpenRunRequest {
            request,
            answer,
            handle: self.clone(),
            is_answered: false,
        }
    }

    /// Reads the dispatcher's status; none when the driver has ended.
    pub(crate) async fn status(&self) -> Option<RunDriverStatus> {
        let (reply, status) = async_channel::bounded(1);
        self.commands.send(RunCommand::Status(reply)).await.ok()?;
        status.recv().await.ok()
    }
}

impl OpenRunRequest {
    /// Waits for the answer; none when the driver has ended.
    pub(crate) async fn answer(&mut self) -> Option<RunAnswer> {
        let answer = self.answer.recv().await.ok();
        self.is_answered = true;
        answer
    }
}

impl Drop for OpenRunRequest {
    /// Reports an unanswered request to the dispatcher as dropped.
    fn drop(&mut self) {
        if !self.is_answered {
            let request = self.request;
            self.handle.send(RunEvent::RequestDropped { request });
        }
    }
}
