//! The report of a load, as text and as JSON.

use std::fmt;
use std::ops::Range;
use std::time::Duration;

use almondhead_macros::message;
use hdrhistogram::Histogram;
use indexmap::IndexMap;

use crate::load_options::LoadOptions;
use crate::load_plan::LoadPlan;
use crate::load_sample::JobOutcome;
use crate::load_sample::JobSample;
use crate::load_scrape::MessageTotals;

/// Histograms hold integers, so values are recorded in thousandths.
const HISTOGRAM_SCALE: f64 = 1_000.0;

const SIGNIFICANT_DIGITS: u8 = 3;

/// The quantiles of a distribution.
#[message]
#[derive(Copy, Default)]
pub struct Percentiles {
    /// The number of values.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The maximum.
    pub max: f64,
}

/// The number of messages that a load caused.
#[message]
pub struct MessageReport {
    /// Messages by kind, summed over all entries.
    pub by_kind: IndexMap<String, u64>,
    /// Messages beyond one request and one answer per task of a complete job, per task offered.
    pub wasted_per_task: f64,
}

/// The report of one load.
#[message]
pub struct LoadReport {
    /// The seed of the job plan.
    pub seed: u64,
    /// The number of jobs offered, including single tasks.
    pub jobs: u64,
    /// The number of tasks offered.
    pub tasks: u64,
    /// The number of jobs by outcome.
    pub ends: IndexMap<String, u64>,
    /// The ratio of response time to ideal response time, for complete single tasks.
    pub singles_over_ideal: Percentiles,
    /// The ratio of response time to ideal response time, for complete jobs other than single tasks.
    pub jobs_over_ideal: Percentiles,
    /// The time from request to refusal in milliseconds.
    pub refusal_ms: Percentiles,
    /// The number of jobs that were sent again after a refusal and then completed.
    pub followed_complete: u64,
    /// The number of jobs that were sent again after a refusal.
    pub followed: u64,
    /// The run time of complete jobs while jobs were offered, as a share of the slots' capacity.
    pub goodput: f64,
    /// The same during the burst; absent when there was none.
    pub goodput_in_burst: Option<f64>,
    /// The time from the start to the last response in seconds.
    pub span_s: f64,
    /// The messages; absent when no metrics were read.
    pub messages: Option<MessageReport>,
}

impl LoadReport {
    /// Summarises the samples of a plan's jobs.
    pub fn new(
        options: &LoadOptions,
        plan: &LoadPlan,
        samples: &[JobSample],
        messages: Option<MessageTotals>,
    ) -> Self {
        let ratios = |single: bool| {
            let of_kind = samples.iter().filter(move |s| is_complete(s));
            let of_kind = of_kind.filter(move |s| plan.jobs[s.job_index].single == single);
            percentiles(of_kind.map(|sample| response_over_ideal(options, plan, sample)))
        };
        let refused = samples
            .iter()
            .filter(|sample| matches!(sample.outcome, JobOutcome::NotRun { .. }));
        let followed = samples.iter().filter(|sample| sample.retries > 0);
        let useful = samples.iter().filter(|sample| is_complete(sample));
        let useful_tasks = useful
            .map(|s| plan.jobs[s.job_index].run_times_ms.len() as u64)
            .sum();
        let tasks = plan.task_count() as u64;
        let goodput = |window| goodput(options, plan, samples, window);
        LoadReport {
            seed: options.seed,
            jobs: plan.jobs.len() as u64,
            tasks,
            ends: count_outcomes(samples),
            singles_over_ideal: ratios(true),
            jobs_over_ideal: ratios(false),
            refusal_ms: percentiles(refused.map(|sample| sample.exchange_time.as_secs_f64() * 1e3)),
            followed_complete: followed.clone().filter(|s| is_complete(s)).count() as u64,
            followed: followed.count() as u64,
            goodput: goodput(Duration::ZERO..options.duration),
            goodput_in_burst: options
                .burst
                .map(|burst| goodput(burst.start..burst.start + burst.duration)),
            span_s: span(plan, samples).as_secs_f64(),
            messages: messages.map(|totals| message_report(totals, useful_tasks, tasks)),
        }
    }
}

fn is_complete(sample: &JobSample) -> bool {
    sample.outcome == JobOutcome::Complete
}

fn response_over_ideal(options: &LoadOptions, plan: &LoadPlan, sample: &JobSample) -> f64 {
    let ideal = plan.jobs[sample.job_index].ideal_response_time(options.slots, options.round_trips);
    sample.response_time.as_secs_f64() / ideal.as_secs_f64()
}

/// Returns the run time of complete jobs within a window, as a share of the slots' capacity.
///
/// A job is assumed to have run for its ideal response time up to its response.
fn goodput(
    options: &LoadOptions,
    plan: &LoadPlan,
    samples: &[JobSample],
    window: Range<Duration>,
) -> f64 {
    let slots = options.slots;
    let useful = samples.iter().filter(|sample| is_complete(sample));
    let useful_s: f64 = useful
        .map(|sample| {
            let job = &plan.jobs[sample.job_index];
            let run = job
                .ideal_response_time(slots, options.round_trips)
                .min(sample.response_time);
            let answered = job.at + sample.response_time;
            let within = answered.min(window.end);
            let within = within.saturating_sub((answered - run).max(window.start));
            let share = within.as_secs_f64() / run.as_secs_f64().max(f64::EPSILON);
            share * job.run_times_ms.iter().copied().map(f64::from).sum::<f64>() / 1e3
        })
        .sum();
    let window_s = window.end.saturating_sub(window.start).as_secs_f64();
    useful_s / (window_s * f64::from(slots))
}

fn span(plan: &LoadPlan, samples: &[JobSample]) -> Duration {
    let ends = samples
        .iter()
        .map(|s| plan.jobs[s.job_index].at + s.response_time);
    ends.max().unwrap_or_default()
}

fn count_outcomes(samples: &[JobSample]) -> IndexMap<String, u64> {
    let mut ends = IndexMap::new();
    for sample in samples {
        *ends.entry(sample.outcome.label()).or_default() += 1;
    }
    ends.sort_unstable_keys();
    ends
}

fn message_report(totals: MessageTotals, useful_tasks: u64, tasks: u64) -> MessageReport {
    let wasted = totals.total() as f64 - 2.0 * useful_tasks as f64;
    MessageReport {
        wasted_per_task: wasted / tasks.max(1) as f64,
        by_kind: totals.by_kind,
    }
}

fn percentiles(values: impl Iterator<Item = f64>) -> Percentiles {
    let mut histogram = Histogram::<u64>::new(SIGNIFICANT_DIGITS).expect("digits are in range");
    for value in values {
        // The histogram resizes itself, so recording can't fail.
        let _ = histogram.record((value * HISTOGRAM_SCALE).round() as u64);
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / HISTOGRAM_SCALE;
    Percentiles {
        count: histogram.len(),
        p50: at(0.5),
        p99: at(0.99),
        p999: at(0.999),
        max: histogram.max() as f64 / HISTOGRAM_SCALE,
    }
}

impl fmt::Display for Percentiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Percentiles {
            count,
            p50,
            p99,
            p999,
            max,
        } = self;
        write!(
            f,
            "p50 {p50:.3}  p99 {p99:.3}  p99.9 {p999:.3}  max {max:.3}  of {count}"
        )
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (jobs, tasks) = (self.jobs, self.tasks);
        writeln!(f, "seed               {}", self.seed)?;
        writeln!(f, "offered            {jobs} jobs, {tasks} tasks")?;
        writeln!(f, "span               {:.1} s", self.span_s)?;
        for (outcome, jobs) in &self.ends {
            writeln!(f, "  {outcome:<28} {jobs}")?;
        }
        writeln!(f, "singles over ideal {}", self.singles_over_ideal)?;
        writeln!(f, "jobs over ideal    {}", self.jobs_over_ideal)?;
        writeln!(f, "refused in ms      {}", self.refusal_ms)?;
        let (followed, complete) = (self.followed, self.followed_complete);
        writeln!(f, "followed           {followed} jobs, {complete} complete")?;
        writeln!(f, "goodput            {:.3} of the slots", self.goodput)?;
        if let Some(goodput) = self.goodput_in_burst {
            writeln!(f, "goodput in burst   {goodput:.3} of the slots")?;
        }
        let Some(messages) = &self.messages else {
            return writeln!(f, "messages           not read");
        };
        let wasted = messages.wasted_per_task;
        writeln!(f, "wasted messages    {wasted:.3} for each task")?;
        for (kind, count) in &messages.by_kind {
            writeln!(f, "  {kind:<28} {count}")?;
        }
        Ok(())
    }
}
