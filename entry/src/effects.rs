//! Carries out the dispatcher's actions over the network.

use std::sync::Arc;

use almondhead_lib::action::Attempt;
use almondhead_lib::event::ClaimOutcome;
use almondhead_lib::event::Event;
use almondhead_lib::id::TaskId;
use almondhead_lib::peer_message::PeerMessage;
use almondhead_lib::target::UpstreamTarget;
use almondhead_net::Platform;

use crate::claim_queue::ClaimKey;
use crate::claim_queue::ClaimQueue;
use crate::claim_queue::ClaimRequest;
use crate::claim_queue::find_home;
use crate::driver_handle::DriverHandle;
use crate::executor;
use crate::metrics::Metrics;
use crate::peer::PeerTransport;
use crate::upstream_client::UpstreamClient;

/// The clients that carry out the dispatcher's actions; no method blocks the driver.
pub(crate) struct Effects {
    pub(crate) driver: DriverHandle,
    pub(crate) upstreams: Arc<UpstreamClient>,
    pub(crate) claims: ClaimQueue,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) peers: Arc<dyn PeerTransport>,
    pub(crate) metrics: Metrics,
}

impl Effects {
    /// Starts an attempt; its end is reported as an event.
    pub(crate) fn start(&self, attempt: Attempt) {
        let upstreams = Arc::clone(&self.upstreams);
        let driver = self.driver.clone();
        let metrics = self.metrics.clone();
        executor::spawn(async move {
            let end = upstreams.run(&attempt).await;
            metrics.count_attempt(&end);
            let attempt = attempt.attempt;
            driver.send(Event::AttemptEnded { attempt, end }).await;
        });
    }

    /// Asks an upstream to stop tasks; no event reports the result.
    pub(crate) fn stop(&self, target: Arc<UpstreamTarget>, tasks: Vec<TaskId>) {
        let upstreams = Arc::clone(&self.upstreams);
        executor::spawn(async move { upstreams.stop(&target, &tasks).await });
    }

    /// Queues a claim; its result is reported as an event, at once when the queue is full.
    pub(crate) fn claim(&self, claim: u64, team: Arc<str>, key: Arc<str>) {
        let key = ClaimKey::new(&team, &key);
        if self.claims.push(ClaimRequest { claim, key }) {
            return;
        }
        let driver = self.driver.clone();
        executor::spawn(async move {
            let end = ClaimOutcome::Unavailable;
            driver.send(Event::ClaimEnded { claim, end }).await;
        });
    }

    /// Reads which incarnation has claimed a key; reports it as the result of `claim`.
    pub(crate) fn find_home(&self, claim: u64, team: &str, key: &str) {
        let key = ClaimKey::new(team, key);
        let platform = Arc::clone(&self.platform);
        let driver = self.driver.clone();
        executor::spawn(async move {
            let end = find_home(platform.as_ref(), &key).await;
            driver.send(Event::ClaimEnded { claim, end }).await;
        });
    }

    /// Sends a message to another entry instance; returns an event when it was not sent.
    pub(crate) fn send_peer(&self, instance: Arc<str>, message: PeerMessage) -> Option<Event> {
        let error = self.peers.send(&instance, &message).err()?;
        tracing::debug!(%error, "peer message not sent");
        Some(Event::PeerNotSent { instance, message })
    }
}
