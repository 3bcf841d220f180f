//! The limit on retries of one service.

/// A token bucket that each first attempt adds to and each retry takes from.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    percent: u32,
    tokens: u32,
}

/// The number of tokens that one retry takes.
const TOKENS_PER_RETRY: u32 = 100;

/// The number of retries that a full bucket allows.
const BURST_RETRIES: u32 = 10;

impl RetryBudget {
    /// Creates a full bucket for `percent` retries per 100 first attempts; zero allows no retries.
    pub fn new(percent: u32) -> Self {
        let tokens = match percent {
            0 => 0,
            _ => TOKENS_PER_RETRY * BURST_RETRIES,
        };
        RetryBudget { percent, tokens }
    }

    /// Adds the tokens for the first attempt at a task.
    pub fn on_first_attempt(&mut self) {
        let filled = self.tokens.saturating_add(self.percent);
        self.tokens = filled.min(TOKENS_PER_RETRY * BURST_RETRIES);
    }

    /// Takes the tokens for one retry; returns whether there were enough.
    pub fn try_retry(&mut self) -> bool {
        let Some(left) = self.tokens.checked_sub(TOKENS_PER_RETRY) else {
            return false;
        };
        self.tokens = left;
        true
    }
}
