//! Puts load on a site of leased runs on this machine and prints what its entry processes use for
//! each job: processor time, context switches, orders, log lines.

use std::error::Error;
use std::fs;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use almondhead_lib::runs::job_spec::JobSpec;
use almondhead_net::HttpClient;
use almondhead_net::HttpRequest;
use almondhead_net::HttpSettings;
use almondhead_net::Method;
use almondhead_platform_standins::ProcessSite;
use almondhead_platform_standins::submit_over;
use almondhead_testsupport::run_site::run_job;
use clap::Arg;
use clap::Command;
use clap::value_parser;
use indexmap::IndexMap;
use smol::Timer;

/// The time before the measurement, in which the instances take over their upstreams.
const WARM_UP: Duration = Duration::from_secs(3);

/// How long a caller waits for its answer.
const CALLER_WAIT: Duration = Duration::from_secs(3);

/// The processor capacity that a task takes, in millicores.
const TASK_MILLICORES: u32 = 3_000;

/// A kind of job with its share of the arrivals, out of 166.
struct JobKind {
    share: u64,
    tasks: u32,
    run_ms: u64,
}

/// The kinds of job, as in the deployments with three queues.
const KINDS: [JobKind; 3] = [
    JobKind {
        share: 50,
        tasks: 8,
        run_ms: 55,
    },
    JobKind {
        share: 110,
        tasks: 2,
        run_ms: 180,
    },
    JobKind {
        share: 6,
        tasks: 4,
        run_ms: 800,
    },
];

/// What the processes have used so far.
#[derive(Clone, Copy, Default)]
struct Usage {
    user_ticks: u64,
    kernel_ticks: u64,
    switches: u64,
    log_lines: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let count = |name: &'static str, value: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(value)
            .value_parser(value_parser!(u64))
    };
    let arguments = Command::new("leased_load")
        .about("Puts load on a site of leased runs between stand-ins")
        .arg(count("instances", "4"))
        .arg(count("upstreams", "24"))
        .arg(count("jobs-per-second", "160"))
        .arg(count("seconds", "20"))
        .get_matches();
    let argument = |name: &str| arguments.get_one::<u64>(name).copied().unwrap_or_default();
    let (instances, upstreams) = (argument("instances"), argument("upstreams"));
    let (rate, seconds) = (argument("jobs-per-second").max(1), argument("seconds"));
    smol::block_on(async {
        let site = ProcessSite::start(instances as usize, upstreams as usize).await?;
        let ids = site
            .instances
            .iter()
            .map(|instance| instance.process.id().to_string());
        println!("processes {}", ids.collect::<Vec<String>>().join(","));
        Timer::after(WARM_UP).await;
        put_load(&site, rate, seconds).await
    })
}

/// Submits jobs at a constant rate, and prints the use of the processes meanwhile.
async fn put_load(site: &ProcessSite, rate: u64, seconds: u64) -> Result<(), Box<dyn Error>> {
    let client = Arc::new(HttpClient::new(HttpSettings {
        connections: 256,
        ..HttpSettings::default()
    }));
    let before = (usage(site)?, orders(&client, site).await?);
    println!("load begins");
    let started_at = Instant::now();
    let jobs = rate * seconds;
    let mut calls = Vec::new();
    for number in 0..jobs {
        Timer::at(started_at + Duration::from_micros(number * 1_000_000 / rate)).await;
        let address = site.instances[number as usize % site.instances.len()].caller_address;
        let client = Arc::clone(&client);
        calls.push(smol::spawn(async move {
            let path = format!("/look/{number:016x}");
            let answer = submit_over(&client, address, &path, &job(number), CALLER_WAIT).await;
            answer.is_ok_and(|answer| answer.state.as_deref() == Some("completed"))
        }));
    }
    let mut completed = 0;
    for call in calls {
        completed += u64::from(call.await);
    }
    let (used, ordered) = (usage(site)?, orders(&client, site).await?);
    let each = |after: u64, before: u64| (after - before) as f64 / jobs as f64;
    println!("jobs {jobs}, completed {completed}; each:");
    // A tick is a hundredth of a second.
    let milliseconds = |after: u64, before: u64| each(after, before) * 10.0;
    println!(
        "  user ms    {:.3}",
        milliseconds(used.user_ticks, before.0.user_ticks)
    );
    println!(
        "  kernel ms  {:.3}",
        milliseconds(used.kernel_ticks, before.0.kernel_ticks)
    );
    println!("  switches   {:.1}", each(used.switches, before.0.switches));
    println!(
        "  log lines  {:.1}",
        each(used.log_lines, before.0.log_lines)
    );
    for (order, times) in ordered {
        let times_before = before.1.get(&order).copied().unwrap_or_default();
        println!("  {order}  {:.2}", each(times, times_before));
    }
    Ok(())
}

/// Returns the job with a number: the kinds are spread by a fixed sequence.
fn job(number: u64) -> JobSpec {
    let total: u64 = KINDS.iter().map(|kind| kind.share).sum();
    let mut left = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    left %= total;
    for kind in &KINDS {
        if left < kind.share {
            let mut job = run_job(kind.tasks, TASK_MILLICORES, kind.run_ms);
            job.payload = Arc::from(kind.run_ms.to_string());
            return job;
        }
        left -= kind.share;
    }
    run_job(1, TASK_MILLICORES, 50)
}

fn usage(site: &ProcessSite) -> Result<Usage, Box<dyn Error>> {
    let mut usage = Usage::default();
    for instance in &site.instances {
        let folder = format!("/proc/{}", instance.process.id());
        let stat = fs::read_to_string(format!("{folder}/stat"))?;
        let fields = stat.rsplit(") ").next().unwrap_or_default();
        let ticks = |index: usize| fields.split(' ').nth(index)?.parse::<u64>().ok();
        usage.user_ticks += ticks(11).unwrap_or_default();
        usage.kernel_ticks += ticks(12).unwrap_or_default();
        for thread in fs::read_dir(format!("{folder}/task"))? {
            let status = fs::read_to_string(thread?.path().join("status"))?;
            let counts = status
                .lines()
                .filter_map(|line| line.split_once("voluntary_ctxt_switches:"))
                .filter_map(|(_, count)| count.trim().parse::<u64>().ok());
            usage.switches += counts.sum::<u64>();
        }
        usage.log_lines += instance.process.output().len() as u64;
    }
    Ok(usage)
}

/// Returns the number of orders by their labels, of all instances together.
async fn orders(
    client: &HttpClient,
    site: &ProcessSite,
) -> Result<IndexMap<String, u64>, Box<dyn Error>> {
    let mut orders = IndexMap::new();
    for instance in &site.instances {
        let request = HttpRequest::new(Method::GET, instance.operator_address, "/metrics");
        let response = client.send(request, CALLER_WAIT).await?;
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let lines = text
            .lines()
            .filter(|line| line.starts_with("almondhead_orders_total"));
        for (labels, times) in lines.filter_map(|line| line.rsplit_once(' ')) {
            *orders.entry(labels.to_owned()).or_default() += times.parse::<u64>()?;
        }
    }
    Ok(orders)
}
