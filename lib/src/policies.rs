//! The document's `policies`: settings for how entry instances place, order and admit work.

use almondhead_macros::document;

use crate::document_limits::MAX_DIGEST_PERIOD_MS;
use crate::document_limits::MAX_QUEUED_TASKS;
use crate::document_limits::MAX_RETRY_PERCENT;
use crate::document_limits::MIN_DIGEST_PERIOD_MS;

/// What the firm weighs more where response time and messages are traded.
#[document]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "snake_case")]
pub enum Prefer {
    /// Forward overflow as soon as a sibling may have room.
    #[default]
    ResponseTime,
    /// Forward overflow only when the gain outweighs the messages.
    FewerMessages,
}

/// Which entry instances use which upstreams.
#[document]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// Each upstream is owned by one entry instance of its data centre.
    #[default]
    Owned,
    /// Every entry instance uses every upstream.
    Shared,
}

/// How an upstream is chosen among those with a free slot.
#[document]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "snake_case")]
pub enum ChoicePolicy {
    /// The fewest tasks in flight per slot, ties by recent latency.
    #[default]
    LeastLoaded,
    /// Each in turn.
    RoundRobin,
    /// The less loaded of two drawn at random.
    PowerOfTwo,
}

/// In which order queued tasks start.
#[document]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "snake_case")]
pub enum QueuePolicy {
    /// By the teams' fair share, then the job with the fewest remaining tasks, with ageing.
    #[default]
    FairFewestRemaining,
    /// In order of arrival.
    Fifo,
    /// By the earliest deadline.
    EarliestDeadline,
}

/// Whether a job that would miss its deadline is refused at once.
#[document]
#[derive(Copy, Eq, Default)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionPolicy {
    /// Refuse when the estimated finish is past the deadline.
    #[default]
    EstimatedFinish,
    /// Refuse only when the queue holds its bound of tasks.
    QueueLength,
}

/// The policies of one document.
#[document]
#[derive(Eq)]
#[serde(deny_unknown_fields, default)]
pub struct Policies {
    /// What is weighed more, response time or messages.
    pub prefer: Prefer,
    /// Which entry instances use which upstreams.
    pub placement: PlacementPolicy,
    /// How an upstream is chosen.
    pub choice: ChoicePolicy,
    /// In which order queued tasks start.
    pub queue: QueuePolicy,
    /// Which jobs are refused on arrival.
    pub admission: AdmissionPolicy,
    /// Whether upstreams that fail what they start are taken out of use.
    pub eject_failing: bool,
    /// Whether upstreams much slower than their peers get less work.
    pub shun_slow: bool,
    /// Whether overflow is forwarded to sibling entry instances.
    pub forward_overflow: bool,
    /// Retries allowed per hundred first attempts.
    #[schemars(range(min = 0, max = MAX_RETRY_PERCENT))]
    pub retry_percent: u32,
    /// The most tasks that one entry instance queues for one service.
    #[schemars(range(min = 1, max = MAX_QUEUED_TASKS))]
    pub max_queued_tasks: u32,
    /// The time between load digests to siblings in milliseconds.
    #[schemars(range(min = MIN_DIGEST_PERIOD_MS, max = MAX_DIGEST_PERIOD_MS))]
    pub digest_period_ms: u32,
}

impl Default for Policies {
    fn default() -> Self {
        Policies {
            prefer: Prefer::default(),
            placement: PlacementPolicy::default(),
            choice: ChoicePolicy::default(),
            queue: QueuePolicy::default(),
            admission: AdmissionPolicy::default(),
            eject_failing: true,
            shun_slow: true,
            forward_overflow: true,
            retry_percent: 10,
            max_queued_tasks: 20_000,
            digest_period_ms: 200,
        }
    }
}
