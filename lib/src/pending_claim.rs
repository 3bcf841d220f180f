//! A question to the platform's table about an idempotency key.

use crate::id::JobAddress;
use crate::job::Waiter;
use crate::keys::JobKey;
use crate::peer_message::ForwardedRequest;

/// What waits for the table's answer.
#[derive(Debug)]
pub(crate) enum PendingClaim {
    /// A job that starts when the key is ours.
    Job(JobKey),
    /// A request that goes to whoever claimed the key.
    FindHome {
        /// Who is told the answer.
        waiter: Waiter,
        /// The job's address.
        address: JobAddress,
        /// What is asked of the job.
        request: ForwardedRequest,
    },
}
