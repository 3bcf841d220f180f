//! The state of a platform stand-in: its contents, faults, counters and the history of its list.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use almondhead_net::InstanceList;
use almondhead_net::InstanceState;
use almondhead_net::ListedInstance;
use almondhead_net::MemoryPlatform;
use almondhead_net::Platform;
use almondhead_net::PlatformError;

use indexmap::IndexMap;

use super::counters::PlatformCounters;
use super::faults::PlatformFaults;
use super::lagging_list::LaggingList;
use crate::locking::lock;

/// The state of a stand-in, shared by its handler and its handle.
pub(crate) struct PlatformState {
    /// The rows, the objects and the current list of instances.
    pub(crate) memory: MemoryPlatform,
    started_at: Instant,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    faults: PlatformFaults,
    counters: PlatformCounters,
    list: LaggingList,
    /// The peer addresses listed in place of the instances' own, by instance.
    peer_addresses: IndexMap<String, SocketAddr>,
    /// The full seconds since `started_at`.
    current_second: u64,
    writes_in_second: u64,
}

impl PlatformState {
    pub(crate) fn new() -> Self {
        Self {
            memory: MemoryPlatform::default(),
            started_at: Instant::now(),
            inner: Mutex::default(),
        }
    }

    pub(crate) fn faults(&self) -> PlatformFaults {
        lock(&self.inner).faults.clone()
    }

    pub(crate) fn set_faults(&self, faults: PlatformFaults) {
        lock(&self.inner).faults = faults;
    }

    pub(crate) fn counters(&self) -> PlatformCounters {
        lock(&self.inner).counters.clone()
    }

    pub(crate) fn count(&self, count: impl FnOnce(&mut PlatformCounters)) {
        count(&mut lock(&self.inner).counters);
    }

    /// Counts one write, also in the peak of writes per second.
    pub(crate) fn count_write(&self) {
        let current_second = self.started_at.elapsed().as_secs();
        let mut inner = lock(&self.inner);
        if current_second != inner.current_second {
            inner.current_second = current_second;
            inner.writes_in_second = 0;
        }
        inner.writes_in_second += 1;
        let writes_in_second = inner.writes_in_second;
        let counters = &mut inner.counters;
        counters.writes += 1;
        counters.writes_peak_per_s = counters.writes_peak_per_s.max(writes_in_second);
    }

    /// Returns the list of instances as of `lag_ms` ago.
    pub(crate) fn lagging_list(&self) -> InstanceList {
        let inner = lock(&self.inner);
        let mut list = inner.list.as_of(Duration::from_millis(inner.faults.lag_ms));
        for instance in &mut list.instances {
            let address = inner.peer_addresses.get(&instance.name);
            instance.peer_address = address.copied().or(instance.peer_address);
        }
        list
    }

    /// Lists an instance under another peer address than its own from now on.
    pub(crate) fn set_peer_address(&self, name: &str, address: SocketAddr) {
        let addresses = &mut lock(&self.inner).peer_addresses;
        addresses.insert(name.to_owned(), address);
    }

    pub(crate) async fn announce(&self, instance: ListedInstance) -> Result<(), PlatformError> {
        self.memory.announce(instance).await?;
        self.record_list().await
    }

    pub(crate) async fn end_instance(&self, name: &str) -> Result<(), PlatformError> {
        self.memory.end_instance(name);
        self.record_list().await
    }

    /// Marks an instance as leaving; an instance that is not listed is ignored.
    pub(crate) async fn set_leaving(&self, name: &str) -> Result<(), PlatformError> {
        let list = self.memory.list_instances().await?;
        let instances = list.instances.into_iter();
        for mut instance in instances.filter(|instance| instance.name == name) {
            instance.state = InstanceState::Leaving;
            self.announce(instance).await?;
        }
        Ok(())
    }

    async fn record_list(&self) -> Result<(), PlatformError> {
        let list = self.memory.list_instances().await?;
        lock(&self.inner).list.record(list);
        Ok(())
    }
}
