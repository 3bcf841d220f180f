//! Runs a small site on this machine: entry processes in two data centres, with stand-ins for the
//! upstreams and the platform.
//!
//! It submits a job through an entry that is not the job's home, prints the answer and the
//! addresses of the site, and ends; with `--stay` it runs until standard input closes.

use std::error::Error;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use almondhead_net::Method;
use almondhead_testsupport::site::NORTH;
use almondhead_testsupport::site::SOUTH;
use almondhead_testsupport::site::Site;
use almondhead_testsupport::site::job;
use almondhead_testsupport::site::json_of;
use almondhead_testsupport::site::with_header;
use clap::Arg;
use clap::ArgAction;
use clap::Command;
use serde_json::json;

const UPSTREAMS: usize = 4;
const TASKS: usize = 480;
/// How long a task runs, in milliseconds.
const RUN_MS: u64 = 50;
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
const ENTRIES: [(&str, &str); 3] = [("entry-a", NORTH), ("entry-b", NORTH), ("entry-c", SOUTH)];
const HOPS: [&str; 4] = ["caller", "forward", "home", "attempt"];
const TRACE_ID: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const TRACEPARENT: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

fn main() -> Result<(), Box<dyn Error>> {
    let stay = Arg::new("stay")
        .long("stay")
        .help("Keep the site running until the standard input closes")
        .action(ArgAction::SetTrue);
    let arguments = Command::new("small_site")
        .about("Runs a small site of almondhead between stand-ins")
        .arg(stay)
        .get_matches();
    smol::block_on(async {
        let mut site = start().await?;
        submit(&site).await?;
        show(&site);
        if arguments.get_flag("stay") {
            println!("\nrunning until the standard input closes");
            smol::unblock(|| io::read_to_string(io::stdin())).await?;
        }
        stop(&mut site).await
    })
}

async fn start() -> Result<Site, Box<dyn Error>> {
    let mut site = Site::without_entries(UPSTREAMS).await?;
    let document = site.document();
    site.install(1, &document).await?;
    for (name, data_centre) in ENTRIES {
        let spans = span_file(site.directory.path(), name);
        let settings = json!({ "trace_output": spans });
        site.start_entry(name, data_centre, settings).await?;
        println!("{name} started in data centre {data_centre}");
    }
    site.wait_for_siblings(2).await?;
    Ok(site)
}

fn span_file(directory: &Path, name: &str) -> PathBuf {
    directory.join(format!("{name}-spans.jsonl"))
}

/// Submits a job through `entry-c`; its session, and so its home, is at `entry-a`.
async fn submit(site: &Site) -> Result<(), Box<dyn Error>> {
    let session = site.open_session(0).await?;
    let path = format!("/v1/sessions/{session}/jobs/1");
    let request = site.request(2, Method::PUT, &path);
    let request = with_header(request, "traceparent", TRACEPARENT);
    let request = request.with_body(job(TASKS, RUN_MS).to_string());
    let answer = site.send(request).await?;
    let body = json_of(&answer)?;
    let results = body["results"].as_array().map_or(0, Vec::len);
    println!("\na job of {TASKS} tasks of {RUN_MS} ms, session at entry-a, sent to entry-c:");
    println!("  status   {}", answer.status);
    println!("  outcome  {}", body["outcome"]);
    println!("  results  {results}");
    println!("  last     {}", body["results"][TASKS - 1]);
    let starts = site.starts();
    println!("\nstarts that the upstreams recorded:");
    println!("  tasks    {}", starts.tasks);
    println!("  most starts of one task  {}", starts.max_starts_per_task);
    Ok(())
}

fn show(site: &Site) {
    println!("\naddresses while the site runs:");
    for entry in &site.entries {
        println!("  callers  http://{}/v1/tasks", entry.caller_address);
        println!("  status   http://{}/status", entry.operator_address);
        println!("  metrics  http://{}/metrics", entry.operator_address);
    }
    println!("  platform http://{}", site.platform.address());
}

/// Stops the entries and counts the spans of the job's trace by hop.
async fn stop(site: &mut Site) -> Result<(), Box<dyn Error>> {
    for entry in &mut site.entries {
        entry.process.terminate()?;
    }
    for entry in &mut site.entries {
        entry.process.wait_for_exit(STOP_TIMEOUT).await?;
    }
    println!("\nspans of the job's trace:");
    for (name, _) in ENTRIES {
        let spans = fs::read_to_string(span_file(site.directory.path(), name))?;
        let counts = HOPS.map(|hop| format!("{hop} {}", count(&spans, hop)));
        println!("  {name}  {}", counts.join(", "));
    }
    Ok(())
}

fn count(spans: &str, hop: &str) -> usize {
    let name = format!("\"name\":\"{hop}\"");
    let is_counted = |line: &&str| line.contains(TRACE_ID) && line.contains(&name);
    spans.lines().filter(is_counted).count()
}
