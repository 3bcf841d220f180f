//! Tracing spans of the hops that begin and end with events and actions of the dispatcher.

use std::sync::Arc;

use almondhead_lib::event::Event;
use almondhead_lib::event::PeerIdentity;
use almondhead_lib::id::BatchId;
use almondhead_lib::id::Incarnation;
use almondhead_lib::id::JobAddress;
use almondhead_lib::id::RequestId;
use almondhead_lib::peer_message::ForwardedRequest;
use almondhead_lib::peer_message::PeerMessage;
use almondhead_lib::submission::Submission;
use almondhead_macros::value;
use indexmap::IndexMap;

use crate::spans::Hop;
use crate::spans::HopSpan;
use crate::spans::Spans;

/// Maximum number of open spans; beyond it one of them ends early.
const MAX_OPEN_SPANS: usize = 20_000;

/// Keeps a span open for each job at its home and for each message to a sibling until its answer.
pub(crate) struct HopTracker {
    own_incarnation: Incarnation,
    spans: Spans,
    open: IndexMap<OpenHop, OpenSpan>,
}

/// What ends an open span.
#[value]
#[derive(Hash)]
enum OpenHop {
    /// The answer to a caller's request.
    Request(RequestId),
    /// The answer to a request that a sibling forwarded.
    SiblingRequest {
        instance: Arc<str>,
        correlation: u64,
    },
    /// A sibling's answer to a request forwarded to it.
    Forward { correlation: u64 },
    /// A sibling's answers to a batch of tasks.
    Batch { instance: Arc<str>, batch: BatchId },
}

/// A span with the number of its tasks that have not ended.
struct OpenSpan {
    _span: HopSpan,
    open_tasks: usize,
}

impl HopTracker {
    pub(crate) fn new(own_incarnation: Incarnation, spans: Spans) -> Self {
        HopTracker {
            own_incarnation,
            spans,
            open: IndexMap::new(),
        }
    }

    /// Begins and ends spans for an event; sets the span as parent of the event's job.
    pub(crate) fn before_event(&mut self, event: &mut Event) {
        if !self.spans.is_recording() {
            return;
        }
        match event {
            Event::Submitted {
                request,
                address,
                submission,
            } if self.is_home(address) => {
                let hop = OpenHop::Request(*request);
                self.begin_submission(hop, Hop::Home, submission);
            }
            Event::RequestDropped { request } => self.end(&OpenHop::Request(*request)),
            Event::PeerMessage { sender, message } => self.before_message(sender, message),
            Event::PeerNotSent { instance, message } => self.end_not_sent(instance, message),
            _ => {}
        }
    }

    fn before_message(&mut self, sender: &PeerIdentity, message: &mut PeerMessage) {
        let instance = Arc::clone(&sender.instance);
        if let Some((correlation, submission)) = forwarded_submission(message) {
            let hop = OpenHop::SiblingRequest {
                instance,
                correlation,
            };
            return self.begin_submission(hop, Hop::Home, submission);
        }
        match message {
            PeerMessage::RequestAnswer { correlation, .. }
            | PeerMessage::HomeGone { correlation } => {
                let correlation = *correlation;
                self.end(&OpenHop::Forward { correlation });
            }
            PeerMessage::BatchAnswer { batch, ends, .. } => {
                let batch = *batch;
                self.end_tasks(&OpenHop::Batch { instance, batch }, ends.len());
            }
            PeerMessage::BatchRefused { batch, .. } => {
                let batch = *batch;
                self.end(&OpenHop::Batch { instance, batch });
            }
            _ => {}
        }
    }

    /// Ends the span of a caller's request that is about to be answered.
    pub(crate) fn before_answer(&mut self, request: RequestId) {
        if self.spans.is_recording() {
            self.end(&OpenHop::Request(request));
        }
    }

    /// Begins and ends spans for an outgoing message; sets the span as parent of its tasks.
    pub(crate) fn before_send(&mut self, instance: &Arc<str>, message: &mut PeerMessage) {
        if !self.spans.is_recording() {
            return;
        }
        if let Some((correlation, submission)) = forwarded_submission(message) {
            let hop = OpenHop::Forward { correlation };
            return self.begin_submission(hop, Hop::Forward, submission);
        }
        match message {
            PeerMessage::RequestAnswer { correlation, .. } => {
                let correlation = *correlation;
                let instance = Arc::clone(instance);
                self.end(&OpenHop::SiblingRequest {
                    instance,
                    correlation,
                });
            }
            PeerMessage::TaskBatch(batch) => {
                let hop = OpenHop::Batch {
                    instance: Arc::clone(instance),
                    batch: batch.batch,
                };
                let span = self.spans.start(Hop::Forward, batch.traceparent.as_deref());
                batch.traceparent = span.traceparent();
                self.begin(hop, span, batch.tasks.len());
            }
            _ => {}
        }
    }

    fn end_not_sent(&mut self, instance: &Arc<str>, message: &PeerMessage) {
        match message {
            PeerMessage::ForwardRequest { correlation, .. } => {
                let correlation = *correlation;
                self.end(&OpenHop::Forward { correlation });
            }
            PeerMessage::TaskBatch(batch) => {
                let instance = Arc::clone(instance);
                let batch = batch.batch;
                self.end(&OpenHop::Batch { instance, batch });
            }
            _ => {}
        }
    }

    fn is_home(&self, address: &JobAddress) -> bool {
        match address {
            JobAddress::Session { session, .. } => session.home == self.own_incarnation,
            JobAddress::Key { .. } | JobAddress::Single => true,
        }
    }

    fn begin_submission(&mut self, open_hop: OpenHop, hop: Hop, submission: &mut Arc<Submission>) {
        let span = self.spans.start(hop, submission.traceparent.as_deref());
        Arc::make_mut(submission).traceparent = span.traceparent();
        self.begin(open_hop, span, 1);
    }

    fn begin(&mut self, open_hop: OpenHop, span: HopSpan, open_tasks: usize) {
        if self.open.len() >= MAX_OPEN_SPANS {
            self.open.swap_remove_index(0);
        }
        let span = OpenSpan {
            _span: span,
            open_tasks,
        };
        self.open.insert(open_hop, span);
    }

    fn end_tasks(&mut self, open_hop: &OpenHop, ended_tasks: usize) {
        let Some(span) = self.open.get_mut(open_hop) else {
            return;
        };
        span.open_tasks = span.open_tasks.saturating_sub(ended_tasks);
        if span.open_tasks == 0 {
            self.end(open_hop);
        }
    }

    fn end(&mut self, open_hop: &OpenHop) {
        self.open.swap_remove(open_hop);
    }
}

/// Returns the correlation number and the submission of a forwarded job.
fn forwarded_submission(message: &mut PeerMessage) -> Option<(u64, &mut Arc<Submission>)> {
    match message {
        PeerMessage::ForwardRequest {
            correlation,
            request: ForwardedRequest::Submit(submission),
            ..
        } => Some((*correlation, submission)),
        _ => None,
    }
}
