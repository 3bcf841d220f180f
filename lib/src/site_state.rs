//! The installed document and the state of its services, upstreams and teams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use slotmap::SlotMap;

use crate::document::Document;
use crate::ejection_gate::EjectionGate;
use crate::health::UpstreamHealth;
use crate::keys::ServiceKey;
use crate::keys::TeamKey;
use crate::keys::UpstreamKey;
use crate::policies::Policies;
use crate::quota::TeamQuota;
use crate::service_state::ServiceState;
use crate::slow_weight::UpstreamLatency;
use crate::slow_weight::effective_slots;
use crate::slow_weight::median_latency_us;
use crate::submission::Needs;
use crate::target::UpstreamTarget;
use crate::team::Team;
use crate::time::Timestamp;
use crate::upstream::Upstream;
use crate::upstream_state::UpstreamState;

/// The one-way delay assumed between data centres for which the document has no distance.
const DEFAULT_ONE_WAY_DELAY: Duration = Duration::from_millis(50);

/// Connections per upstream beyond its slots, for stopping tasks while all slots are busy.
const EXTRA_STOP_CONNECTIONS: u32 = 1;

/// The settings of a team and its quota at this entry instance.
#[derive(Debug)]
pub(crate) struct TeamState {
    pub(crate) settings: Team,
    pub(crate) quota: TeamQuota,
}

/// The installed document and arenas of its services, upstreams and teams, indexed by name.
///
/// A service, upstream or team that keeps its name in a new document keeps its key and state.
#[derive(Debug, Default)]
pub(crate) struct SiteState {
    pub(crate) revision: u64,
    pub(crate) text: Bytes,
    pub(crate) document: Arc<Document>,
    pub(crate) services: SlotMap<ServiceKey, ServiceState>,
    pub(crate) upstreams: SlotMap<UpstreamKey, UpstreamState>,
    pub(crate) teams: SlotMap<TeamKey, TeamState>,
    service_names: IndexMap<Arc<str>, ServiceKey>,
    upstream_names: IndexMap<Arc<str>, UpstreamKey>,
    team_names: IndexMap<Arc<str>, TeamKey>,
}

impl SiteState {
    /// Whether a document is installed.
    pub(crate) fn has_document(&self) -> bool {
        self.revision > 0
    }

    /// The policies of the installed document.
    pub(crate) fn policies(&self) -> &Policies {
        &self.document.policies
    }

    /// The service of this name, if the document lists it.
    pub(crate) fn service(&self, name: &str) -> Option<ServiceKey> {
        let key = *self.service_names.get(name)?;
        self.services[key].present.then_some(key)
    }

    /// The team of this name, if the document lists it.
    pub(crate) fn team(&self, name: &str) -> Option<TeamKey> {
        self.team_names.get(name).copied()
    }

    /// The one-way delay between two data centres; zero within one.
    pub(crate) fn one_way_delay(&self, from: &str, to: &str) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        let between = |a: &str, b: &str| {
            let data_centre = self.document.data_centres.iter().find(|d| d.name == a)?;
            let distance = data_centre.distances.iter().find(|d| d.to == b)?;
            Some(Duration::from_micros(distance.one_way_us.into()))
        };
        between(from, to)
            .or_else(|| between(to, from))
            .unwrap_or(DEFAULT_ONE_WAY_DELAY)
    }

    /// Installs a document of a higher revision.
    pub(crate) fn install(
        &mut self,
        revision: u64,
        document: Arc<Document>,
        text: Bytes,
        instances: usize,
        seed: u64,
    ) {
        let old = std::mem::replace(&mut self.document, document.clone());
        self.revision = revision;
        self.text = text;
        self.install_services(&old.policies, &document, seed);
        self.install_teams(&document);
        self.install_upstreams(&document, instances);
    }

    /// Reverts the ejections of a service's upstreams that the ejection gate does not allow.
    pub(crate) fn review_ejections(&mut self, now: Timestamp, service: ServiceKey) {
        let upstreams = self.upstreams.values_mut();
        let of_service = upstreams.filter(|u| u.service == service && u.present && u.assigned);
        EjectionGate.review(now, of_service.map(|upstream| &mut upstream.health));
    }

    /// Reduces the usable slots of upstreams that are much slower than the others of their service.
    pub(crate) fn update_effective_slots(&mut self) {
        let shun_slow = self.document.policies.shun_slow;
        for service in self.services.values() {
            let upstreams = service.upstreams.iter().map(|key| &self.upstreams[*key]);
            let median_us = median_latency_us(upstreams.map(|upstream| &upstream.latency));
            for key in &service.upstreams {
                let upstream = &mut self.upstreams[*key];
                upstream.effective_slots = if shun_slow {
                    effective_slots(upstream.slots, &upstream.latency, median_us)
                } else {
                    upstream.slots
                };
            }
        }
    }

    fn install_services(&mut self, old: &Policies, document: &Document, seed: u64) {
        for state in self.services.values_mut() {
            state.present = false;
            state.upstreams.clear();
        }
        for service in &document.services {
            let known = self.service_names.get(service.name.as_str());
            let Some(state) = known.and_then(|key| self.services.get_mut(*key)) else {
                let state = ServiceState::new(service.clone(), &document.policies, seed);
                let name = state.name.clone();
                let key = self.services.insert(state);
                self.service_names.insert(name, key);
                continue;
            };
            state.present = true;
            state.settings = service.clone();
            state.set_policies(old, &document.policies, seed);
        }
    }

    fn install_teams(&mut self, document: &Document) {
        for team in &document.teams {
            let quota = TeamQuota::new(team.max_open_tasks, team.max_tasks_per_second);
            let known = self.team_names.get(team.name.as_str());
            let Some(state) = known.and_then(|key| self.teams.get_mut(*key)) else {
                let settings = team.clone();
                let key = self.teams.insert(TeamState { settings, quota });
                self.team_names.insert(Arc::from(team.name.as_str()), key);
                continue;
            };
            if state.settings != *team {
                state
                    .quota
                    .set_limits(team.max_open_tasks, team.max_tasks_per_second);
                state.settings = team.clone();
            }
        }
        let teams = &self.teams;
        let named = |name: &str| document.teams.iter().any(|team| team.name == name);
        self.team_names
            .retain(|name, key| teams.contains_key(*key) && named(name));
    }

    fn install_upstreams(&mut self, document: &Document, instances: usize) {
        for state in self.upstreams.values_mut() {
            state.present = false;
        }
        for upstream in &document.upstreams {
            self.install_upstream(upstream, instances);
        }
        self.upstreams
            .retain(|_, state| state.present || state.in_flight > 0);
        let upstreams = &self.upstreams;
        self.upstream_names
            .retain(|_, key| upstreams.contains_key(*key));
    }

    fn install_upstream(&mut self, upstream: &Upstream, instances: usize) {
        let Some(service_key) = self.service(&upstream.service) else {
            return;
        };
        let service = &mut self.services[service_key];
        let target = target_of(upstream, service, instances);
        let known = self.upstream_names.get(upstream.name.as_str()).copied();
        let key = match known.filter(|key| self.upstreams.contains_key(*key)) {
            Some(key) => key,
            None => {
                let key = self
                    .upstreams
                    .insert(new_upstream(upstream, service_key, &target));
                self.upstream_names.insert(target.name.clone(), key);
                key
            }
        };
        service.upstreams.push(key);
        let state = &mut self.upstreams[key];
        if state.target.address != upstream.address {
            state.health = UpstreamHealth::default();
        }
        state.present = true;
        state.service = service_key;
        state.target = target;
        state.data_centre = Arc::from(upstream.data_centre.as_str());
        state.slots = upstream.slots;
        state.effective_slots = upstream.slots;
        state.resources = resources_of(upstream);
        state.leaves_at_unix_ms = upstream.leaves_at_unix_ms;
    }
}

fn target_of(upstream: &Upstream, service: &ServiceState, instances: usize) -> Arc<UpstreamTarget> {
    let sharing = u32::try_from(instances).unwrap_or(u32::MAX).max(1);
    let connections =
        (upstream.connections / sharing).clamp(1, upstream.slots + EXTRA_STOP_CONNECTIONS);
    let address: SocketAddr = upstream.address;
    Arc::new(UpstreamTarget {
        name: Arc::from(upstream.name.as_str()),
        address,
        path: Arc::from(service.settings.path.as_str()),
        connections,
        http2: service.settings.http2,
    })
}

fn resources_of(upstream: &Upstream) -> Needs {
    Needs {
        cores: upstream.cores,
        memory_mib: upstream.memory_mib,
        accelerators: upstream.accelerators,
    }
}

fn new_upstream(
    upstream: &Upstream,
    service: ServiceKey,
    target: &Arc<UpstreamTarget>,
) -> UpstreamState {
    UpstreamState {
        name: target.name.clone(),
        data_centre: Arc::from(upstream.data_centre.as_str()),
        service,
        target: target.clone(),
        slots: upstream.slots,
        resources: resources_of(upstream),
        leaves_at_unix_ms: upstream.leaves_at_unix_ms,
        listed_leaving: false,
        present: true,
        assigned: false,
        in_flight: 0,
        latency: UpstreamLatency::default(),
        effective_slots: upstream.slots,
        health: UpstreamHealth::default(),
        paused_until: Timestamp::ZERO,
    }
}
