//! What tests can observe of a simulated site.

use almondhead_lib::runs::delegation::counts::DelegationCounts;
use almondhead_lib::runs::run_counts::RunCounts;

use super::site::RunSite;
use super::site::SiteAnswer;

impl RunSite {
    /// Returns the answer to a job.
    pub fn answer(&self, id: &str) -> Option<&SiteAnswer> {
        self.answers.get(id)
    }

    /// Returns the answers with their jobs' ids.
    pub fn answers(&self) -> impl Iterator<Item = (&String, &SiteAnswer)> {
        self.answers.iter()
    }

    /// Returns the violations of the guarantees so far, one text each.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Returns the number of orders and the number of messages between instances sent so far.
    pub fn traffic(&self) -> (u64, u64) {
        (self.orders, self.messages)
    }

    /// Returns a text for each run whose lease was extended beyond the time at which its caller, who had
    /// left by then, may come back.
    pub fn long_leases(&self) -> &[String] {
        &self.long_leases
    }

    /// The upstreams that deadly tasks have crashed so far, by job.
    pub fn crashes(&self, id: &str) -> usize {
        self.crashes.get(id).copied().unwrap_or(0)
    }

    /// Returns the number of runs that an upstream has started.
    pub fn start_count(&self, upstream: usize) -> u64 {
        self.upstreams[upstream].starts
    }

    /// Returns the number of runs in progress on all upstreams.
    pub fn running(&self) -> usize {
        self.upstreams.iter().map(|state| state.runs.len()).sum()
    }

    /// Returns the number of runs of a job that are in progress.
    pub fn running_tasks(&self, id: &str) -> usize {
        let runs = self.upstreams.iter().flat_map(|state| state.runs.keys());
        runs.filter(|run| run.task.job.as_str() == id).count()
    }

    /// Returns the version of the intended state that an instance has, zero if it has none.
    pub fn intended_version(&self, node: usize) -> u64 {
        let dispatcher = self.nodes[node].dispatcher.as_ref();
        dispatcher.map_or(0, |dispatcher| dispatcher.status().intended_version)
    }

    /// Returns the number of upstreams that an instance owns and that accept tasks.
    pub fn usable_upstreams(&self, node: usize) -> usize {
        let dispatcher = self.nodes[node].dispatcher.as_ref();
        dispatcher.map_or(0, |dispatcher| dispatcher.status().usable_upstreams)
    }

    /// Returns the number of tasks that wait at an instance as an owner.
    pub fn queued_tasks(&self, node: usize) -> usize {
        let dispatcher = self.nodes[node].dispatcher.as_ref();
        dispatcher.map_or(0, |dispatcher| dispatcher.status().queued_tasks)
    }

    /// Returns the number of data centres that an instance knows as evacuated.
    pub fn evacuated_data_centres(&self, node: usize) -> usize {
        let dispatcher = self.nodes[node].dispatcher.as_ref();
        dispatcher.map_or(0, |at| at.status().evacuated_data_centres)
    }

    /// Returns the number of services and priorities whose recent work an instance keeps; zero while it is
    /// killed.
    pub fn recent_priorities(&self, node: usize) -> usize {
        let dispatcher = self.nodes[node].dispatcher.as_ref();
        dispatcher.map_or(0, |at| at.status().recent_priorities)
    }

    /// Returns the counters of an instance's home; all zero while the instance is killed.
    pub fn counts(&self, node: usize) -> RunCounts {
        let dispatcher = self.nodes[node].dispatcher.as_ref();
        dispatcher.map_or(RunCounts::default(), |at| at.status().counts)
    }

    /// Returns an instance's counters of delegated jobs; all zero while the instance is killed.
    pub fn delegation(&self, node: usize) -> DelegationCounts {
        let dispatcher = self.nodes[node].dispatcher.as_ref();
        dispatcher.map_or(DelegationCounts::default(), |at| at.status().delegation)
    }

    /// Returns the number of messages that an instance has sent to and been sent by others.
    pub fn node_messages(&self, node: usize) -> u64 {
        self.nodes[node].messages
    }

    /// Returns how often an instance's process has read the upstreams' entries.
    pub fn listing_reads(&self, node: usize) -> u64 {
        self.nodes[node].listing_reads
    }

    /// Returns the number of upstreams that an instance knows as listed.
    pub fn listed_upstreams(&self, node: usize) -> usize {
        let dispatcher = self.nodes[node].dispatcher.as_ref();
        dispatcher.map_or(0, |dispatcher| dispatcher.status().listed_upstreams)
    }

    /// How many other instances the process of a node can reach.
    pub fn reachable_peers(&self, node: usize) -> usize {
        let dispatcher = self.nodes[node].dispatcher.as_ref();
        dispatcher.map_or(0, |dispatcher| dispatcher.status().reachable_peers)
    }

    /// Returns the number of instances.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the number of upstreams.
    pub fn upstream_count(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns the site's time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now.as_us() / 1_000
    }
}
