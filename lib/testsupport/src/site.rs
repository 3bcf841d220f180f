//! A site of real entry processes with stand-ins for the upstreams and the platform.

use std::error::Error;
use std::ffi::OsStr;
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use almondhead_lib::document::Document;
use almondhead_lib::revision::DOCUMENTS_TABLE;
use almondhead_lib::revision::HEAD_KEY;
use almondhead_lib::revision::Head;
use almondhead_lib::revision::object_name;
use almondhead_lib::service::Service;
use almondhead_lib::team::Team;
use almondhead_lib::upstream::Upstream;
use almondhead_net::HttpClient;
use almondhead_net::HttpRequest;
use almondhead_net::HttpResponse;
use almondhead_net::HttpSettings;
use almondhead_net::Method;
use almondhead_net::header::HeaderName;
use almondhead_net::header::HeaderValue;
use serde_json::Value;
use serde_json::json;
use smol::Timer;
use tempfile::TempDir;

use crate::platform::PlatformSettings;
use crate::platform::PlatformStandIn;
use crate::process::ProcessHandle;
use crate::process::free_address;
use crate::process::workspace_binary;
use crate::upstream::UpstreamSettings;
use crate::upstream::UpstreamStandIn;

/// The result of a test or a step of one.
pub type TestResult = Result<(), Box<dyn Error>>;

/// The only service of a site's document.
pub const SERVICE: &str = "lookup";
/// The only team of a site's document.
pub const TEAM: &str = "agents";
/// The data centre of a site's upstreams.
pub const NORTH: &str = "north";
/// A data centre without upstreams.
pub const SOUTH: &str = "south";

const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_STATUS_POLLS: u32 = 200;
const START_TIMEOUT: Duration = Duration::from_secs(20);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A platform stand-in, upstream stand-ins and entry processes, all on this machine.
pub struct Site {
    /// The platform stand-in.
    pub platform: PlatformStandIn,
    /// The upstream stand-ins, in the order of the document.
    pub upstreams: Vec<UpstreamStandIn>,
    /// The entry processes, in the order of their start.
    pub entries: Vec<Entry>,
    /// The client with which requests are sent.
    pub client: HttpClient,
    /// The directory with the entries' settings files, deleted on drop.
    pub directory: TempDir,
}

/// An entry process and its addresses.
pub struct Entry {
    /// The process.
    pub process: ProcessHandle,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for operators.
    pub operator_address: SocketAddr,
}

impl Site {
    /// Starts a platform, `upstreams` upstreams of 8 slots and one entry, and waits until the entry
    /// is ready.
    pub async fn start(upstreams: usize) -> Result<Site, Box<dyn Error>> {
        let mut site = Site::without_entries(upstreams).await?;
        let document = site.document();
        site.install(1, &document).await?;
        site.start_entry("entry-a", NORTH, json!({})).await?;
        Ok(site)
    }

    /// Starts a platform and `upstreams` upstreams of 8 slots, without a document and entries.
    pub async fn without_entries(upstreams: usize) -> Result<Site, Box<dyn Error>> {
        let mut started = Vec::new();
        for _ in 0..upstreams {
            started.push(UpstreamStandIn::start(UpstreamSettings::default()).await?);
        }
        Ok(Site {
            platform: PlatformStandIn::start(PlatformSettings::default()).await?,
            upstreams: started,
            entries: Vec::new(),
            client: HttpClient::new(HttpSettings {
                connections: 256,
                ..HttpSettings::default()
            }),
            directory: tempfile::tempdir()?,
        })
    }

    /// Returns a document that lists the upstreams under their own addresses.
    pub fn document(&self) -> Document {
        let addresses = self.upstreams.iter().map(UpstreamStandIn::address);
        document(&addresses.collect::<Vec<SocketAddr>>())
    }

    /// Stores a document in the platform and makes it the head revision.
    pub async fn install(&self, revision: u64, document: &Document) -> TestResult {
        let head = Head {
            revision,
            object: object_name(revision, "test"),
            writer_token: "test".to_owned(),
            author: "test".to_owned(),
            submitted_at_unix_ms: 0,
            note: String::new(),
        };
        let contents = self.platform.contents();
        let text = serde_json::to_vec(document)?;
        contents.put_object(&head.object, text.into()).await?;
        let present = contents.read(DOCUMENTS_TABLE, HEAD_KEY).await?;
        let expected = present.map(|row| row.revision);
        let head = serde_json::to_vec(&head)?;
        contents
            .compare_and_set(DOCUMENTS_TABLE, HEAD_KEY, expected, head.into())
            .await?;
        Ok(())
    }

    /// Starts an entry whose settings are overridden by `changes`, waits until it is ready, and
    /// returns its index.
    pub async fn start_entry(
        &mut self,
        name: &str,
        data_centre: &str,
        changes: Value,
    ) -> Result<usize, Box<dyn Error>> {
        let caller_address = free_address()?;
        let operator_address = free_address()?;
        let mut settings = json!({
            "instance": name,
            "data_centre": data_centre,
            "caller_address": caller_address,
            "peer_address": free_address()?,
            "operator_address": operator_address,
            "platform_address": self.platform.address(),
            "peer_key": "a key for tests of thirty-two bytes or more",
            "stop_notice_ms": 300,
        });
        if let (Some(settings), Some(changes)) = (settings.as_object_mut(), changes.as_object()) {
            settings.extend(changes.clone());
        }
        let file = self.directory.path().join(format!("{name}.jsonc"));
        fs::write(&file, settings.to_string())?;
        let program = workspace_binary("almondhead");
        let mut process =
            ProcessHandle::start(&program, [OsStr::new("--settings"), file.as_os_str()])?;
        process
            .wait_for_ok(operator_address, "/readyz", START_TIMEOUT)
            .await?;
        self.entries.push(Entry {
            process,
            caller_address,
            operator_address,
        });
        Ok(self.entries.len() - 1)
    }

    /// Waits until every entry reports `siblings` reachable siblings.
    pub async fn wait_for_siblings(&self, siblings: u64) -> TestResult {
        for entry in 0..self.entries.len() {
            self.wait_for_status(entry, "siblings_heard", siblings)
                .await?;
        }
        Ok(())
    }

    /// Waits until a field of an entry's status has the value `wanted`.
    pub async fn wait_for_status(&self, entry: usize, field: &str, wanted: u64) -> TestResult {
        let operator_address = self.entries[entry].operator_address;
        for _ in 0..MAX_STATUS_POLLS {
            let request = HttpRequest::new(Method::GET, operator_address, "/status");
            let answer = self.send(request).await?;
            if json_of(&answer)?[field] == wanted {
                return Ok(());
            }
            Timer::after(STATUS_POLL_INTERVAL).await;
        }
        Err(format!(
            "timed out waiting until {field} in the status of {operator_address} is {wanted}"
        )
        .into())
    }

    /// Opens a session at an entry and returns its token.
    pub async fn open_session(&self, entry: usize) -> Result<String, Box<dyn Error>> {
        let request = self.request(entry, Method::POST, "/v1/sessions");
        let answer = self.send(request).await?;
        assert_eq!(answer.status, 201, "{:?}", answer.body);
        let session = json_of(&answer)?["session"].clone();
        Ok(session
            .as_str()
            .ok_or("the session in the answer is not a string")?
            .to_owned())
    }

    /// Returns a caller's request to an entry.
    pub fn request(&self, entry: usize, method: Method, path: &str) -> HttpRequest {
        HttpRequest::new(method, self.entries[entry].caller_address, path)
    }

    /// Sends a request and waits for the complete answer.
    pub async fn send(&self, request: HttpRequest) -> Result<HttpResponse, Box<dyn Error>> {
        Ok(self.client.send(request, REQUEST_TIMEOUT).await?)
    }

    /// Submits a single task and waits for its answer.
    pub async fn send_task(
        &self,
        entry: usize,
        body: &Value,
    ) -> Result<HttpResponse, Box<dyn Error>> {
        let request = self.request(entry, Method::POST, "/v1/tasks");
        self.send(request.with_body(body.to_string())).await
    }

    /// Returns the starts recorded by all upstreams.
    pub fn starts(&self) -> Starts {
        let mut starts = Starts::default();
        for upstream in &self.upstreams {
            for task in upstream.report().tasks {
                starts.tasks += 1;
                starts.max_starts_per_task = starts.max_starts_per_task.max(task.starts);
            }
        }
        starts
    }
}

/// A summary of the starts that the upstreams recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Starts {
    /// The number of distinct tasks that started at an upstream, summed over the upstreams.
    pub tasks: usize,
    /// The maximum number of starts of one task at one upstream.
    pub max_starts_per_task: u64,
}

/// Returns the body of a job whose tasks run for `run_ms` milliseconds.
pub fn job(tasks: usize, run_ms: u64) -> Value {
    let inputs: Vec<Value> = (0..tasks)
        .map(|index| json!({ "run_ms": run_ms, "index": index }))
        .collect();
    json!({ "service": SERVICE, "team": TEAM, "timeout_ms": 20_000, "inputs": inputs })
}

/// Returns the request with one more header.
pub fn with_header(mut request: HttpRequest, name: &'static str, value: &str) -> HttpRequest {
    let value = HeaderValue::try_from(value).expect("the header value is valid");
    request.headers.insert(HeaderName::from_static(name), value);
    request
}

/// Decodes the body of an answer as JSON.
pub fn json_of(answer: &HttpResponse) -> Result<Value, Box<dyn Error>> {
    Ok(serde_json::from_slice(&answer.body)?)
}

/// Returns a document with one service whose upstreams are in the data centre `north`.
pub fn document(addresses: &[SocketAddr]) -> Document {
    let upstreams = addresses
        .iter()
        .enumerate()
        .map(|(index, address)| Upstream {
            name: format!("upstream-{index}"),
            data_centre: NORTH.to_owned(),
            rack: String::new(),
            service: SERVICE.to_owned(),
            address: *address,
            slots: 8,
            connections: 64,
            cores: 16,
            memory_mib: 65_536,
            accelerators: 0,
            leaves_at_unix_ms: None,
        });
    let data_centre = |name: &str| serde_json::from_value(json!({ "name": name }));
    Document {
        firm: "tests".to_owned(),
        data_centres: [NORTH, SOUTH]
            .into_iter()
            .filter_map(|name| data_centre(name).ok())
            .collect(),
        services: vec![Service {
            name: SERVICE.to_owned(),
            path: "/v1/tasks".to_owned(),
            max_deadline_ms: 30_000,
            default_deadline_ms: 10_000,
            max_tasks_per_job: 480,
            max_input_bytes: 65_536,
            retry_unknown: false,
            http2: false,
        }],
        upstreams: upstreams.collect(),
        teams: vec![Team {
            name: TEAM.to_owned(),
            weight: 1,
            max_open_tasks: 5_000,
            max_tasks_per_second: 5_000,
        }],
        ..Document::default()
    }
}
