//! Polls the platform's list of instances and keeps this instance's entry in it up to date.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::event::Event;
use almondhead_lib::id::Incarnation;
use almondhead_lib::membership::Membership;
use almondhead_lib::membership::Sibling;
use almondhead_net::InstanceList;
use almondhead_net::InstanceRole;
use almondhead_net::InstanceState;
use almondhead_net::ListedInstance;
use almondhead_net::Platform;
use indexmap::IndexMap;

use crate::driver_handle::DriverHandle;
use crate::peer::PeerTransport;
use crate::stopping::Stopping;
use crate::timer::TimerService;

/// Number of consecutive lists that must lack an instance before its incarnation counts as ended.
const ENDED_AFTER_ABSENT_LISTS: u32 = 3;

/// Maximum number of ended incarnations that are kept; beyond it the oldest are dropped.
const MAX_ENDED_INCARNATIONS: usize = 1_000;

/// Polls the list and reports changes of the membership to the dispatcher.
pub(crate) struct InstanceWatch {
    pub(crate) own: ListedInstance,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) driver: DriverHandle,
    pub(crate) peers: Arc<dyn PeerTransport>,
    pub(crate) stopping: Stopping,
    pub(crate) history: ListHistory,
}

/// What is derived from the lists read so far.
#[derive(Default)]
pub(crate) struct ListHistory {
    reported: Membership,
    last_seen: IndexMap<Arc<str>, LastSeen>,
    ended_incarnations: Vec<Incarnation>,
}

/// A sibling's last listed incarnation, and how many lists in a row have lacked the sibling since.
struct LastSeen {
    incarnation: Incarnation,
    absent_lists: u32,
}

impl InstanceWatch {
    /// Runs until the process ends.
    pub(crate) async fn run(mut self, timer: TimerService, period: Duration) {
        let mut ticks = timer.every(period);
        let mut is_reachable = true;
        loop {
            ticks.next().await;
            match self.platform.list_instances().await {
                Ok(list) => {
                    self.apply_list(&list).await;
                    is_reachable = true;
                }
                Err(error) => {
                    if is_reachable {
                        tracing::warn!(%error, "instance list not read");
                    }
                    is_reachable = false;
                }
            }
        }
    }

    async fn apply_list(&mut self, list: &InstanceList) {
        self.stop_if_listed_leaving(list).await;
        self.announce(list).await;
        let membership = self.history.membership(list, &self.own.name);
        if membership == self.history.reported {
            return;
        }
        tracing::info!(
            siblings = membership.siblings.len(),
            ended = membership.ended.len(),
            leaving_upstreams = membership.leaving_upstreams.len(),
            "membership changed"
        );
        self.history.reported = membership.clone();
        self.peers.set_siblings(&membership.siblings);
        self.driver.send(Event::MembershipChanged(membership)).await;
    }

    /// Makes the dispatcher accept no new work once the platform lists this incarnation as leaving.
    async fn stop_if_listed_leaving(&mut self, list: &InstanceList) {
        let is_own = |listed: &&ListedInstance| {
            listed.name == self.own.name && listed.incarnation == self.own.incarnation
        };
        let listed = list.instances.iter().find(is_own);
        let is_leaving = listed.is_some_and(|listed| listed.state == InstanceState::Leaving);
        if is_leaving && self.own.state == InstanceState::Live {
            tracing::info!("the platform lists this instance as leaving: no new work is accepted");
            self.own.state = InstanceState::Leaving;
            self.driver.send(Event::StopRequested).await;
        }
    }

    /// Announces this instance to the platform when its entry is missing or out of date.
    async fn announce(&mut self, list: &InstanceList) {
        if self.stopping.is_set() {
            self.own.state = InstanceState::Leaving;
        }
        if list.instances.contains(&self.own) {
            return;
        }
        if let Err(error) = self.platform.announce(self.own.clone()).await {
            tracing::warn!(%error, "instance not announced");
        }
    }
}

impl ListHistory {
    fn membership(&mut self, list: &InstanceList, own_name: &str) -> Membership {
        let siblings: Vec<Sibling> = list
            .instances
            .iter()
            .filter(|listed| listed.name != own_name)
            .filter_map(sibling)
            .collect();
        self.record_ended(&siblings);
        Membership {
            siblings,
            ended: self.ended_incarnations.clone(),
            leaving_upstreams: leaving_upstreams(list),
        }
    }

    fn record_ended(&mut self, siblings: &[Sibling]) {
        let mut ended = Vec::new();
        for (name, last) in &mut self.last_seen {
            match siblings.iter().find(|sibling| sibling.name == *name) {
                Some(sibling) => {
                    last.absent_lists = 0;
                    let replaced = sibling.incarnation.filter(|now| *now != last.incarnation);
                    if let Some(incarnation) = replaced {
                        ended.push(last.incarnation);
                        last.incarnation = incarnation;
                    }
                }
                None => {
                    last.absent_lists += 1;
                    if last.absent_lists == ENDED_AFTER_ABSENT_LISTS {
                        ended.push(last.incarnation);
                    }
                }
            }
        }
        self.last_seen
            .retain(|_, last| last.absent_lists < ENDED_AFTER_ABSENT_LISTS);
        for sibling in siblings {
            if let Some(incarnation) = sibling.incarnation {
                self.last_seen
                    .entry(Arc::clone(&sibling.name))
                    .or_insert(LastSeen {
                        incarnation,
                        absent_lists: 0,
                    });
                ended.retain(|ended| *ended != incarnation);
                self.ended_incarnations
                    .retain(|ended| *ended != incarnation);
            }
        }
        self.ended_incarnations.extend(ended);
        let excess = self
            .ended_incarnations
            .len()
            .saturating_sub(MAX_ENDED_INCARNATIONS);
        self.ended_incarnations.drain(..excess);
    }
}

fn sibling(listed: &ListedInstance) -> Option<Sibling> {
    if listed.role != InstanceRole::Entry {
        return None;
    }
    let incarnation = listed.incarnation.as_deref();
    let incarnation = incarnation.and_then(|text| u64::from_str_radix(text, 16).ok());
    Some(Sibling {
        name: Arc::from(listed.name.as_str()),
        data_centre: Arc::from(listed.data_centre.as_str()),
        peer_address: listed.peer_address?,
        incarnation: incarnation.map(Incarnation),
        leaving: listed.state == InstanceState::Leaving,
    })
}

fn leaving_upstreams(list: &InstanceList) -> Vec<Arc<str>> {
    list.instances
        .iter()
        .filter(|listed| listed.role == InstanceRole::Upstream)
        .filter(|listed| listed.state == InstanceState::Leaving)
        .map(|listed| Arc::from(listed.name.as_str()))
        .collect()
}
