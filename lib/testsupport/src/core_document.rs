//! The document that tests of the core use.

/// A document with two data centres, one service, one team and three upstreams of two slots each.
pub const DOCUMENT: &str = r#"{
  "firm": "test",
  "policies": { "retry_percent": 100 },
  "data_centres": [
    { "name": "east", "distances": [{ "to": "west", "one_way_us": 1000 }] },
    { "name": "west" }
  ],
  "services": [{
    "name": "lookup", "path": "/v1/tasks", "max_deadline_ms": 10000,
    "default_deadline_ms": 5000, "max_tasks_per_job": 480, "max_input_bytes": 4096
  }],
  "upstreams": [
    { "name": "u1", "data_centre": "east", "service": "lookup", "address": "127.0.0.1:1001",
      "slots": 2, "connections": 16, "cores": 4, "memory_mib": 1024 },
    { "name": "u2", "data_centre": "east", "service": "lookup", "address": "127.0.0.1:1002",
      "slots": 2, "connections": 16, "cores": 4, "memory_mib": 1024 },
    { "name": "u3", "data_centre": "west", "service": "lookup", "address": "127.0.0.1:1003",
      "slots": 2, "connections": 16, "cores": 4, "memory_mib": 1024 }
  ],
  "teams": [{ "name": "sales", "weight": 1, "max_open_tasks": 40, "max_tasks_per_second": 100000 }]
}"#;
