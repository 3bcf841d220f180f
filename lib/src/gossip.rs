//! What siblings exchange periodically: load digests and the newest document.
//!
//! Also installs documents, applies the membership and assigns the upstreams to instances.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::check::check_document;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::Timer;
use crate::document::Document;
use crate::event::PeerIdentity;
use crate::job::Job;
use crate::job::JobStage;
use crate::keys::JobKey;
use crate::keys::ServiceKey;
use crate::keys::SiblingKey;
use crate::keys::UpstreamKey;
use crate::membership::Membership;
use crate::outcome::FailReason;
use crate::ownership::OwnedUpstream;
use crate::ownership::assign_owners;
use crate::peer_message::LoadDigest;
use crate::peer_message::PeerMessage;
use crate::peer_message::ServiceLoad;
use crate::policies::PlacementPolicy;
use crate::policies::Prefer;
use crate::policies::QueuePolicy;

/// The number of nearest siblings to which this entry instance sends its digests.
const MAX_DIGEST_RECIPIENTS: usize = 8;

/// The maximum interval between digests, which are sent even if nothing has changed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Handles a message from another entry instance; messages from unknown ones are dropped.
    pub(crate) fn handle_peer_message(&mut self, sender: &PeerIdentity, message: PeerMessage) {
        let Some(sibling) = self.siblings.by_name(&sender.instance) else {
            return;
        };
        let incarnation = sender.incarnation;
        if self.siblings.record_message(sibling, self.now, incarnation) {
            self.fail_batches_of(sibling);
            self.fail_forwards_of(&sender.instance, incarnation);
        }
        match message {
            PeerMessage::ForwardRequest {
                correlation,
                home,
                address,
                request,
            } => self.handle_forward(sender, sibling, correlation, home, &address, &request),
            PeerMessage::RequestAnswer {
                correlation,
                answer,
            } => self.handle_forward_answer(correlation, answer),
            PeerMessage::HomeGone { correlation } => {
                self.fail_forward(correlation, FailReason::HomeGone);
            }
            PeerMessage::TaskBatch(batch) => self.handle_batch(sender, sibling, batch),
            PeerMessage::BatchAnswer {
                batch,
                ends,
                digest,
            } => self.handle_batch_answer(sibling, batch, ends, digest),
            PeerMessage::BatchRefused { batch, digest } => {
                self.handle_digest(sibling, digest);
                self.requeue_batch(sibling, batch);
            }
            PeerMessage::CancelBatches { batches } => self.cancel_batches(sender, &batches),
            PeerMessage::Digest(digest) => self.handle_digest(sibling, digest),
            PeerMessage::DocumentRequest { have_revision } => {
                self.send_document(sender, have_revision);
            }
            PeerMessage::DocumentBody { revision, text } => {
                self.handle_document(revision, &text);
            }
            // Messages about leased runs go to a separate dispatcher.
            PeerMessage::Run(_) => {}
        }
    }

    /// Records a sibling's load, and requests its document if that is newer.
    pub(crate) fn handle_digest(&mut self, sibling: SiblingKey, digest: LoadDigest) {
        let newer = digest.revision > self.site.revision;
        let Some(state) = self.siblings.get_mut(sibling) else {
            return;
        };
        state.digest = digest;
        let instance = state.listed.name.clone();
        if newer {
            let have_revision = self.site.revision;
            self.send_peer(instance, PeerMessage::DocumentRequest { have_revision });
        }
        let services: Vec<ServiceKey> = self.site.services.keys().collect();
        for service in services {
            self.mark_dirty(service);
        }
    }

    fn send_document(&mut self, sender: &PeerIdentity, have_revision: u64) {
        let message = if self.site.revision > have_revision {
            PeerMessage::DocumentBody {
                revision: self.site.revision,
                text: self.site.text.clone(),
            }
        } else {
            PeerMessage::Digest(self.digest())
        };
        self.send_peer(sender.instance.clone(), message);
    }

    fn handle_document(&mut self, revision: u64, text: &Bytes) {
        let Ok(readable) = std::str::from_utf8(text) else {
            return;
        };
        if let Ok(document) = check_document(readable) {
            self.install(revision, Arc::new(document), text.clone());
        }
    }

    /// Installs a document if its revision is higher than the installed one.
    pub(crate) fn install(&mut self, revision: u64, document: Arc<Document>, text: Bytes) {
        if revision <= self.site.revision {
            return;
        }
        let first = !self.site.has_document();
        let instances = self.siblings.len() + 1;
        let seed = self.config.seed;
        let order = document.policies.queue;
        let reordered = !first && order != self.site.policies().queue;
        self.site.install(revision, document, text, instances, seed);
        if reordered {
            self.reorder_queues(order);
        }
        self.apply_membership(self.membership.clone());
        if first {
            self.on_digest_timer();
        }
    }

    /// Rebuilds the queues of all services in another order.
    fn reorder_queues(&mut self, order: QueuePolicy) {
        for service in self.site.services.values_mut() {
            service.reset_queue(order);
        }
        let waiting = |job: &Job| job.stage == JobStage::Open && !job.waiting.is_empty();
        let jobs = self.jobs.iter().filter(|(_, job)| waiting(job));
        let jobs: Vec<JobKey> = jobs.map(|(key, _)| key).collect();
        for job in jobs {
            self.enqueue(job);
        }
    }

    /// Applies a new list of live and leaving instances.
    pub(crate) fn apply_membership(&mut self, membership: Membership) {
        let site = &self.site;
        let here = self.config.data_centre.clone();
        let one_way_delay = |there: &str| site.one_way_delay(&here, there);
        let ended = self.siblings.update(&membership, one_way_delay);
        for sibling in ended {
            self.fail_batches_of(sibling);
        }
        let leaving = &membership.leaving_upstreams;
        for upstream in self.site.upstreams.values_mut() {
            upstream.listed_leaving = leaving.contains(&upstream.name);
        }
        self.membership = membership;
        self.assign_upstreams();
    }

    /// Assigns to this entry instance the upstreams to which it sends tasks.
    pub(crate) fn assign_upstreams(&mut self) {
        let shared = self.site.policies().placement == PlacementPolicy::Shared;
        for upstream in self.site.upstreams.values_mut() {
            upstream.assigned = shared;
        }
        if !shared {
            for key in self.owned_upstreams() {
                self.site.upstreams[key].assigned = true;
            }
        }
        let services: Vec<ServiceKey> = self.site.services.keys().collect();
        for service in services {
            self.mark_dirty(service);
        }
    }

    fn owned_upstreams(&self) -> Vec<UpstreamKey> {
        let mut owned = Vec::new();
        for service in self.site.services.values() {
            for data_centre in &self.site.document.data_centres {
                let keys = service.upstreams.iter().copied();
                let in_data_centre =
                    |key: &UpstreamKey| *self.site.upstreams[*key].data_centre == *data_centre.name;
                let keys: Vec<UpstreamKey> = keys.filter(in_data_centre).collect();
                owned.extend(self.owned_of(&data_centre.name, &keys));
            }
        }
        owned
    }

    /// Selects those upstreams that this entry instance owns.
    ///
    /// `keys` are a data centre's upstreams of one service. All instances share them when the data
    /// centre has no live instance.
    fn owned_of(&self, data_centre: &str, keys: &[UpstreamKey]) -> Vec<UpstreamKey> {
        let mut instances = self.instances_in(data_centre);
        if instances.is_empty() {
            instances = self.all_instances();
        }
        let upstreams: Vec<OwnedUpstream<'_>> = keys
            .iter()
            .map(|key| &self.site.upstreams[*key])
            .map(|upstream| OwnedUpstream {
                name: &upstream.name,
                slots: upstream.slots,
            })
            .collect();
        let owners = assign_owners(&upstreams, &instances);
        let is_own = |owner: &usize| *instances[*owner] == *self.config.instance;
        let owned = keys.iter().zip(&owners).filter(|(_, owner)| is_own(owner));
        owned.map(|(key, _)| *key).collect()
    }

    fn instances_in(&self, data_centre: &str) -> Vec<&str> {
        let siblings = self.siblings.iter().map(|(_, sibling)| &sibling.listed);
        let live = siblings.filter(|s| !s.leaving && *s.data_centre == *data_centre);
        let mut names: Vec<&str> = live.map(|sibling| &*sibling.name).collect();
        if *self.config.data_centre == *data_centre {
            names.push(&self.config.instance);
        }
        names.sort_unstable();
        names
    }

    fn all_instances(&self) -> Vec<&str> {
        let siblings = self.siblings.iter().map(|(_, sibling)| &sibling.listed);
        let live = siblings.filter(|sibling| !sibling.leaving);
        let mut names: Vec<&str> = live.map(|sibling| &*sibling.name).collect();
        names.push(&self.config.instance);
        names.sort_unstable();
        names
    }

    /// The current digest of this entry instance: its revision, its load and whether it is leaving.
    pub(crate) fn digest(&self) -> LoadDigest {
        let services = self.site.services.iter();
        let present = services.filter(|(_, service)| service.present);
        LoadDigest {
            revision: self.site.revision,
            leaving: self.leaving,
            services: present.map(|(key, _)| self.service_load(key)).collect(),
        }
    }

    /// The load of one service at this entry instance.
    pub(crate) fn service_load(&self, key: ServiceKey) -> ServiceLoad {
        let unix_ms = self.unix_now_ms();
        let service = &self.site.services[key];
        let upstreams = service
            .upstreams
            .iter()
            .map(|key| &self.site.upstreams[*key]);
        let used = upstreams.filter(|upstream| upstream.is_usable(self.now, unix_ms));
        let mut slots = 0;
        let mut free_slots = 0;
        for upstream in used {
            slots += upstream.effective_slots;
            if upstream.has_capacity(self.now, unix_ms) {
                free_slots += upstream.effective_slots - upstream.in_flight;
            }
        }
        ServiceLoad {
            service: service.name.clone(),
            free_slots: free_slots.saturating_sub(service.queued_tasks),
            slots,
            queued_tasks: service.queued_tasks.saturating_sub(free_slots),
        }
    }

    /// Sends a digest if it has changed or a heartbeat is due, and schedules the next check.
    pub(crate) fn on_digest_timer(&mut self) {
        let period = self.site.policies().digest_period_ms;
        let next_at = self.now + Duration::from_millis(period.into());
        self.timers.subscribe(next_at, Timer::Digest);
        self.site.update_effective_slots();
        self.idempotency_keys.expire(self.now);
        let is_heartbeat_due = self.now.since(self.last_digest_at) >= HEARTBEAT_INTERVAL;
        if is_heartbeat_due || self.has_digest_changed() {
            self.send_digests();
        }
    }

    /// Whether the digest has changed enough since the last one to affect siblings' decisions.
    fn has_digest_changed(&self) -> bool {
        let digest = self.digest();
        let last = &self.last_digest;
        if digest.revision != last.revision || digest.leaving != last.leaving {
            return true;
        }
        let eager = self.site.policies().prefer == Prefer::ResponseTime;
        let free_shares = digest.services.iter().map(ServiceLoad::free_share);
        eager && free_shares.ne(last.services.iter().map(ServiceLoad::free_share))
    }

    /// Sends a digest to the nearest siblings.
    pub(crate) fn send_digests(&mut self) {
        let digest = self.digest();
        self.last_digest = digest.clone();
        self.last_digest_at = self.now;
        for key in self.siblings.nearest(MAX_DIGEST_RECIPIENTS) {
            let Some(sibling) = self.siblings.get(key) else {
                continue;
            };
            let instance = sibling.listed.name.clone();
            self.send_peer(instance, PeerMessage::Digest(digest.clone()));
        }
    }
}
