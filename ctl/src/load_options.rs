//! What the load driver is told on its command line.

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

/// The longest load in seconds.
const MAX_DURATION_S: u64 = 3_600;

/// The most requests of one load.
const MAX_REQUESTS: u64 = 10_000_000;

/// Which entry instance a session's jobs go to.
#[key]
pub enum Via {
    /// The one that opened the session, as behind a balancer with kept connections.
    Home,
    /// Each in turn.
    Any,
}

/// A stretch of the load with more arrivals.
#[value]
#[derive(Copy)]
pub struct Burst {
    /// When it starts.
    pub from: Duration,
    /// How long it lasts.
    pub length: Duration,
}

/// One load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// The addresses at which entries take callers.
    pub entries: Vec<SocketAddr>,
    /// The addresses at which entries give their metrics; none are read when empty.
    pub operators: Vec<SocketAddr>,
    /// The service that runs the tasks.
    pub service: String,
    /// The teams in whose names jobs are submitted, in turn.
    pub teams: Vec<String>,
    /// Which entry a session's jobs go to.
    pub via: Via,
    /// Sessions opened at each entry.
    pub sessions: usize,
    /// The most connections to each entry.
    pub connections: usize,
    /// The slots of all upstreams.
    pub slots: u32,
    /// The tasks offered, as a share of what the slots can run.
    pub load: f64,
    /// How long jobs are offered.
    pub duration: Duration,
    /// The most requests sent.
    pub max_requests: u64,
    /// The share of requests that are single tasks.
    pub single_share: f64,
    /// By how much run times are stretched.
    pub run_scale: f64,
    /// Declared over true run time; nothing is declared when absent.
    pub declared_factor: Option<f64>,
    /// The time that each job is given.
    pub timeout: Duration,
    /// The round trips that no answer can avoid, taken together.
    pub round_trips: Duration,
    /// By how much more arrives in the burst.
    pub burst_factor: f64,
    /// When it does.
    pub burst: Option<Burst>,
    /// When a wave of cancellations starts.
    pub cancel_at: Option<Duration>,
    /// The share of the open jobs that it cancels.
    pub cancel_share: f64,
    /// Whether refused jobs are sent again when they are told to.
    pub follow_retry: bool,
    /// The seed of all that is drawn.
    pub seed: u64,
}

impl LoadOptions {
    /// Adds the arguments to a subcommand.
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

    /// Reads the arguments.
    ///
    /// # Errors
    ///
    /// [`LoadError::Option`] for a value out of its range.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, LoadError> {
        let burst_factor = positive(matches, "burst-factor")?;
        let burst = Burst {
            from: seconds(matches, "burst-from-s"),
            length: seconds(matches, "burst-for-s"),
        };
        let declared = matches.contains_id("declared-factor");
        let cancelled = matches.contains_id("cancel-at-s");
        Ok(LoadOptions {
            entries: list(matches, "entry"),
            operators: list(matches, "operators"),
            service: first(matches, "service"),
            teams: list(matches, "teams"),
            via: match first::<String>(matches, "via").as_str() {
                "any" => Via::Any,
                _ => Via::Home,
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
    matches.get_one(name).cloned().expect("has a default")
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
    least: u64,
    most: u64,
) -> Result<T, LoadError> {
    let value: u64 = first(matches, option);
    let bounded = (least..=most).contains(&value).then_some(value);
    let fitting = bounded.and_then(|value| T::try_from(value).ok());
    fitting.ok_or(LoadError::Option {
        option,
        expected: "above zero and not beyond reason",
    })
}

fn positive(matches: &ArgMatches, option: &'static str) -> Result<f64, LoadError> {
    let value: f64 = first(matches, option);
    match value.is_finite() && value > 0.0 {
        true => Ok(value),
        false => Err(LoadError::Option {
            option,
            expected: "a number above zero",
        }),
    }
}

fn share(matches: &ArgMatches, option: &'static str) -> Result<f64, LoadError> {
    let value: f64 = first(matches, option);
    match (0.0..=1.0).contains(&value) {
        true => Ok(value),
        false => Err(LoadError::Option {
            option,
            expected: "between 0 and 1",
        }),
    }
}
