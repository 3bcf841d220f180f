//! The timeouts of an exchange whose response may be large for the link.

use std::time::Duration;
use std::time::Instant;

use almondhead_macros::value;

use super::progress::Progress;
use crate::deadline::Deadline;

/// The timeouts of an exchange that may take longer the larger its response is.
#[value]
#[derive(Copy)]
pub struct TransferTimeouts {
    /// From the start until the first part of the response's body has arrived.
    pub start: Duration,
    /// Between two parts of the body.
    pub stall: Duration,
    /// For the whole exchange.
    pub total: Duration,
}

impl TransferTimeouts {
    /// Completes once an exchange that began at `started_at` has timed out.
    pub(crate) async fn expire(&self, started_at: Instant, progress: &Progress) {
        let last = started_at + self.total;
        let mut deadline = (started_at + self.start).min(last);
        loop {
            Deadline::at(deadline).await;
            let received_at = progress.received_at();
            match received_at.map(|at| (at + self.stall).min(last)) {
                Some(later) if later > deadline => deadline = later,
                _ => return,
            }
        }
    }
}
