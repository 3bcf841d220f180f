//! A small histogram of run times that forgets.

use std::time::Duration;

/// The buckets to each doubling of the run time.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// The run time below which all count as one.
const FIRST_BUCKET: Duration = Duration::from_millis(1);

/// The buckets, which reach to above a minute.
const BUCKETS: usize = 68;

/// The count at which all buckets are halved.
const FORGET_AT: f32 = 4_096.0;

/// Run times in buckets of a logarithmic scale; old ones fade as new ones come.
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
    /// Counts a run time.
    pub(crate) fn record(&mut self, run: Duration) {
        self.counts[bucket_of(run)] += 1.0;
        self.total += 1.0;
        if self.total >= FORGET_AT {
            for count in &mut self.counts {
                *count /= 2.0;
            }
            self.total /= 2.0;
        }
    }

    /// A run time that `share` of the tasks do not exceed, zero when nothing was recorded.
    pub(crate) fn quantile(&self, share: f64) -> Duration {
        let wanted = f64::from(self.total) * share;
        let mut seen = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += f64::from(*count);
            if *count > 0.0 && seen >= wanted {
                return upper_bound(bucket);
            }
        }
        Duration::ZERO
    }
}

fn bucket_of(run: Duration) -> usize {
    let doublings = (run.as_secs_f64() / FIRST_BUCKET.as_secs_f64())
        .max(1.0)
        .log2();
    let bucket = (doublings * BUCKETS_PER_DOUBLING).ceil() as usize;
    bucket.min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    FIRST_BUCKET.mul_f64((bucket as f64 / BUCKETS_PER_DOUBLING).exp2())
}
