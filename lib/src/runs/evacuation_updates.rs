//! What the dispatcher does about evacuated data centres: learns the set, passes it on, and counts none of
//! their upstreams as capacity.

use indexmap::IndexSet;

use super::evacuation::EvacuatedDataCentres;
use super::evacuation::Installed;
use super::home_answers::RETRY_AFTER_OVERLOAD;
use super::job_spec::JobSpec;
use super::job_spec::StepSpec;
use super::owner_choice::OwnerView;
use super::peer_table::Peer;
use super::requesting::not_run;
use super::run_answer::NotRun;
use super::run_answer::RunAnswer;
use super::run_digest::name_hash;
use super::run_dispatcher::RunDispatcher;
use super::run_id::PeerKey;
use super::run_message::RunMessage;

impl RunDispatcher {
    /// Puts a set of evacuated data centres in force if it is newer.
    pub(crate) fn install_evacuation(&mut self, set: EvacuatedDataCentres) {
        let before = self.evacuation.version();
        let installed = self.evacuation.install(set);
        if installed == Installed::Ignored {
            return;
        }
        // Without a set, nothing may have been started because other instances had one.
        self.home.mark_dirty();
        self.owner.mark_dirty();
        if installed == Installed::Confirmed {
            return;
        }
        let set = self.evacuation.in_force();
        let data_centres = set.names.join(" ");
        tracing::warn!(version = set.version, before, %data_centres, "evacuated data centres changed");
        self.owner.set_evacuated(set.clone());
        self.send_reports();
    }

    /// Requests the set of a peer if it has a newer one.
    pub(crate) fn request_newer_evacuation(&mut self, peer: PeerKey, version: u64) {
        if self.evacuation.begin_request(self.now, version) {
            let have_version = self.evacuation.version();
            self.send(peer, RunMessage::EvacuationRequest { have_version });
        }
    }

    /// Sends the set in force to a peer that has an older one.
    pub(crate) fn send_evacuation(&mut self, peer: PeerKey, have_version: u64) {
        let set = self.evacuation.in_force();
        if set.version > have_version {
            let message = RunMessage::Evacuations(set.clone());
            self.send(peer, message);
        }
    }

    /// Whether another instance has a set that this one, which has none yet, must wait for: a start here
    /// could be in an evacuated data centre.
    pub(crate) fn awaits_evacuation(&self) -> bool {
        let mut peers = self.peers.peers.values();
        self.evacuation.version() == 0
            && peers.any(|peer| peer.digest.evacuation_version > 0 && peer.is_reachable(self.now))
    }

    /// Whether the load of a peer may count upstreams of its own data centre that are evacuated.
    pub(crate) fn is_load_outdated(&self, peer: &Peer) -> bool {
        self.evacuation.contains(&peer.data_centre)
            && peer.digest.evacuation_version < self.evacuation.version()
    }

    /// Removes evacuated upstreams of a service from the free ones, for owners that do not know yet that
    /// they are evacuated.
    pub(crate) fn remove_evacuated(&self, service: &str, views: &mut [OwnerView]) {
        if self.evacuation.is_empty() {
            return;
        }
        let listed = self.listing.iter();
        let evacuated = listed.filter(|upstream| {
            &*upstream.service == service && self.evacuation.contains(&upstream.data_centre)
        });
        let evacuated: IndexSet<u32> = evacuated.map(|upstream| name_hash(&upstream.id)).collect();
        for view in views {
            let free = &mut view.free;
            free.retain(|upstream| !evacuated.contains(&upstream.name_hash));
        }
    }

    /// Refuses a job with a task that only upstreams in evacuated data centres could run.
    pub(crate) fn refuse_evacuated(&self, service: &str, spec: &JobSpec) -> Option<RunAnswer> {
        if self.evacuation.is_empty() || !self.listing.has_service(service) {
            return None;
        }
        let can_run = |step: &StepSpec| {
            let label = step.required_label.as_deref();
            self.listing.iter().any(|upstream| {
                &*upstream.service == service
                    && !self.evacuation.contains(&upstream.data_centre)
                    && step.resources.fits(upstream.capacity)
                    && label.is_none_or(|label| upstream.has_label(label))
            })
        };
        let can_run_all = spec.steps.iter().all(can_run);
        (!can_run_all).then(|| not_run(NotRun::NoUpstreamInReach, Some(RETRY_AFTER_OVERLOAD)))
    }
}
