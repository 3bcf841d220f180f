//! Requests about jobs whose home is another instance: forwarding callers' requests and answering
//! those that siblings forward.

use std::sync::Arc;
use std::time::Duration;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::Timer;
use crate::event::PeerIdentity;
use crate::forward_table::Forward;
use crate::id::Incarnation;
use crate::id::JobAddress;
use crate::job::Waiter;
use crate::keys::SiblingKey;
use crate::outcome::FailReason;
use crate::outcome::JobAnswer;
use crate::peer_message::ForwardedRequest;
use crate::peer_message::PeerMessage;
use crate::submitting::DEFAULT_RETRY_AFTER;

/// How often the contact with a home is checked while a forwarded request is unanswered.
const FORWARD_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The time without a message from a home after which it is reported to callers as unreachable.
const HOME_TIMEOUT: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Forwards a request to its job's home, or fails it if the home has ended or is unknown.
    pub(crate) fn forward(
        &mut self,
        waiter: Waiter,
        instance: Arc<str>,
        home: Incarnation,
        address: &JobAddress,
        request: ForwardedRequest,
    ) {
        let replaced = instance == self.config.instance;
        if replaced || self.siblings.has_ended(home) {
            return self.answer_failed(waiter, FailReason::HomeGone, None);
        }
        if matches!(waiter, Waiter::Sibling { .. }) || self.siblings.by_name(&instance).is_none() {
            let retry_after = Some(DEFAULT_RETRY_AFTER);
            return self.answer_failed(waiter, FailReason::HomeUnreachable, retry_after);
        }
        let forward = Forward {
            waiter,
            instance: instance.clone(),
            home,
            sent_at: self.now,
        };
        let correlation = self.forwards.insert(forward);
        let check_at = self.now + FORWARD_CHECK_INTERVAL;
        self.timers
            .subscribe(check_at, Timer::ForwardCheck(correlation));
        let message = PeerMessage::ForwardRequest {
            correlation,
            home,
            address: address.clone(),
            request,
        };
        self.send_peer(instance, message);
    }

    /// Checks that messages still arrive from the home of an unanswered request.
    ///
    /// Asks the home for its document, which any reachable instance answers.
    pub(crate) fn check_forward(&mut self, correlation: u64) {
        let Some(forward) = self.forwards.get(correlation) else {
            return;
        };
        let instance = forward.instance.clone();
        let sibling = self.siblings.by_name(&instance);
        let last_contact_at = sibling.and_then(|key| self.siblings.get(key)?.last_contact_at);
        let waiting_since = last_contact_at.unwrap_or_default().max(forward.sent_at);
        if self.now.since(waiting_since) >= HOME_TIMEOUT {
            self.fail_forward(correlation, FailReason::HomeUnreachable);
            return;
        }
        let check_at = self.now + FORWARD_CHECK_INTERVAL;
        self.timers
            .subscribe(check_at, Timer::ForwardCheck(correlation));
        let have_revision = self.site.revision;
        self.send_peer(instance, PeerMessage::DocumentRequest { have_revision });
    }

    /// Answers the waiter of a forwarded request with a failure in place of the home's answer.
    pub(crate) fn fail_forward(&mut self, correlation: u64, reason: FailReason) {
        let Some(forward) = self.forwards.remove(correlation) else {
            return;
        };
        let retry_after = (reason == FailReason::HomeUnreachable).then_some(DEFAULT_RETRY_AFTER);
        self.answer_failed(forward.waiter, reason, retry_after);
    }

    /// Fails the requests forwarded to earlier incarnations of a sibling that restarted.
    pub(crate) fn fail_forwards_of(&mut self, instance: &str, current: Incarnation) {
        for forward in self.forwards.remove_stale(instance, current) {
            self.answer_failed(forward.waiter, FailReason::HomeGone, None);
        }
    }

    /// Handles a request that a sibling forwarded.
    pub(crate) fn handle_forward(
        &mut self,
        sender: &PeerIdentity,
        sibling: SiblingKey,
        correlation: u64,
        home: Incarnation,
        address: &JobAddress,
        request: &ForwardedRequest,
    ) {
        let instance = sender.instance.clone();
        if home != self.config.incarnation {
            let message = PeerMessage::HomeGone { correlation };
            return self.send_peer(instance, message);
        }
        let state = self.siblings.get_mut(sibling);
        if !state.is_some_and(|state| state.record_request(correlation)) {
            return;
        }
        let waiter = Waiter::Sibling {
            instance,
            correlation,
        };
        match request {
            ForwardedRequest::Submit(submission) => self.submit(waiter, address, submission),
            ForwardedRequest::LookUp => self.look_up(waiter, address),
            ForwardedRequest::Cancel => self.cancel(waiter, address),
        }
    }

    /// Passes a home's answer on to the waiter.
    pub(crate) fn handle_forward_answer(&mut self, correlation: u64, answer: JobAnswer) {
        if let Some(forward) = self.forwards.remove(correlation) {
            self.answer(forward.waiter, Arc::new(answer));
        }
    }

    /// Sends the answer to a request that a sibling forwarded.
    pub(crate) fn answer_sibling(
        &mut self,
        instance: Arc<str>,
        correlation: u64,
        answer: &JobAnswer,
    ) {
        let message = PeerMessage::RequestAnswer {
            correlation,
            answer: answer.clone(),
        };
        self.send_peer(instance, message);
    }
}
