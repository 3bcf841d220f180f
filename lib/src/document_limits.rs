//! The limits on documents, shared by the checker and the JSON Schema.

/// The maximum number of bytes of a document's text.
pub const MAX_DOCUMENT_BYTES: usize = 4 * 1024 * 1024;

/// The maximum number of commas and colons in a document's text; bounds the memory of its tree.
pub const MAX_SEPARATORS: usize = 200_000;

/// The maximum number of problems that one check reports.
pub const MAX_PROBLEMS: usize = 1_000;

/// The maximum number of characters of a name.
pub const MAX_NAME_CHARS: u32 = 100;

/// The maximum number of characters of a service's path.
pub const MAX_PATH_CHARS: u32 = 1_000;

/// The maximum number of data centres of a document.
pub const MAX_DATA_CENTRES: usize = 64;

/// The maximum number of entry instances of a document.
pub const MAX_INSTANCES: usize = 1_000;

/// The maximum number of services of a document.
pub const MAX_SERVICES: usize = 200;

/// The maximum number of upstreams of a document.
pub const MAX_UPSTREAMS: usize = 5_000;

/// The maximum number of teams of a document.
pub const MAX_TEAMS: usize = 1_000;

/// The maximum one-way network time in microseconds.
pub const MAX_ONE_WAY_US: u32 = 1_000_000;

/// The maximum deadline of a job in milliseconds.
pub const MAX_DEADLINE_MS: u32 = 60_000;

/// The maximum number of tasks of one job.
pub const MAX_TASKS_PER_JOB: u32 = 4_096;

/// The maximum number of bytes of one task's input.
pub const MAX_INPUT_BYTES: u32 = 16 * 1024 * 1024;

/// The maximum number of slots of one upstream.
pub const MAX_SLOTS: u32 = 10_000;

/// The maximum number of connections of one upstream.
pub const MAX_CONNECTIONS: u32 = 65_535;

/// The maximum number of processors of one upstream.
pub const MAX_CORES: u32 = 65_536;

/// The maximum memory of one upstream in mebibytes.
pub const MAX_MEMORY_MIB: u32 = 64 * 1024 * 1024;

/// The maximum number of accelerators of one upstream.
pub const MAX_ACCELERATORS: u32 = 1_024;

/// The maximum weight of a team.
pub const MAX_WEIGHT: u32 = 1_000_000;

/// The maximum number of open tasks that a team may have at one entry instance.
pub const MAX_OPEN_TASKS: u32 = 10_000_000;

/// The maximum number of tasks per second that a team may submit.
pub const MAX_TASKS_PER_SECOND: u32 = 10_000_000;

/// The maximum number of retries per 100 first attempts.
pub const MAX_RETRY_PERCENT: u32 = 100;

/// The maximum number of tasks that one entry instance may queue for one service.
pub const MAX_QUEUED_TASKS: u32 = 10_000_000;

/// The minimum time between load digests in milliseconds.
pub const MIN_DIGEST_PERIOD_MS: u32 = 50;

/// The maximum time between load digests in milliseconds.
pub const MAX_DIGEST_PERIOD_MS: u32 = 10_000;

/// The earliest time of leaving, the start of the year 2020, in milliseconds since the Unix epoch.
///
/// A time given in seconds by mistake is below it.
pub const MIN_LEAVES_AT_UNIX_MS: u64 = 1_577_836_800_000;

/// The latest time of leaving, the start of the year 2100, in milliseconds since the Unix epoch.
pub const MAX_LEAVES_AT_UNIX_MS: u64 = 4_102_444_800_000;
