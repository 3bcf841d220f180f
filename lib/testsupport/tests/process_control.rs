//! Starting, freezing, thawing and ending child processes.

use std::time::Duration;

use almondhead_net::HttpClient;
use almondhead_net::HttpRequest;
use almondhead_net::HttpSettings;
use almondhead_net::Method;
use almondhead_testsupport::ProcessError;
use almondhead_testsupport::ProcessHandle;
use almondhead_testsupport::StartsReport;
use almondhead_testsupport::workspace_binary;

const TIMEOUT: Duration = Duration::from_secs(5);
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts an upstream stand-in as a process.
fn start() -> ProcessHandle {
    let program = workspace_binary("standin-upstream");
    ProcessHandle::start(&program, ["--slots", "2"]).unwrap()
}

#[test]
fn frozen_process_answers_only_after_thawing() {
    smol::block_on(async {
        let mut process = start();
        let address = process.wait_for_address(TIMEOUT).await.unwrap();
        let wait = process.wait_for_ok(address, "/v1/starts", TIMEOUT);
        wait.await.unwrap();
        process.freeze().unwrap();
        let client = HttpClient::new(HttpSettings::default());
        let request = HttpRequest::new(Method::GET, address, "/v1/starts");
        assert!(client.send(request.clone(), SHORT_TIMEOUT).await.is_err());
        process.thaw().unwrap();
        let answer = client.send(request, TIMEOUT).await.unwrap();
        let report = serde_json::from_slice::<StartsReport>(&answer.body);
        assert_eq!(report.unwrap(), StartsReport::default());
    });
}

#[test]
fn signals_end_the_process() {
    smol::block_on(async {
        let mut process = start();
        process.wait_for_address(TIMEOUT).await.unwrap();
        process.terminate().unwrap();
        process.wait_for_exit(TIMEOUT).await.unwrap();
        assert!(matches!(process.thaw(), Err(ProcessError::Ended { .. })));

        let mut process = start();
        process.freeze().unwrap();
        process.kill9().unwrap();
        assert!(!process.is_running());
    });
}

#[test]
fn errors_name_the_program_and_show_the_output() {
    smol::block_on(async {
        let missing = workspace_binary("no-such-program");
        let error = ProcessHandle::start(&missing, [""; 0]).err().unwrap();
        assert!(error.to_string().contains("no-such-program"));

        let program = workspace_binary("standin-upstream");
        let mut process = ProcessHandle::start(&program, ["--nonsense"]).unwrap();
        let error = process.wait_for_address(TIMEOUT).await.unwrap_err();
        assert!(error.to_string().contains("--nonsense"), "{error}");
    });
}
