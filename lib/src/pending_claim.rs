//! Pending claims and reads of idempotency keys in the platform's table.

use crate::id::JobAddress;
use crate::job::Waiter;
use crate::keys::JobKey;
use crate::peer_message::ForwardedRequest;

/// A claim or read of a key that the platform's table has not answered yet.
#[derive(Debug)]
pub(crate) enum PendingClaim {
    /// A job that starts once its key is claimed.
    Job(JobKey),
    /// A request that is forwarded to the home that claimed the key.
    FindHome {
        /// Who is sent the answer.
        waiter: Waiter,
        /// The job's address.
        address: JobAddress,
        /// The request to forward.
        request: ForwardedRequest,
    },
}
