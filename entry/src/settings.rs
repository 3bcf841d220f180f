//! The settings of an entry process, and their file.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use almondhead_lib::runs::overload::OverloadPolicy;
use almondhead_lib::session_token::MAX_INSTANCE_BYTES;
use almondhead_macros::value;
use derive_more::Display;
use derive_more::Error;
use serde_json::Value;

use crate::machine::Machine;
use crate::secret::Secret;
use crate::settings_reader::SettingsProblem;
use crate::settings_reader::SettingsReader;

/// The settings of an entry process: its identity, addresses, limits and outputs.
#[value]
pub struct Settings {
    /// The instance's name, unique within the site.
    pub instance: String,
    /// The name of the instance's data centre.
    pub data_centre: String,
    /// The address at which it serves callers over HTTP.
    pub caller_address: SocketAddr,
    /// The address at which it receives messages of other entry instances.
    pub peer_address: SocketAddr,
    /// The address at which it serves operators over HTTP.
    pub operator_address: SocketAddr,
    /// The platform's HTTP address.
    pub platform_address: SocketAddr,
    /// A document file to use instead of the platform's document.
    pub document_file: Option<PathBuf>,
    /// The key that all entry instances of the firm share; it authenticates their messages.
    pub peer_key: Secret,
    /// Number of threads of the async executor.
    pub executor_threads: usize,
    /// Which log lines are written, in the syntax of `tracing`'s `EnvFilter`.
    pub log_filter: String,
    /// Where spans are written.
    pub trace_output: TraceOutput,
    /// How long a stopping process reports not ready before it closes its listeners, in ms.
    pub stop_notice_ms: u64,
    /// What the process may use of its machine.
    pub machine: Machine,
    /// How the process calls the platform.
    pub platform: PlatformSettings,
    /// Limits on callers' requests and on the state that is kept.
    pub limits: Limits,
    /// The settings of leased runs on the operators' platform; none to dispatch tasks over HTTP.
    pub leased_runs: Option<LeasedRuns>,
}

/// The settings of a process that dispatches leased runs on the operators' platform.
#[value]
#[derive(Copy)]
pub struct LeasedRuns {
    /// The address at which the platform asks for the readiness of the instance.
    pub ready_address: SocketAddr,
    /// The longest lease that upstreams grant, in milliseconds: how long they keep running tasks
    /// whose leases are not renewed.
    pub lease_ms: u64,
    /// How long after its connection broke a caller submits its job again, at the earliest, in milliseconds.
    pub caller_retry_pause_ms: u64,
    /// How long an upstream takes at most to stop a task, in milliseconds.
    pub max_stop_ms: u64,
    /// How long a stopping process may take before it is killed, in milliseconds.
    pub stop_grace_ms: u64,
    /// The longest time since the operators' rows were read within which a request for a queue that they
    /// do not have is answered as such, in milliseconds.
    pub max_intended_age_ms: u64,
    /// The processor capacity of the machine in thousandths of a core, if the settings give it.
    pub processor_millicores: Option<u32>,
    /// What gives way when upstreams have too little capacity.
    pub overload: OverloadPolicy,
}

/// Where spans are written, as one JSON object a line.
#[value]
pub enum TraceOutput {
    /// Nowhere; the trace context of requests is propagated unchanged.
    None,
    /// To the standard error stream.
    Stderr,
    /// Appended to a file.
    File(PathBuf),
}

/// Timeouts, poll intervals and limits of the calls to the platform.
#[value]
pub struct PlatformSettings {
    /// The timeout of one call, in milliseconds.
    pub timeout_ms: u64,
    /// The interval between two reads of the document's head, in milliseconds.
    pub document_poll_ms: u64,
    /// The interval between two reads of the list of instances, in milliseconds.
    pub instances_poll_ms: u64,
    /// Maximum number of writes a second for claims of idempotency keys.
    pub claim_writes_per_second: u64,
    /// Maximum number of claims in one write.
    pub claims_per_write: usize,
    /// Maximum number of claims that wait for a write.
    pub waiting_claims: usize,
}

/// Limits on callers' requests and on the state that is kept.
#[value]
pub struct Limits {
    /// Maximum length of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum length of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum number of tasks of one job, whatever its service allows.
    pub tasks_per_job: usize,
    /// Maximum number of bytes that a caller may send ahead of its answers on one connection.
    pub ahead_bytes: u64,
    /// Maximum number of open connections of each HTTP listener; the machine may allow fewer.
    pub connections: usize,
    /// How long a request body may take to arrive, in milliseconds.
    pub body_ms: u64,
    /// How long a connection may be idle between requests, in milliseconds.
    pub idle_ms: u64,
    /// Maximum number of events that wait for the dispatcher.
    pub waiting_events: usize,
    /// Maximum number of jobs that are open or whose answers are kept.
    pub jobs: usize,
    /// Maximum number of sessions.
    pub sessions: usize,
    /// Maximum number of job numbers that are remembered for one session.
    pub session_window: u64,
    /// How long answers are kept, in milliseconds.
    pub keep_answers_ms: u64,
}

/// Why settings cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("read settings {}: {source}", file.display())]
    Read {
        /// The path of the file.
        file: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// The text is not valid JSON with comments.
    #[display("parse settings: line {line}, column {column}: {reason}")]
    Syntax {
        /// The line, counted from one.
        line: usize,
        /// The column, counted from one.
        column: usize,
        /// The error of the parser.
        reason: String,
    },
    /// Settings are missing, invalid or unknown.
    #[display("check settings: {}", one_per_line(problems))]
    Invalid {
        /// Every problem found.
        #[error(not(source))]
        problems: Vec<SettingsProblem>,
    },
}

fn one_per_line(problems: &[SettingsProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

const BYTES_PER_MB: u64 = 1_024 * 1_024;

/// The memory that a machine may be said to have, in MiB.
const MIN_MEMORY_MB: u64 = 16;
const MAX_MEMORY_MB: u64 = 16 * 1_024 * 1_024;

/// The descriptors that a machine may be said to have.
const MIN_DESCRIPTORS: u64 = 64;
const MAX_DESCRIPTORS: u64 = 16 * 1_024 * 1_024;

/// Upper bound on the share of one core that a machine may be given.
const MAX_PROCESSOR_SHARE: f64 = 1.0;

/// Minimum length of the peer key, in bytes.
const MIN_PEER_KEY_BYTES: usize = 32;

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] when the file cannot be read, is not valid JSON with comments, or has
    /// problems, all of which are reported at once.
    pub fn load(file: &Path) -> Result<Settings, SettingsError> {
        let text = fs::read_to_string(file).map_err(|source| SettingsError::Read {
            file: file.to_owned(),
            source,
        })?;
        Settings::parse(&text)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] when the text is not valid JSON with comments, or has problems, which are
    /// reported all at once.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let value = jsonc_parser::parse_to_serde_value::<Value>(text, &Default::default());
        let value = value.map_err(|error| SettingsError::Syntax {
            line: error.line_display(),
            column: error.column_display(),
            reason: error.kind().to_string(),
        })?;
        let mut reader = SettingsReader::new(String::new(), value);
        let mut problems = Vec::new();
        let settings = read_settings(&mut reader, &mut problems);
        let mut own_problems = reader.finish();
        own_problems.extend(problems);
        match own_problems.is_empty() {
            true => Ok(settings),
            false => Err(SettingsError::Invalid {
                problems: own_problems,
            }),
        }
    }
}

fn read_settings(reader: &mut SettingsReader, problems: &mut Vec<SettingsProblem>) -> Settings {
    let leased_runs = read_leased_runs(reader, problems);
    Settings {
        instance: reader.bounded_string("instance", MAX_INSTANCE_BYTES),
        data_centre: reader.bounded_string("data_centre", MAX_INSTANCE_BYTES),
        caller_address: reader.address("caller_address"),
        peer_address: reader.address("peer_address"),
        operator_address: reader.address("operator_address"),
        platform_address: reader.address("platform_address"),
        document_file: reader.optional_string("document_file").map(PathBuf::from),
        peer_key: read_peer_key(reader, leased_runs.is_some()),
        executor_threads: reader.count("executor_threads", 1..=256, 2),
        log_filter: read_log_filter(reader),
        trace_output: read_trace_output(reader),
        stop_notice_ms: reader.number("stop_notice_ms", 0..=600_000, 2_000),
        machine: read_machine(reader.object("machine"), problems),
        platform: read_platform(reader.object("platform"), problems),
        limits: read_limits(reader.object("limits"), problems),
        leased_runs,
    }
}

fn read_leased_runs(
    reader: &mut SettingsReader,
    problems: &mut Vec<SettingsProblem>,
) -> Option<LeasedRuns> {
    let mut reader = reader.optional_object("leased_runs")?;
    let leased_runs = LeasedRuns {
        ready_address: reader.address("ready_address"),
        lease_ms: reader.number("lease_ms", 100..=60_000, 1_000),
        caller_retry_pause_ms: reader.number("caller_retry_pause_ms", 600..=60_000, 1_300),
        max_stop_ms: reader.number("max_stop_ms", 0..=200, 50),
        stop_grace_ms: reader.number("stop_grace_ms", 1_000..=600_000, 6_000),
        max_intended_age_ms: reader.number("max_intended_age_ms", 100..=60_000, 2_000),
        processor_millicores: read_processor(&mut reader, problems),
        overload: read_overload(&mut reader),
    };
    problems.extend(reader.finish());
    Some(leased_runs)
}

/// Reads the processor capacity: a share of a core that is `cores` times as fast as a usual one.
fn read_processor(reader: &mut SettingsReader, problems: &mut Vec<SettingsProblem>) -> Option<u32> {
    let mut reader = reader.optional_object("processor")?;
    let share = reader.positive("share", MAX_PROCESSOR_SHARE);
    let cores = reader.number("cores", 1..=1_024, 1);
    problems.extend(reader.finish());
    let millicores = share * 1_000.0 * cores as f64;
    Some((millicores.round() as u32).max(1))
}

fn read_overload(reader: &mut SettingsReader) -> OverloadPolicy {
    match reader.optional_string("overload").as_deref() {
        None | Some("by_arrival") => OverloadPolicy::ByArrival,
        Some("by_priority") => OverloadPolicy::ByPriority,
        Some(_) => {
            reader.report_field("overload", "must be by_arrival or by_priority");
            OverloadPolicy::ByArrival
        }
    }
}

/// Reads the peer key, which may be left out when the platform's store holds it.
fn read_peer_key(reader: &mut SettingsReader, may_be_stored: bool) -> Secret {
    let key = match may_be_stored {
        true => reader.optional_string("peer_key").unwrap_or_default(),
        false => reader.string("peer_key"),
    };
    if !key.is_empty() && key.len() < MIN_PEER_KEY_BYTES {
        reader.report_field("peer_key", "must be at least 32 bytes long");
    }
    Secret::new(key)
}

fn read_log_filter(reader: &mut SettingsReader) -> String {
    let filter = reader
        .optional_string("log_filter")
        .unwrap_or_else(|| "info".to_owned());
    if filter
        .parse::<tracing_subscriber::filter::EnvFilter>()
        .is_err()
    {
        reader.report_field("log_filter", "must be a filter like info,almondhead=debug");
    }
    filter
}

fn read_trace_output(reader: &mut SettingsReader) -> TraceOutput {
    match reader.optional_string("trace_output").as_deref() {
        None | Some("none") => TraceOutput::None,
        Some("stderr") => TraceOutput::Stderr,
        Some(file) => TraceOutput::File(PathBuf::from(file)),
    }
}

/// Reads what the process may use of its machine; what is not set is detected.
fn read_machine(mut reader: SettingsReader, problems: &mut Vec<SettingsProblem>) -> Machine {
    let detected = Machine::detect();
    let detected_mb = (detected.memory_bytes / BYTES_PER_MB).clamp(MIN_MEMORY_MB, MAX_MEMORY_MB);
    let detected_count = detected.descriptors.clamp(MIN_DESCRIPTORS, MAX_DESCRIPTORS);
    let memory_mb = reader.number("memory_mb", MIN_MEMORY_MB..=MAX_MEMORY_MB, detected_mb);
    let descriptors = MIN_DESCRIPTORS..=MAX_DESCRIPTORS;
    let machine = Machine {
        memory_bytes: memory_mb * BYTES_PER_MB,
        descriptors: reader.number("descriptors", descriptors, detected_count),
    };
    problems.extend(reader.finish());
    machine
}

fn read_platform(
    mut reader: SettingsReader,
    problems: &mut Vec<SettingsProblem>,
) -> PlatformSettings {
    let platform = PlatformSettings {
        timeout_ms: reader.number("timeout_ms", 10..=60_000, 1_000),
        document_poll_ms: reader.number("document_poll_ms", 50..=60_000, 1_000),
        instances_poll_ms: reader.number("instances_poll_ms", 50..=60_000, 1_000),
        claim_writes_per_second: reader.number("claim_writes_per_second", 1..=10_000, 40),
        claims_per_write: reader.count("claims_per_write", 1..=1_000, 100),
        waiting_claims: reader.count("waiting_claims", 1..=100_000, 2_000),
    };
    problems.extend(reader.finish());
    platform
}

fn read_limits(mut reader: SettingsReader, problems: &mut Vec<SettingsProblem>) -> Limits {
    let limits = Limits {
        body_bytes: reader.number("body_bytes", 1_024..=1_073_741_824, 8 * 1_024 * 1_024),
        head_bytes: reader.count("head_bytes", 1_024..=1_048_576, 16 * 1_024),
        ahead_bytes: reader.number("ahead_bytes", 1_024..=1_073_741_824, 64 * 1_024),
        tasks_per_job: reader.count("tasks_per_job", 1..=100_000, 1_000),
        connections: reader.count("connections", 1..=1_000_000, 4_000),
        body_ms: reader.number("body_ms", 10..=600_000, 10_000),
        idle_ms: reader.number("idle_ms", 100..=86_400_000, 60_000),
        waiting_events: reader.count("waiting_events", 16..=1_000_000, 8_192),
        jobs: reader.count("jobs", 1..=10_000_000, 50_000),
        sessions: reader.count("sessions", 1..=10_000_000, 10_000),
        session_window: reader.number("session_window", 1..=1_000_000, 1_024),
        keep_answers_ms: reader.number("keep_answers_ms", 0..=86_400_000, 60_000),
    };
    problems.extend(reader.finish());
    limits
}
