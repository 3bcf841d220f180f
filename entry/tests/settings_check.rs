//! Parsing and checking of settings files.

use std::fs;
use std::process::Command;

use almondhead_entry::Settings;
use almondhead_entry::SettingsError;
use almondhead_entry::TraceOutput;
use almondhead_lib::runs::overload::OverloadPolicy;
use almondhead_testsupport::site::TestResult;
use serde_json::Value;
use serde_json::json;

const VALID_SETTINGS: &str = r#"{
  // Where this process stands.
  "instance": "entry-a",
  "data_centre": "north",
  "caller_address": "127.0.0.1:8080",
  "peer_address": "127.0.0.1:8081",
  "operator_address": "127.0.0.1:8082",
  "platform_address": "127.0.0.1:9000",
  "peer_key": "a key for tests of thirty-two bytes or more",
  "limits": { "tasks_per_job": 480, }, /* the rest by default */
}"#;

fn valid_settings() -> Value {
    let parsed = jsonc_parser::parse_to_serde_value(VALID_SETTINGS, &Default::default());
    parsed.expect("the valid settings are JSON with comments")
}

/// Parses invalid settings and returns the paths of their problems.
fn problem_paths(text: &str) -> Vec<String> {
    match Settings::parse(text) {
        Err(SettingsError::Invalid { problems }) => {
            problems.into_iter().map(|problem| problem.path).collect()
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn valid_settings_pass() -> TestResult {
    let settings = Settings::parse(VALID_SETTINGS)?;
    assert_eq!(settings.instance, "entry-a");
    assert_eq!(settings.limits.tasks_per_job, 480);
    assert_eq!(settings.trace_output, TraceOutput::None);
    assert_eq!(settings, Settings::parse(VALID_SETTINGS)?);
    Ok(())
}

/// Guards against an instance that names another processor capacity than its machine has.
#[test]
fn processor_capacity_is_in_millicores() -> TestResult {
    for (processor, millicores) in [
        (json!({ "share": 0.09 }), 90),
        (json!({ "share": 0.5, "cores": 2 }), 1_000),
        (json!({ "share": 1e-9 }), 1),
    ] {
        let mut settings = valid_settings();
        settings["leased_runs"] = json!({
            "ready_address": "127.0.0.1:8083", "processor": processor, "overload": "by_priority"
        });
        let leased = Settings::parse(&settings.to_string())?.leased_runs;
        let leased = leased.expect("the settings have leased runs");
        assert_eq!(leased.processor_millicores, Some(millicores));
        assert_eq!(leased.overload, OverloadPolicy::ByPriority);
    }
    Ok(())
}

/// Guards against an instance that starts with a capacity or a policy that it cannot have.
#[test]
fn pause_of_callers_bounds_leases() -> TestResult {
    for (fields, pause_ms, stop_ms) in [
        (json!({}), 1_300, 50),
        (
            json!({ "caller_retry_pause_ms": 900, "max_stop_ms": 20 }),
            900,
            20,
        ),
    ] {
        let mut settings = valid_settings();
        settings["leased_runs"] = fields;
        settings["leased_runs"]["ready_address"] = json!("127.0.0.1:8083");
        let leased = Settings::parse(&settings.to_string())?.leased_runs;
        let leased = leased.expect("the settings have leased runs");
        assert_eq!(leased.caller_retry_pause_ms, pause_ms);
        assert_eq!(leased.max_stop_ms, stop_ms);
    }
    Ok(())
}

#[test]
fn invalid_capacity_and_policy_are_reported() {
    let table = [
        ("/leased_runs/processor", json!({ "processor": [] })),
        ("/leased_runs/processor/share", json!({ "processor": {} })),
        (
            "/leased_runs/processor/share",
            json!({ "processor": { "share": 0 } }),
        ),
        (
            "/leased_runs/processor/share",
            json!({ "processor": { "share": "1" } }),
        ),
        (
            "/leased_runs/processor/cores",
            json!({ "processor": { "share": 1, "cores": -1 } }),
        ),
        ("/leased_runs/overload", json!({ "overload": "none" })),
        (
            "/leased_runs/caller_retry_pause_ms",
            json!({ "caller_retry_pause_ms": 100 }),
        ),
        ("/leased_runs/max_stop_ms", json!({ "max_stop_ms": 1_000 })),
    ];
    for (path, fields) in table {
        let mut settings = valid_settings();
        settings["leased_runs"] = fields;
        settings["leased_runs"]["ready_address"] = json!("127.0.0.1:8083");
        assert_eq!(problem_paths(&settings.to_string())[0], path, "{settings}");
    }
}

#[test]
fn each_problem_is_reported_at_its_path() {
    let table = [
        ("/instance", Value::Null),
        ("/instance", json!("")),
        ("/instance", json!("x".repeat(256))),
        ("/data_centre", json!(3)),
        ("/caller_address", json!("localhost:80")),
        ("/peer_address", json!("10.0.0.1")),
        ("/operator_address", json!("10.0.0.1:70000")),
        ("/platform_address", json!(9_000)),
        ("/peer_key", json!("short")),
        ("/executor_threads", json!(0)),
        ("/executor_threads", json!(1.5)),
        ("/log_filter", json!("almondhead=loud")),
        ("/trace_output", json!(true)),
        ("/stop_notice_ms", json!(-1)),
        ("/limits", json!([])),
        ("/limits/body_bytes", json!({ "body_bytes": 0 })),
        ("/limits/disc_bytes", json!({ "disc_bytes": 1 })),
        ("/platform/timeout_ms", json!({ "timeout_ms": "1s" })),
        ("/urgent", json!(true)),
    ];
    for (path, value) in table {
        let field = path.split('/').nth(1).unwrap_or_default();
        let mut settings = valid_settings();
        settings[field] = value;
        assert_eq!(problem_paths(&settings.to_string()), [path], "{settings}");
    }
}

#[test]
fn all_missing_settings_are_reported_at_once() {
    let missing = problem_paths("{}");
    let expected = [
        "/instance",
        "/data_centre",
        "/caller_address",
        "/peer_address",
        "/operator_address",
        "/platform_address",
        "/peer_key",
    ];
    assert_eq!(missing, expected);
}

#[test]
fn syntax_error_has_its_line() {
    let text = "{\n  \"instance\": \"entry-a\",\n  \"data_centre\" 7\n}";
    match Settings::parse(text) {
        Err(SettingsError::Syntax { line, .. }) => assert_eq!(line, 3),
        other => panic!("{other:?}"),
    }
}

#[test]
fn peer_key_is_not_printed() -> TestResult {
    let shown = format!("{:?}", Settings::parse(VALID_SETTINGS)?);
    assert!(!shown.contains("a key for tests"), "{shown}");
    Ok(())
}

#[test]
fn program_checks_settings_file() -> TestResult {
    let directory = tempfile::tempdir()?;
    let file = directory.path().join("settings.jsonc");
    for (text, code) in [(VALID_SETTINGS, 0), ("{ \"x\": 1 }", 2)] {
        fs::write(&file, text)?;
        let output = Command::new(env!("CARGO_BIN_EXE_almondhead"))
            .arg("--check-settings")
            .arg(&file)
            .output()?;
        assert_eq!(output.status.code(), Some(code), "{output:?}");
        let errors = String::from_utf8(output.stderr)?;
        assert_eq!(errors.contains("/x: is not a known setting"), code == 2);
    }
    Ok(())
}
