//! The document checker: a table of invalid documents with the expected path, line and words.

use almondhead_lib::check::Problem;
use almondhead_lib::check::check_document;
use almondhead_lib::document_limits::MAX_DOCUMENT_BYTES;
use almondhead_lib::document_limits::MAX_PROBLEMS;
use almondhead_lib::document_limits::MAX_SEPARATORS;
use almondhead_lib::document_limits::MAX_UPSTREAMS;

const VALID: &str = r#"{
  "firm": "Example", // a comment
  "policies": { "prefer": "response_time" },
  "data_centres": [
    { "name": "east", "distances": [ { "to": "west", "one_way_us": 1000 } ] },
    { "name": "west" }
  ],
  "instances": [
    { "name": "entry-1", "data_centre": "east", "peer_address": "10.0.0.1:7400" },
    { "name": "entry-2", "data_centre": "west", "peer_address": "10.0.0.2:7400" }
  ],
  "services": [
    { "name": "lookup",
      "path": "/lookup",
      "max_deadline_ms": 30000, "default_deadline_ms": 5000,
      "max_tasks_per_job": 480, "max_input_bytes": 65536 }
  ],
  "upstreams": [
    { "name": "worker-1", "data_centre": "east", "service": "lookup", "address": "10.0.1.1:8080",
      "slots": 8, "connections": 64, "cores": 16, "memory_mib": 65536 },
    { "name": "worker-2", "data_centre": "west", "service": "lookup", "address": "10.0.1.2:8080",
      "slots": 8, "connections": 64, "cores": 16, "memory_mib": 65536 },
  ],
  "teams": [ { "name": "desk", "weight": 1, "max_open_tasks": 100, "max_tasks_per_second": 100 } ]
}"#;

/// One replacement in the valid document and the one problem that it causes.
struct Case {
    from: &'static str,
    to: &'static str,
    path: &'static str,
    line: usize,
    words: &'static str,
}

const fn case(
    from: &'static str,
    to: &'static str,
    path: &'static str,
    line: usize,
    words: &'static str,
) -> Case {
    Case {
        from,
        to,
        path,
        line,
        words,
    }
}

#[rustfmt::skip]
const CASES: &[Case] = &[
    case(r#""firm": "Example","#, "", "/firm", 1, "is missing"),
    case(r#""Example""#, "5", "/firm", 2, "must be a string, not a number"),
    case(r#""Example""#, r#""""#, "/firm", 2, "must not be empty"),
    case(r#""firm""#, r#""a/b": 1, "firm""#, "/a~1b", 2, "unknown key"),
    case(r#""firm""#, r#""firm": "A", "firm""#, "/firm", 2, "is given twice"),
    case(r#""Example","#, r#""Example" "#, "", 2, "syntax error"),
    case("}\n  ],\n  \"instances\"", "}\n  ,\n  \"instances\"", "", 8, "syntax error"),
    case("response_time", "speed", "/policies/prefer", 3, "response_time, fewer_messages"),
    case(r#""prefer""#, r#""retry_percent": 101, "prefer""#, "/policies/retry_percent", 3, "0 to 100"),
    case(r#""prefer""#, r#""digest_period_ms": 49, "prefer""#, "/policies/digest_period_ms", 3, "50 to 10000"),
    case(r#""prefer""#, r#""eject_failing": 1, "prefer""#, "/policies/eject_failing", 3, "true or false"),
    case(r#""prefer""#, r#""prefers": 1, "prefer""#, "/policies/prefers", 3, "unknown key"),
    case(r#"{ "name": "west" }"#, r#"{ "name": "west" }, { "name": "east" }"#, "/data_centres/2/name", 6, "first on line 5"),
    case(r#"{ "name": "west" }"#, r#"{ "name": "west" }, 7"#, "/data_centres/2", 6, "must be an object"),
    case(r#""to": "west""#, r#""to": "east""#, "/data_centres/0/distances/0/to", 5, "to itself"),
    case(r#""to": "west""#, r#""to": "north""#, "/data_centres/0/distances/0/to", 5, "no data centre \"north\""),
    case(r#""one_way_us": 1000 }"#, r#""one_way_us": 1 }, { "to": "west", "one_way_us": 2 }"#, "/data_centres/0/distances/1/to", 5, "given twice"),
    case("1000 }", "-1 }", "/data_centres/0/distances/0/one_way_us", 5, "0 to 1000000"),
    case("1000 }", "1.5 }", "/data_centres/0/distances/0/one_way_us", 5, "whole number"),
    case("1000 }", "-0 }", "/data_centres/0/distances/0/one_way_us", 5, "whole number"),
    case("entry-2", "entry-1", "/instances/1/name", 10, "first on line 9"),
    case("entry-2", " entry", "/instances/1/name", 10, "must not begin or end with a space"),
    case(r#"e": "west", "peer"#, r#"e": "north", "peer"#, "/instances/1/data_centre", 10, "no data centre"),
    case("10.0.0.2:7400", "10.0.0.2", "/instances/1/peer_address", 10, "IP address with a port"),
    case("10.0.0.2:7400", "10.0.0.1:7400", "/instances/1/peer_address", 10, "first on line 9"),
    case("10.0.0.2:7400", "0.0.0.0:7400", "/instances/1/peer_address", 10, "connected to"),
    case("10.0.0.2:7400\"", "10.0.0.2:7400\", \"leaves_at_unix_ms\": 1796342400", "/instances/1/leaves_at_unix_ms", 10, "1577836800000 to"),
    case(r#""path": "/lookup""#, r#""path": "lookup""#, "/services/0/path", 14, "must begin with /"),
    case(r#""path": "/lookup","#, "", "/services/0/path", 13, "is missing"),
    case("30000", "60001", "/services/0/max_deadline_ms", 15, "1 to 60000"),
    case("5000,", "0,", "/services/0/default_deadline_ms", 15, "1 to 60000"),
    case("5000,", "30001,", "/services/0/default_deadline_ms", 15, "above max_deadline_ms"),
    case("480", "0", "/services/0/max_tasks_per_job", 16, "1 to 4096"),
    case("480", "4097", "/services/0/max_tasks_per_job", 16, "1 to 4096"),
    case("480", "99999999999999999999999999999999999999999", "/services/0/max_tasks_per_job", 16, "whole number"),
    case("480", "null", "/services/0/max_tasks_per_job", 16, "not null"),
    case(r#"65536 }
  ],"#, r#"65536 },
    { "name": "idle", "path": "/idle", "max_deadline_ms": 1, "default_deadline_ms": 1, "max_tasks_per_job": 1, "max_input_bytes": 1 }
  ],"#, "/services/1", 17, "no upstream runs this service"),
    case("10.0.1.2:8080\",\n      \"slots\": 8", "10.0.1.2:8080\",\n      \"slots\": 0", "/upstreams/1/slots", 22, "1 to 10000"),
    case("10.0.1.2:8080\",\n      \"slots\": 8", "10.0.1.2:8080\",\n      \"slots\": 65", "/upstreams/1/connections", 22, "below slots"),
    case("10.0.1.2:8080", "10.0.0.1:7400", "/upstreams/1/address", 21, "first on line 9"),
    case(r#"west", "service": "lookup""#, r#"west", "service": "looks""#, "/upstreams/1/service", 21, "no service \"looks\""),
    case(r#"west", "service""#, r#"north", "service""#, "/upstreams/1/data_centre", 21, "no data centre"),
    case(r#""weight": 1"#, r#""weight": 0"#, "/teams/0/weight", 24, "1 to"),
];

fn problems_of(text: &str) -> Vec<Problem> {
    check_document(text).expect_err("the document must be refused")
}

#[test]
fn valid_document() {
    let document = check_document(VALID).expect("the document is valid");
    assert_eq!(document.upstreams.len(), 2);
    assert_eq!(document.policies.retry_percent, 10);
}

#[test]
fn each_problem_alone() {
    for case in CASES {
        assert!(VALID.contains(case.from), "no {:?} to replace", case.from);
        let problems = problems_of(&VALID.replacen(case.from, case.to, 1));
        let shown: Vec<String> = problems.iter().map(Problem::to_string).collect();
        assert_eq!(problems.len(), 1, "{:?}: {shown:?}", case.to);
        assert_eq!(problems[0].path, case.path, "{shown:?}");
        assert_eq!(problems[0].line, case.line, "{shown:?}");
        assert!(problems[0].reason.contains(case.words), "{shown:?}");
    }
}

#[test]
fn all_problems_together() {
    let text = VALID
        .replace("response_time", "speed")
        .replace(r#""to": "west""#, r#""to": "north""#)
        .replace("10.0.0.2:7400", "nowhere")
        .replace("30000", "\"long\"")
        .replace("\"connections\": 64", "\"connections\": 7")
        .replace(r#""weight": 1, "#, "");
    let problems = problems_of(&text);
    let found: Vec<(&str, usize)> = problems
        .iter()
        .map(|problem| (problem.path.as_str(), problem.line))
        .collect();
    let expected = [
        ("/policies/prefer", 3),
        ("/data_centres/0/distances/0/to", 5),
        ("/instances/1/peer_address", 10),
        ("/services/0/max_deadline_ms", 15),
        ("/upstreams/0/connections", 20),
        ("/upstreams/1/connections", 22),
        ("/teams/0/weight", 24),
    ];
    assert_eq!(found, expected);
}

#[test]
fn size_limits() {
    let long = " ".repeat(MAX_DOCUMENT_BYTES + 1);
    assert!(problems_of(&long)[0].reason.contains("bytes"));
    let wide = format!("[{}]", "0,".repeat(MAX_SEPARATORS + 1));
    assert!(problems_of(&wide)[0].reason.contains("commas and colons"));
    let deep = "[".repeat(100_000);
    assert!(problems_of(&deep)[0].reason.contains("syntax error"));
    let upstreams = format!(r#"{{"upstreams": [{}]}}"#, "7,".repeat(MAX_UPSTREAMS + 1));
    let problems = problems_of(&upstreams);
    assert!(
        problems
            .iter()
            .any(|problem| problem.reason.contains("more than the 5000 allowed"))
    );
    let many_problems = format!(r#"{{"upstreams": [{}]}}"#, "7,".repeat(MAX_PROBLEMS));
    let problems = problems_of(&many_problems);
    assert_eq!(problems.len(), MAX_PROBLEMS + 1);
    assert!(problems[MAX_PROBLEMS].reason.contains("not listed"));
}

#[test]
fn empty_text() {
    assert!(problems_of("// nothing\n")[0].reason.contains("empty"));
}

/// The text of `count` list elements, each written by `element` from its index.
fn list(count: usize, element: impl Fn(usize) -> String) -> String {
    (0..count).map(element).collect::<Vec<_>>().join(",\n")
}

#[test]
fn document_of_the_target_size() {
    let data_centres = list(10, |i| format!(r#"{{ "name": "dc-{i}" }}"#));
    let instances = list(400, |i| {
        let (dc, high, low) = (i % 10, i / 250, i % 250);
        format!(
            r#"{{ "name": "e-{i}", "data_centre": "dc-{dc}", "peer_address": "10.0.{high}.{low}:7400" }}"#
        )
    });
    let upstreams = list(1_400, |i| {
        let (dc, high, low) = (i % 10, i / 250, i % 250);
        format!(
            r#"{{ "name": "u-{i}", "data_centre": "dc-{dc}", "service": "lookup", "rack": "r-{high}",
            "address": "10.1.{high}.{low}:8080", "slots": 8, "connections": 64, "cores": 16,
            "memory_mib": 65536, "accelerators": 2, "leaves_at_unix_ms": 1796407200000 }}"#
        )
    });
    let teams = list(72, |i| {
        format!(
            r#"{{ "name": "t-{i}", "weight": 1, "max_open_tasks": 100, "max_tasks_per_second": 100 }}"#
        )
    });
    let service = r#"{ "name": "lookup", "path": "/", "max_deadline_ms": 60000, "default_deadline_ms": 1,
        "max_tasks_per_job": 480, "max_input_bytes": 1 }"#;
    let text = format!(
        r#"{{ "firm": "Example", "data_centres": [{data_centres}], "instances": [{instances}],
        "services": [{service}], "upstreams": [{upstreams}], "teams": [{teams}] }}"#
    );
    let document = check_document(&text).unwrap_or_else(|problems| panic!("{problems:#?}"));
    assert_eq!(
        (document.upstreams.len(), document.instances.len()),
        (1_400, 400)
    );
}
