//! The bound on retries of one service.

/// A token bucket that first attempts fill and retries empty.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    percent: u32,
    tokens: u32,
}

/// What one retry takes out of the bucket.
const RETRY_TOKENS: u32 = 100;

/// The retries that a full bucket allows.
const BURST_RETRIES: u32 = 10;

impl RetryBudget {
    /// A full bucket that allows `percent` retries per hundred first attempts; zero allows none.
    pub fn new(percent: u32) -> Self {
        let tokens = match percent {
            0 => 0,
            _ => RETRY_TOKENS * BURST_RETRIES,
        };
        RetryBudget { percent, tokens }
    }

    /// Counts the first attempt at a task.
    pub fn on_first_attempt(&mut self) {
        let filled = self.tokens.saturating_add(self.percent);
        self.tokens = filled.min(RETRY_TOKENS * BURST_RETRIES);
    }

    /// Whether one more retry may start; if so, it is counted.
    pub fn try_retry(&mut self) -> bool {
        let Some(left) = self.tokens.checked_sub(RETRY_TOKENS) else {
            return false;
        };
        self.tokens = left;
        true
    }
}
