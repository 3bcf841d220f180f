//! The settings of one entry process.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use almondhead_lib::session_token::MAX_INSTANCE_BYTES;
use almondhead_macros::value;
use derive_more::Display;
use derive_more::Error;
use serde_json::Value;

use crate::secret::Secret;
use crate::settings_reader::SettingsProblem;
use crate::settings_reader::SettingsReader;

/// What one entry process must be told: its place, its addresses and its limits.
#[value]
pub struct Settings {
    /// The instance's name, unique over the site.
    pub instance: String,
    /// The name of its data centre.
    pub data_centre: String,
    /// Where callers reach it over HTTP.
    pub caller_address: SocketAddr,
    /// Where other entry instances reach it.
    pub peer_address: SocketAddr,
    /// Where operators reach it over HTTP.
    pub operator_address: SocketAddr,
    /// The platform's HTTP address.
    pub platform_address: SocketAddr,
    /// A document to start with in place of the platform's.
    pub document_file: Option<PathBuf>,
    /// The key that all entry instances of the firm share.
    pub peer_key: Secret,
    /// The threads that run the process's tasks.
    pub executor_threads: usize,
    /// Which log lines are written, in the syntax of `tracing`'s `EnvFilter`.
    pub log_filter: String,
    /// Where spans are written.
    pub trace_output: TraceOutput,
    /// How long a stopping process shows as not ready before it closes its listeners, in ms.
    pub stop_notice_ms: u64,
    /// How it speaks to the platform.
    pub platform: PlatformSettings,
    /// The bounds on what callers may ask and on what is kept.
    pub limits: Limits,
    /// How it dispatches leased runs on the operators' platform; none for tasks over HTTP.
    pub leased_runs: Option<LeasedRuns>,
}

/// How the process dispatches leased runs on the operators' platform.
#[value]
#[derive(Copy)]
pub struct LeasedRuns {
    /// Where the platform asks whether to send callers here.
    pub ready_address: SocketAddr,
    /// How long upstreams keep running what nobody holds, in milliseconds: the longest lease that
    /// they grant.
    pub lease_ms: u64,
    /// How long a process that is asked to stop may take before it is killed, in milliseconds.
    pub stop_grace_ms: u64,
}

/// Where spans are written, one JSON object a line.
#[value]
pub enum TraceOutput {
    /// Nowhere; trace context is passed on unchanged.
    None,
    /// To the standard error stream.
    Stderr,
    /// To the end of a file.
    File(PathBuf),
}

/// How the process speaks to the platform.
#[value]
pub struct PlatformSettings {
    /// How long one call may take, in milliseconds.
    pub timeout_ms: u64,
    /// The time between looks at the document's head, in milliseconds.
    pub document_poll_ms: u64,
    /// The time between looks at the list of instances, in milliseconds.
    pub instances_poll_ms: u64,
    /// The most writes a second for claims of idempotency keys.
    pub claim_writes_per_second: u64,
    /// The most claims that one write carries.
    pub claims_per_write: usize,
    /// The most claims that wait for a write.
    pub waiting_claims: usize,
}

/// The bounds on what callers may ask and on what is kept.
#[value]
pub struct Limits {
    /// The longest request body in bytes.
    pub body_bytes: u64,
    /// The longest request head in bytes.
    pub head_bytes: usize,
    /// The most tasks of one job, whatever its service allows.
    pub tasks_per_job: usize,
    /// The most connections of callers at a time.
    pub connections: usize,
    /// How long a request body may take to arrive, in milliseconds.
    pub body_ms: u64,
    /// How long a connection may stand without a request, in milliseconds.
    pub idle_ms: u64,
    /// The most events that wait for the dispatcher.
    pub waiting_events: usize,
    /// The most jobs that are open or kept for their answers.
    pub jobs: usize,
    /// The most sessions.
    pub sessions: usize,
    /// The most job numbers of one session that are remembered.
    pub session_window: u64,
    /// How long answers are kept, in milliseconds.
    pub keep_answers_ms: u64,
}

/// Settings that cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("read settings {}: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The text is no JSON with comments.
    #[display("parse settings: line {line}, column {column}: {reason}")]
    Syntax {
        /// The line, from one.
        line: usize,
        /// The column, from one.
        column: usize,
        /// What is wrong.
        reason: String,
    },
    /// Values are missing, wrong or unknown.
    #[display("check settings: {}", lines(problems))]
    Invalid {
        /// Every fault found.
        #[error(not(source))]
        problems: Vec<SettingsProblem>,
    },
}

fn lines(problems: &[SettingsProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

const MIN_PEER_KEY_BYTES: usize = 32;

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// A file that cannot be read, a fault of syntax, or all other faults at once.
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
    /// A fault of syntax, or all other faults at once.
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
        instance: reader.short_text("instance", MAX_INSTANCE_BYTES),
        data_centre: reader.short_text("data_centre", MAX_INSTANCE_BYTES),
        caller_address: reader.address("caller_address"),
        peer_address: reader.address("peer_address"),
        operator_address: reader.address("operator_address"),
        platform_address: reader.address("platform_address"),
        document_file: reader.optional_text("document_file").map(PathBuf::from),
        peer_key: read_peer_key(reader, leased_runs.is_some()),
        executor_threads: reader.count("executor_threads", 1..=256, 2),
        log_filter: read_log_filter(reader),
        trace_output: read_trace_output(reader),
        stop_notice_ms: reader.number("stop_notice_ms", 0..=600_000, 2_000),
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
        stop_grace_ms: reader.number("stop_grace_ms", 1_000..=600_000, 6_000),
    };
    problems.extend(reader.finish());
    Some(leased_runs)
}

/// The key that the instances share; those of leased runs may keep it in the platform's store.
fn read_peer_key(reader: &mut SettingsReader, may_be_stored: bool) -> Secret {
    let key = match may_be_stored {
        true => reader.optional_text("peer_key").unwrap_or_default(),
        false => reader.text("peer_key"),
    };
    if !key.is_empty() && key.len() < MIN_PEER_KEY_BYTES {
        reader.report_field("peer_key", "must hold at least 32 bytes");
    }
    Secret::new(key)
}

fn read_log_filter(reader: &mut SettingsReader) -> String {
    let filter = reader
        .optional_text("log_filter")
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
    match reader.optional_text("trace_output").as_deref() {
        None | Some("none") => TraceOutput::None,
        Some("stderr") => TraceOutput::Stderr,
        Some(file) => TraceOutput::File(PathBuf::from(file)),
    }
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
