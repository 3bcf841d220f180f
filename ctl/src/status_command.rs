//! `almondctl status`: reports which entry instances are ready, and which revision each has in
//! force.

use std::net::SocketAddr;
use std::time::Duration;

use almondhead_net::InstanceRole;
use almondhead_net::ListedInstance;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::report::write_report;
use crate::status_probe::ProbeResult;
use crate::status_probe::probe;
use crate::status_report::InstanceStatus;
use crate::status_report::StatusReport;

/// The subcommand's name.
pub(crate) const NAME: &str = "status";

const AT: &str = "at";
const OPERATOR_PORT: &str = "operator-port";

const LONG_ABOUT: &str = "\
Asks every entry instance of the platform's list for its state and the revision it has in force, \
through the paths /readyz and /metrics of its operators' listener.

The list tells where callers reach an instance. Give with --operator-port the port at which the \
operators' listener answers on the same IP address, or name the listeners with --at; those are \
asked in place of the list, also while the platform is down.";

/// The subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Shows which entry instances are ready and which revision each has in force")
        .long_about(LONG_ABOUT)
        .arg(
            Arg::new(OPERATOR_PORT)
                .long(OPERATOR_PORT)
                .value_name("PORT")
                .help("The port of the operators' listener on each listed instance")
                .value_parser(value_parser!(u16).range(1..)),
        )
        .arg(
            Arg::new(AT)
                .long(AT)
                .value_name("IP:PORT")
                .help("An operators' listener to ask in place of the list; may be given often")
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr)),
        )
}

/// Probes the entry instances and writes their state.
///
/// The report is also written when the head can't be read; the command fails afterwards.
pub(crate) async fn run(context: &Context, arguments: &ArgMatches) -> Result<Exit, CtlError> {
    let named: Vec<SocketAddr> = arguments
        .get_many(AT)
        .map(|addresses| addresses.copied().collect())
        .unwrap_or_default();
    let port = arguments.get_one(OPERATOR_PORT).copied();
    let head = context.store()?.head().await;
    let targets = match named.is_empty() {
        true => listed_targets(context, port).await?,
        false => named.into_iter().map(named_target).collect(),
    };
    let instances = probe_all(context, targets).await;
    let report = StatusReport {
        head: head.as_ref().ok().cloned().flatten(),
        instances,
    };
    write_report(context.format, &report)?;
    head?;
    Ok(match report.is_as_intended() {
        true => Exit::Ok,
        false => Exit::Faults,
    })
}

async fn listed_targets(
    context: &Context,
    port: Option<u16>,
) -> Result<Vec<InstanceStatus>, CtlError> {
    let list = context.platform()?.list_instances().await?;
    let entries = list
        .instances
        .into_iter()
        .filter(|instance| instance.role == InstanceRole::Entry);
    Ok(entries.map(|entry| listed_target(entry, port)).collect())
}

fn listed_target(entry: ListedInstance, port: Option<u16>) -> InstanceStatus {
    let address = entry.address.map(|mut address| {
        address.set_port(port.unwrap_or(address.port()));
        address
    });
    InstanceStatus {
        name: Some(entry.name),
        data_centre: Some(entry.data_centre),
        listed_as: Some(entry.state),
        address,
        ready: false,
        revision: None,
        reason: Some("the list tells no address".to_owned()),
    }
}

fn named_target(address: SocketAddr) -> InstanceStatus {
    InstanceStatus {
        name: None,
        data_centre: None,
        listed_as: None,
        address: Some(address),
        ready: false,
        revision: None,
        reason: None,
    }
}

/// Probes all instances concurrently, so that unresponsive ones delay the command only once.
async fn probe_all(context: &Context, targets: Vec<InstanceStatus>) -> Vec<InstanceStatus> {
    let timeout = context.timeout;
    let probes: Vec<_> = targets
        .into_iter()
        .map(|target| smol::spawn(probe_target(target, timeout)))
        .collect();
    let mut instances = Vec::new();
    for probe in probes {
        instances.push(probe.await);
    }
    instances
}

async fn probe_target(mut target: InstanceStatus, timeout: Duration) -> InstanceStatus {
    if let Some(address) = target.address {
        let ProbeResult {
            ready,
            revision,
            reason,
        } = probe(address, timeout).await;
        target.ready = ready;
        target.revision = revision;
        target.reason = reason;
    }
    target
}
