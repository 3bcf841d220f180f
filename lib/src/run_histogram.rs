//! A histogram of recent run times in bounded memory.

use std::time::Duration;

use crate::scaling::scaled;

/// The number of buckets for each doubling of the run time.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// The upper bound of the first bucket.
const FIRST_BUCKET_BOUND: Duration = Duration::from_millis(1);

/// The number of buckets; the last one begins above a minute.
const BUCKETS: usize = 68;

/// The total count at which all buckets are halved.
const HALVING_TOTAL: f32 = 4_096.0;

/// Counts of run times in buckets of a logarithmic scale, with exponential decay of old ones.
#[derive(Clone, Debug)]
pub(crate) struct RunHistogram {
    counts: [f32; BUCKETS],
    total: f32,
}

impl Default for RunHistogram {
    fn default() -> Self {
        RunHistogram {
            counts: [0.0; BUCKETS],
            total: 0.0,
        }
    }
}

impl RunHistogram {
    /// Records a run time.
    pub(crate) fn record(&mut self, run_time: Duration) {
        self.counts[bucket_of(run_time)] += 1.0;
        self.total += 1.0;
        if self.total >= HALVING_TOTAL {
            for count in &mut self.counts {
                *count /= 2.0;
            }
            self.total /= 2.0;
        }
    }

    /// The run time that a `share` of the tasks between zero and one does not exceed; zero when
    /// nothing was recorded.
    pub(crate) fn quantile(&self, share: f64) -> Duration {
        let target_count = f64::from(self.total) * share;
        let mut count_so_far = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            count_so_far += f64::from(*count);
            if *count > 0.0 && count_so_far >= target_count {
                return upper_bound(bucket);
            }
        }
        Duration::ZERO
    }
}

fn bucket_of(run_time: Duration) -> usize {
    let doublings = (run_time.as_secs_f64() / FIRST_BUCKET_BOUND.as_secs_f64())
        .max(1.0)
        .log2();
    let bucket = (doublings * BUCKETS_PER_DOUBLING).ceil() as usize;
    bucket.min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    scaled(
        FIRST_BUCKET_BOUND,
        (bucket as f64 / BUCKETS_PER_DOUBLING).exp2(),
    )
}
