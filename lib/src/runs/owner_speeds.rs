//! How an owner learns the speeds of its upstreams from the runs of a batch.

use std::time::Duration;

use super::held_batch::DoneRun;
use super::held_batch::TaskIndex;
use super::log_run_time::LogRunTime;
use super::owner::Owner;
use super::run_id::HeldBatchKey;
use super::run_id::LeasedUpstreamKey;
use super::step_mean::StepMean;

impl Owner {
    /// Records a done run; once the batch's last task is done, learns the speeds of the upstreams that
    /// ran it, since tasks of one step have nearly the same run time.
    pub(crate) fn learn_speeds(
        &mut self,
        upstream_key: LeasedUpstreamKey,
        batch_key: HeldBatchKey,
        task: TaskIndex,
        took: Duration,
    ) {
        let Some(batch) = self.batches.get_mut(batch_key) else {
            return;
        };
        let step = batch.tasks[task].placed.step;
        batch.done_runs.push(DoneRun {
            step,
            upstream_key,
            took,
        });
        if batch.open_tasks > 1 {
            return;
        }
        let done_runs = std::mem::take(&mut batch.done_runs);
        let demands = std::mem::take(&mut batch.demands);
        for demand in &demands {
            let of_step = done_runs.iter().filter(|run| run.step == demand.step);
            let of_step: Vec<&DoneRun> = of_step.collect();
            self.learn_from_step(demand.declared_run_time, &of_step);
        }
    }

    fn learn_from_step(&mut self, declared: Duration, runs: &[&DoneRun]) {
        let mut all = StepMean::default();
        let mut samples = Vec::with_capacity(runs.len());
        for run in runs {
            let upstream = self.upstreams.get(run.upstream_key);
            let log_slowness = upstream.map_or(0.0, |upstream| upstream.speed.log_slowness());
            let took = LogRunTime::new(run.took);
            all.add(took, log_slowness);
            samples.push((run.upstream_key, took, log_slowness));
        }
        for (upstream_key, took, log_slowness) in samples {
            let Some(upstream) = self.upstreams.get_mut(upstream_key) else {
                continue;
            };
            if let Some(others) = all.without(took, log_slowness) {
                upstream.speed.observe_within_step(took, &others);
            }
            upstream.speed.observe_declared(declared, took, runs.len());
        }
    }
}
