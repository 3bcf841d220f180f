//! The measured site: the directory-enquiries example with every process on this machine.

use std::error::Error;
use std::ffi::OsString;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

use almondhead_ctl::load;
use almondhead_ctl::load_options::LoadOptions;
use almondhead_ctl::load_report::LoadReport;
use almondhead_lib::check::check_document;
use almondhead_lib::document::Document;
use almondhead_net::HttpRequest;
use almondhead_net::HttpResponse;
use almondhead_net::Method;
use almondhead_testsupport::ProcessHandle;
use almondhead_testsupport::UpstreamFaults;
use almondhead_testsupport::site::Site;
use almondhead_testsupport::site::json_of;
use serde_json::json;

use crate::process_costs::ProcessCosts;
use crate::scenario::Fault;
use crate::scenario::PolicySet;
use crate::scenario::Scenario;
use crate::upstreams::ALL_LISTEN;
use crate::upstreams::LISTENING;

const EXAMPLE: &str = "../examples/directory-enquiries.jsonc";

/// The path at which the upstream stand-ins run tasks.
const TASK_PATH: &str = "/v1/tasks";

/// The maximum number of upstream stand-ins in one process.
const UPSTREAMS_PER_PROCESS: usize = 10;

/// The time in which a process of upstream stand-ins must start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The duration of the load before the measurement, after which run times are known and
/// connections open.
const WARM_UP: Duration = Duration::from_secs(3);

/// The running platform, upstreams and entries of one document.
pub(crate) struct MeasuredSite {
    site: Site,
    document: Document,
    upstreams: Vec<ProcessHandle>,
}

impl MeasuredSite {
    /// Starts all processes and waits until every entry has received a message from every other.
    pub(crate) async fn start(policies: PolicySet) -> Result<Self, Box<dyn Error>> {
        let mut document = example_document()?;
        document.policies = policies.policies();
        let upstreams = start_upstreams(&mut document).await?;
        let mut site = Site::without_entries(0).await?;
        site.install(1, &document).await?;
        for instance in &document.instances {
            let name = instance.name.as_str();
            site.start_entry(name, &instance.data_centre, json!({}))
                .await?;
        }
        site.wait_for_siblings(site.entries.len() as u64 - 1)
            .await?;
        Ok(MeasuredSite {
            site,
            document,
            upstreams,
        })
    }

    /// Returns the addresses at which the entries serve callers.
    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        let entries = self.site.entries.iter();
        entries.map(|entry| entry.caller_address).collect()
    }

    /// Returns the addresses of the entries' operators' listeners.
    pub(crate) fn operator_addresses(&self) -> Vec<SocketAddr> {
        let entries = self.site.entries.iter();
        entries.map(|entry| entry.operator_address).collect()
    }

    /// Returns the resource usage of the entries that still run.
    pub(crate) fn entry_costs(&self) -> ProcessCosts {
        let mut costs = ProcessCosts::default();
        for entry in &self.site.entries {
            // A killed entry has no `/proc` files.
            let _ = costs.add(entry.process.id());
        }
        costs
    }

    /// Returns the name of the first service, which the load uses.
    pub(crate) fn service(&self) -> &str {
        &self.document.services[0].name
    }

    /// Returns the names of all teams.
    pub(crate) fn teams(&self) -> Vec<String> {
        let teams = self.document.teams.iter();
        teams.map(|team| team.name.clone()).collect()
    }

    /// Returns the total number of slots of all upstreams.
    pub(crate) fn slots(&self) -> u32 {
        self.document.upstreams.iter().map(|u| u.slots).sum()
    }

    /// Runs a warm-up load, then the measured load with the scenario's fault.
    pub(crate) fn offer(
        &mut self,
        scenario: &Scenario,
        mut options: LoadOptions,
    ) -> Result<LoadReport, Box<dyn Error>> {
        load::offer(&LoadOptions {
            load: 0.3,
            duration: WARM_UP,
            burst: None,
            cancel_at: None,
            seed: options.seed.wrapping_add(1),
            ..options.clone()
        })?;
        smol::block_on(self.inject(scenario.fault))?;
        if scenario.fault == Fault::EntryKilled {
            // The metrics of a killed entry can't be read after the load.
            options.operator_addresses.clear();
        }
        let kill_after = options.duration / 2;
        let loading = thread::spawn(move || load::offer(&options));
        if scenario.fault == Fault::EntryKilled {
            thread::sleep(kill_after);
            self.site.entries[0].process.kill9()?;
        }
        let report = loading.join().map_err(|_| "the load driver panicked")?;
        Ok(report?)
    }

    async fn inject(&self, fault: Fault) -> Result<(), Box<dyn Error>> {
        let (upstreams, faults) = match fault {
            Fault::None | Fault::EntryKilled => return Ok(()),
            Fault::Slow { upstreams, factor } => (upstreams, json!({ "slow_factor": factor })),
            Fault::Failing { upstreams } => (upstreams, json!({ "fail_everything": true })),
        };
        serde_json::from_value::<UpstreamFaults>(faults.clone())?;
        for upstream in self.document.upstreams.iter().take(upstreams) {
            let request = HttpRequest::new(Method::POST, upstream.address, "/v1/faults");
            self.send(request.with_body(faults.to_string())).await?;
        }
        Ok(())
    }

    /// Returns the maximum number of starts of one task over all upstreams, as recorded by them.
    pub(crate) async fn most_starts_of_one_task(&self) -> Result<u64, Box<dyn Error>> {
        let mut starts = indexmap::IndexMap::<String, u64>::new();
        for upstream in &self.document.upstreams {
            let request = HttpRequest::new(Method::GET, upstream.address, "/v1/starts");
            let report = json_of(&self.send(request).await?)?;
            for task in report["tasks"].as_array().into_iter().flatten() {
                let id = task["task_id"].as_str().unwrap_or_default();
                *starts.entry(id.to_owned()).or_default() += task["starts"].as_u64().unwrap_or(0);
            }
        }
        Ok(starts.into_values().max().unwrap_or(0))
    }

    async fn send(&self, request: HttpRequest) -> Result<HttpResponse, Box<dyn Error>> {
        let answer = self.site.send(request).await?;
        match answer.status.is_success() {
            true => Ok(answer),
            false => Err(format!("an upstream answered {}", answer.status).into()),
        }
    }
}

impl Drop for MeasuredSite {
    fn drop(&mut self) {
        for upstream in &mut self.upstreams {
            // Dropping the handle ends the process if this fails.
            let _ = upstream.kill9();
        }
    }
}

fn example_document() -> Result<Document, Box<dyn Error>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(EXAMPLE);
    let text = fs::read_to_string(path)?;
    let mut document = check_document(&text).map_err(|problems| format!("{problems:?}"))?;
    for service in &mut document.services {
        service.path = TASK_PATH.to_owned();
    }
    Ok(document)
}

/// Starts the document's upstreams in shared processes, and stores their addresses in it.
async fn start_upstreams(document: &mut Document) -> Result<Vec<ProcessHandle>, Box<dyn Error>> {
    let program = std::env::current_exe()?;
    let mut processes = Vec::new();
    for upstreams in document.upstreams.chunks_mut(UPSTREAMS_PER_PROCESS) {
        let count = upstreams.len().to_string();
        let arguments = ["upstreams", "--count", &count].map(OsString::from);
        let mut process = ProcessHandle::start(&program, arguments)?;
        process.wait_for_line(ALL_LISTEN, START_TIMEOUT).await?;
        let lines = process.output();
        let addresses = lines.iter().filter_map(|line| line.strip_prefix(LISTENING));
        for (upstream, address) in upstreams.iter_mut().zip(addresses) {
            upstream.address = address.parse()?;
        }
        processes.push(process);
    }
    Ok(processes)
}
