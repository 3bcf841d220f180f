//! The options of the load driver, and their command-line arguments.

use std::net::SocketAddr;
use std::time::Duration;

use almondhead_macros::key;
use almondhead_macros::value;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::builder::PossibleValuesParser;
use clap::value_parser;

use crate::load_error::LoadError;

/// The maximum duration of a load in seconds.
const MAX_DURATION_S: u64 = 3_600;

/// The maximum number of requests of one load.
const MAX_REQUESTS: u64 = 10_000_000;

/// How the entry instance of each job is selected.
#[key]
pub enum EntrySelection {
    /// The instance that opened the session, as behind a load balancer with kept-alive connections.
    Home,
    /// Every instance in turn.
    RoundRobin,
}

/// A period of the load with a higher arrival rate.
#[value]
#[derive(Copy)]
pub struct Burst {
    /// The time from the start of the load to the start of the burst.
    pub start: Duration,
    /// How long the burst lasts.
    pub duration: Duration,
}

/// The parameters of one load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// The addresses at which the entry instances serve callers.
    pub entries: Vec<SocketAddr>,
    /// The addresses of the operators' listeners, which serve metrics; none are read when empty.
    pub operator_addresses: Vec<SocketAddr>,
    /// The service that runs the tasks.
    pub service: String,
    /// The teams for which jobs are submitted, in turn.
    pub teams: Vec<String>,
    /// How the entry of each job is selected.
    pub entry_selection: EntrySelection,
    /// The number of sessions opened at each entry.
    pub sessions: usize,
    /// The maximum number of connections to each entry.
    pub connections: usize,
    /// The total number of slots of all upstreams.
    pub slots: u32,
    /// The offered load as a share of the capacity of the slots.
    pub load: f64,
    /// How long jobs are submitted.
    pub duration: Duration,
    /// The maximum number of requests sent.
    pub max_requests: u64,
    /// The share of requests that are single tasks, 0 to 1.
    pub single_share: f64,
    /// The factor applied to every run time.
    pub run_scale: f64,
    /// The ratio of declared to actual run time; no run time is declared when absent.
    pub declared_factor: Option<f64>,
    /// The timeout of each job.
    pub timeout: Duration,
    /// The total time of the round trips that every response needs.
    pub round_trips: Duration,
    /// The factor applied to the arrival rate during the burst.
    pub burst_factor: f64,
    /// The period of the burst; absent when the factor is 1 or less.
    pub burst: Option<Burst>,
    /// When a share of the open jobs is cancelled, from the start of the load.
    pub cancel_at: Option<Duration>,
    /// The share of the open jobs that is cancelled then, 0 to 1.
    pub cancel_share: f64,
    /// Whether a refused job is sent again after the `retry_after_ms` of its answer.
    pub follow_retry: bool,
    /// The seed of the random job plan.
    pub seed: u64,
}

impl LoadOptions {
    /// Adds the load's arguments to a subcommand.
    pub fn with_arguments(command: Command) -> Command {
        command
            .args(site_arguments())
            .args(arrival_arguments())
            .args(wave_arguments())
            .arg(flag(
                "follow-retry",
                "Send refused jobs again when they are told to",
            ))
            .arg(count("seed", "1", "Seed of all that is drawn"))
    }

    /// Reads the options from parsed arguments.
    ///
    /// # Errors
    ///
    /// [`LoadError::InvalidOption`] for a value outside its range.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, LoadError> {
        let burst_factor = positive(matches, "burst-factor")?;
        let burst = Burst {
            start: seconds(matches, "burst-from-s"),
            duration: seconds(matches, "burst-for-s"),
        };
        let declared = matches.contains_id("declared-factor");
        let cancelled = matches.contains_id("cancel-at-s");
        Ok(LoadOptions {
            entries: list(matches, "entry"),
            operator_addresses: list(matches, "operators"),
            service: first(matches, "service"),
            teams: list(matches, "teams"),
            entry_selection: match first::<String>(matches, "via").as_str() {
                "any" => EntrySelection::RoundRobin,
                _ => EntrySelection::Home,
            },
            sessions: bounded(matches, "sessions", 1, 1_000)?,
            connections: bounded(matches, "connections", 1, 65_536)?,
            slots: bounded(matches, "slots", 1, 1_000_000)?,
            load: positive(matches, "load")?,
            duration: Duration::from_secs(bounded(matches, "duration-s", 1, MAX_DURATION_S)?),
            max_requests: bounded(matches, "max-requests", 1, MAX_REQUESTS)?,
            single_share: share(matches, "single-share")?,
            run_scale: positive(matches, "run-scale")?,
            declared_factor: match declared {
                true => Some(positive(matches, "declared-factor")?),
                false => None,
            },
            timeout: Duration::from_millis(bounded(matches, "job-timeout-ms", 1, 3_600_000)?),
            round_trips: Duration::from_secs_f64(positive(matches, "round-trips-ms")? / 1e3),
            burst_factor,
            burst: (burst_factor > 1.0).then_some(burst),
            cancel_at: cancelled.then(|| seconds(matches, "cancel-at-s")),
            cancel_share: share(matches, "cancel-share")?,
            follow_retry: matches.get_flag("follow-retry"),
            seed: first(matches, "seed"),
        })
    }
}

fn site_arguments() -> [Arg; 8] {
    [
        addresses("entry", "Where entries take callers").required(true),
        addresses("operators", "Where the same entries give metrics"),
        text("service", "lookup", "The service that runs the tasks"),
        text("teams", "agents", "The teams that submit, with commas").value_delimiter(','),
        text("via", "home", "Which entry gets a session's jobs")
            .value_parser(PossibleValuesParser::new(["home", "any"])),
        count("sessions", "4", "Sessions opened at each entry"),
        count("connections", "1024", "Most connections to each entry"),
        count("slots", "400", "Slots of all upstreams"),
    ]
}

fn arrival_arguments() -> [Arg; 8] {
    [
        number(
            "load",
            "0.8",
            "Offered tasks as a share of what the slots run",
        ),
        count("duration-s", "30", "How long jobs are offered, in seconds"),
        count("max-requests", "1000000", "Most requests sent"),
        number(
            "single-share",
            "0.5",
            "Share of requests that are single tasks",
        ),
        number("run-scale", "1", "Stretches every run time"),
        number("declared-factor", "", "Declared over true run time"),
        count(
            "job-timeout-ms",
            "10000",
            "Time that each job is given, in milliseconds",
        ),
        number(
            "round-trips-ms",
            "1",
            "Unavoidable round trips, in milliseconds",
        ),
    ]
}

fn wave_arguments() -> [Arg; 5] {
    [
        number("burst-factor", "1", "How much more arrives in the burst"),
        count("burst-from-s", "10", "When the burst starts, in seconds"),
        count("burst-for-s", "5", "How long the burst lasts, in seconds"),
        count(
            "cancel-at-s",
            "",
            "When a wave of cancellations starts, in seconds",
        ),
        number(
            "cancel-share",
            "0.5",
            "Share of open jobs that the wave cancels",
        ),
    ]
}

fn addresses(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT,...")
        .help(help)
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr))
}

fn argument(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    let argument = Arg::new(name).long(name).help(help);
    match default {
        "" => argument,
        _ => argument.default_value(default),
    }
}

fn text(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    argument(name, default, help).value_name("NAME")
}

fn count(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    argument(name, default, help)
        .value_name("COUNT")
        .value_parser(value_parser!(u64))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    argument(name, default, help)
        .value_name("NUMBER")
        .value_parser(value_parser!(f64))
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .action(ArgAction::SetTrue)
}

fn first<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one(name)
        .cloned()
        .expect("the option has a default")
}

fn list<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    let values = matches.get_many(name);
    values.map_or_else(Vec::new, |values| values.cloned().collect())
}

fn seconds(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_secs(first(matches, name))
}

fn bounded<T: TryFrom<u64>>(
    matches: &ArgMatches,
    option: &'static str,
    min: u64,
    max: u64,
) -> Result<T, LoadError> {
    let value: u64 = first(matches, option);
    let in_range = (min..=max).contains(&value).then_some(value);
    let converted = in_range.and_then(|value| T::try_from(value).ok());
    converted.ok_or(LoadError::InvalidOption {
        option,
        expected: "at least 1 and at most the limit of this option",
    })
}

fn positive(matches: &ArgMatches, option: &'static str) -> Result<f64, LoadError> {
    let value: f64 = first(matches, option);
    match value.is_finite() && value > 0.0 {
        true => Ok(value),
        false => Err(LoadError::InvalidOption {
            option,
            expected: "a number above zero",
        }),
    }
}

fn share(matches: &ArgMatches, option: &'static str) -> Result<f64, LoadError> {
    let value: f64 = first(matches, option);
    match (0.0..=1.0).contains(&value) {
        true => Ok(value),
        false => Err(LoadError::InvalidOption {
            option,
            expected: "between 0 and 1",
        }),
    }
}
