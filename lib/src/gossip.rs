//! What siblings tell each other unasked: load, and the newest document.

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

/// The most siblings that get this entry instance's digests.
const DIGEST_SIBLINGS: usize = 8;

/// The longest time between digests, whether or not anything changed.
const HEARTBEAT: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Takes a message of another entry instance.
    pub(crate) fn take_peer_message(&mut self, sender: &PeerIdentity, message: PeerMessage) {
        let Some(sibling) = self.siblings.by_name(&sender.instance) else {
            return;
        };
        let incarnation = sender.incarnation;
        if self.siblings.record_message(sibling, self.now, incarnation) {
            self.lose_batches(sibling);
            self.fail_forwards_of(&sender.instance, incarnation);
        }
        match message {
            PeerMessage::ForwardRequest {
                correlation,
                home,
                address,
                request,
            } => self.take_forward(sender, sibling, correlation, home, &address, &request),
            PeerMessage::RequestAnswer {
                correlation,
                answer,
            } => self.take_forward_answer(correlation, answer),
            PeerMessage::HomeGone { correlation } => {
                self.fail_forward(correlation, FailReason::HomeGone);
            }
            PeerMessage::TaskBatch(batch) => self.take_batch(sender, sibling, batch),
            PeerMessage::BatchAnswer {
                batch,
                ends,
                digest,
            } => self.take_batch_answer(sibling, batch, ends, digest),
            PeerMessage::BatchRefused { batch, digest } => {
                self.take_digest(sibling, digest);
                self.take_batch_back(sibling, batch);
            }
            PeerMessage::CancelBatches { batches } => self.cancel_batches(sender, &batches),
            PeerMessage::Digest(digest) => self.take_digest(sibling, digest),
            PeerMessage::DocumentRequest { have_revision } => {
                self.send_document(sender, have_revision);
            }
            PeerMessage::DocumentBody { revision, text } => {
                self.take_document(revision, &text);
            }
            // Leased runs have a dispatcher of their own.
            PeerMessage::Run(_) => {}
        }
    }

    /// Takes a sibling's load, and asks for its document when that is newer.
    pub(crate) fn take_digest(&mut self, sibling: SiblingKey, digest: LoadDigest) {
        let newer = digest.revision > self.plan.revision;
        let Some(state) = self.siblings.get_mut(sibling) else {
            return;
        };
        state.digest = digest;
        let instance = state.listed.name.clone();
        if newer {
            let have_revision = self.plan.revision;
            self.send_peer(instance, PeerMessage::DocumentRequest { have_revision });
        }
        let services: Vec<ServiceKey> = self.plan.services.keys().collect();
        for service in services {
            self.mark_dirty(service);
        }
    }

    fn send_document(&mut self, sender: &PeerIdentity, have_revision: u64) {
        let message = if self.plan.revision > have_revision {
            PeerMessage::DocumentBody {
                revision: self.plan.revision,
                text: self.plan.text.clone(),
            }
        } else {
            PeerMessage::Digest(self.digest())
        };
        self.send_peer(sender.instance.clone(), message);
    }

    fn take_document(&mut self, revision: u64, text: &Bytes) {
        let Ok(readable) = std::str::from_utf8(text) else {
            return;
        };
        if let Ok(document) = check_document(readable) {
            self.install(revision, Arc::new(document), text.clone());
        }
    }

    /// Puts a document in force when its revision is higher than the installed one.
    pub(crate) fn install(&mut self, revision: u64, document: Arc<Document>, text: Bytes) {
        if revision <= self.plan.revision {
            return;
        }
        let first = !self.plan.is_installed();
        let instances = self.siblings.len() + 1;
        let seed = self.config.seed;
        let order = document.policies.queue;
        let reordered = !first && order != self.plan.policies().queue;
        self.plan.install(revision, document, text, instances, seed);
        if reordered {
            self.reorder_queues(order);
        }
        self.change_membership(self.membership.clone());
        if first {
            self.digest_due();
        }
    }

    /// Puts every waiting job in its queue anew, under another order.
    fn reorder_queues(&mut self, order: QueuePolicy) {
        for service in self.plan.services.values_mut() {
            service.reset_queue(order);
        }
        let waiting = |job: &Job| job.stage == JobStage::Open && !job.waiting.is_empty();
        let jobs = self.jobs.iter().filter(|(_, job)| waiting(job));
        let jobs: Vec<JobKey> = jobs.map(|(key, _)| key).collect();
        for job in jobs {
            self.enqueue(job);
        }
    }

    /// Takes over what is known of live and leaving instances.
    pub(crate) fn change_membership(&mut self, membership: Membership) {
        let plan = &self.plan;
        let here = self.config.data_centre.clone();
        let one_way = |there: &str| plan.one_way(&here, there);
        let gone = self.siblings.update(&membership, one_way);
        for sibling in gone {
            self.lose_batches(sibling);
        }
        let leaving = &membership.leaving_upstreams;
        for upstream in self.plan.upstreams.values_mut() {
            upstream.listed_leaving = leaving.contains(&upstream.name);
        }
        self.membership = membership;
        self.assign_upstreams();
    }

    /// Decides which upstreams this entry instance sends tasks to.
    pub(crate) fn assign_upstreams(&mut self) {
        let shared = self.plan.policies().placement == PlacementPolicy::Shared;
        for upstream in self.plan.upstreams.values_mut() {
            upstream.ours = shared;
        }
        if !shared {
            for key in self.owned_upstreams() {
                self.plan.upstreams[key].ours = true;
            }
        }
        let services: Vec<ServiceKey> = self.plan.services.keys().collect();
        for service in services {
            self.mark_dirty(service);
        }
    }

    fn owned_upstreams(&self) -> Vec<UpstreamKey> {
        let mut owned = Vec::new();
        for service in self.plan.services.values() {
            for data_centre in &self.plan.document.data_centres {
                let keys = service.upstreams.iter().copied();
                let in_place =
                    |key: &UpstreamKey| *self.plan.upstreams[*key].data_centre == *data_centre.name;
                let keys: Vec<UpstreamKey> = keys.filter(in_place).collect();
                owned.extend(self.owned_of(&data_centre.name, &keys));
            }
        }
        owned
    }

    /// Which of a data centre's upstreams of one service this entry instance owns.
    fn owned_of(&self, data_centre: &str, keys: &[UpstreamKey]) -> Vec<UpstreamKey> {
        let mut instances = self.instances_of(data_centre);
        if instances.is_empty() {
            instances = self.all_instances();
        }
        let upstreams: Vec<OwnedUpstream<'_>> = keys
            .iter()
            .map(|key| &self.plan.upstreams[*key])
            .map(|upstream| OwnedUpstream {
                name: &upstream.name,
                slots: upstream.slots,
            })
            .collect();
        let owners = assign_owners(&upstreams, &instances);
        let mine = |owner: &usize| *instances[*owner] == *self.config.instance;
        let owned = keys.iter().zip(&owners).filter(|(_, owner)| mine(owner));
        owned.map(|(key, _)| *key).collect()
    }

    fn instances_of(&self, data_centre: &str) -> Vec<&str> {
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

    /// What this entry instance tells of itself.
    pub(crate) fn digest(&self) -> LoadDigest {
        let services = self.plan.services.iter();
        let present = services.filter(|(_, service)| service.present);
        LoadDigest {
            revision: self.plan.revision,
            leaving: self.leaving,
            services: present.map(|(key, _)| self.service_load(key)).collect(),
        }
    }

    /// The load of one service here.
    pub(crate) fn service_load(&self, key: ServiceKey) -> ServiceLoad {
        let unix_ms = self.unix_now_ms();
        let service = &self.plan.services[key];
        let upstreams = service
            .upstreams
            .iter()
            .map(|key| &self.plan.upstreams[*key]);
        let used = upstreams.filter(|upstream| upstream.runs_tasks(self.now, unix_ms));
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

    /// Sends a digest when something changed or a heartbeat is due.
    pub(crate) fn digest_due(&mut self) {
        let period = self.plan.policies().digest_period_ms;
        let next_at = self.now + Duration::from_millis(period.into());
        self.timers.subscribe(next_at, Timer::Digest);
        self.plan.weigh_slow();
        self.keys.expire(self.now);
        let beat = self.now.since(self.last_digest_at) >= HEARTBEAT;
        if beat || self.has_news() {
            self.send_digests();
        }
    }

    /// Whether siblings would decide otherwise if they knew what has changed.
    fn has_news(&self) -> bool {
        let digest = self.digest();
        let told = &self.last_digest;
        if digest.revision != told.revision || digest.leaving != told.leaving {
            return true;
        }
        let eager = self.plan.policies().prefer == Prefer::ResponseTime;
        let rooms = digest.services.iter().map(ServiceLoad::free_share);
        eager && rooms.ne(told.services.iter().map(ServiceLoad::free_share))
    }

    /// Sends a digest to the nearest siblings.
    pub(crate) fn send_digests(&mut self) {
        let digest = self.digest();
        self.last_digest = digest.clone();
        self.last_digest_at = self.now;
        for key in self.siblings.nearest(DIGEST_SIBLINGS) {
            let Some(sibling) = self.siblings.get(key) else {
                continue;
            };
            let instance = sibling.listed.name.clone();
            self.send_peer(instance, PeerMessage::Digest(digest.clone()));
        }
    }
}
