//! Checks of the leases that a simulated site's instances order, by when callers left.

use super::site::RunSite;

impl RunSite {
    /// Records that the caller of a job has left, unless it has been answered.
    pub(super) fn record_departure(&mut self, id: String) {
        let request = self.requests.values().rfind(|(job, _)| *job == id);
        let asked_at = request.map(|(_, asked_at)| *asked_at);
        let answered = self.answers.get(&id);
        let is_answered = answered.is_some_and(|answer| Some(answer.asked_at) == asked_at);
        if !is_answered {
            self.departures.entry(id).or_insert(self.now);
        }
    }

    /// Records that the callers who wait at an instance have left.
    pub(super) fn record_departures(&mut self, node: usize) {
        let mut latest = indexmap::IndexMap::new();
        for ((at, _), (id, _)) in &self.requests {
            latest.insert(id.clone(), *at);
        }
        for (id, _) in latest.into_iter().filter(|(_, at)| *at == node) {
            self.record_departure(id);
        }
    }

    /// Records each run on an upstream whose lease lasts beyond the time at which its caller may come back.
    pub(super) fn check_lease(&mut self, upstream: usize) {
        let state = &self.upstreams[upstream];
        for run in state.runs.keys() {
            let Some(left_at) = self.departures.get(run.task.job.as_str()) else {
                continue;
            };
            let lease_ms = state.lease_until.since(*left_at).as_millis();
            if lease_ms > self.caller_retry_pause.as_millis() {
                let (id, at_ms) = (&state.listed.id, self.now_ms());
                self.long_leases.push(format!(
                    "at {at_ms} ms {run} has a lease on {id} until {lease_ms} ms after its caller left"
                ));
            }
        }
    }
}
