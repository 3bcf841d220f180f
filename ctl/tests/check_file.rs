//! `almondctl` without a platform: check, diff, schema, completions and usage errors.

mod common;

use std::fs;

use common::EXAMPLE;
use common::almondctl;
use smol::block_on;

#[test]
fn sound_file_passes() {
    block_on(async {
        let stdout = almondctl(&["check", EXAMPLE]).await.stdout_of(0);
        assert!(stdout.ends_with("sound\n"), "{stdout}");
    });
}

#[test]
fn faulty_file_lists_problems() {
    block_on(async {
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("faulty.jsonc");
        let text = fs::read_to_string(EXAMPLE).unwrap();
        let text = text.replace("\"response_time\"", "\"speed\"");
        fs::write(&path, text.replacen("\"slots\": 8", "\"slots\": 0", 1)).unwrap();
        let file = path.to_str().unwrap();
        let stdout = almondctl(&["check", file]).await.stdout_of(1);
        assert!(
            stdout.contains("line 11: /policies/prefer: must be one of"),
            "{stdout}"
        );
        assert!(
            stdout.contains("/upstreams/0/slots: must be 1 to"),
            "{stdout}"
        );
        assert!(stdout.ends_with("2 faults\n"), "{stdout}");
        let json = almondctl(&["check", file, "--output", "json"])
            .await
            .stdout_of(1);
        let report: serde_json::Value = serde_json::from_str(&json).unwrap();
        assert_eq!(report["problems"][0]["line"], 11);
        assert_eq!(report["problems"][1]["path"], "/upstreams/0/slots");
    });
}

#[test]
fn diff_lists_changed_paths() {
    block_on(async {
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("edited.jsonc");
        let text = fs::read_to_string(EXAMPLE).unwrap();
        fs::write(&path, text.replacen("\"slots\": 8", "\"slots\": 4", 1)).unwrap();
        let stdout = almondctl(&["diff", EXAMPLE, path.to_str().unwrap()])
            .await
            .stdout_of(0);
        assert_eq!(stdout, "  /upstreams/miraflores-01/slots: 8 -> 4\n");
        let stdout = almondctl(&["diff", EXAMPLE, EXAMPLE]).await.stdout_of(0);
        assert_eq!(stdout, "no difference\n");
    });
}

#[test]
fn schema_and_completions_are_written() {
    block_on(async {
        let schema = almondctl(&["schema"]).await.stdout_of(0);
        assert_eq!(
            schema,
            include_str!("../../docs/protocols/document.schema.json")
        );
        for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
            let script = almondctl(&["completions", shell]).await.stdout_of(0);
            assert!(script.contains("almondctl"), "{shell}");
        }
    });
}

#[test]
fn usage_errors_exit_with_2() {
    block_on(async {
        let cases: [(&[&str], &str); 6] = [
            (&[], "Usage"),
            (&["wash"], "unrecognized subcommand"),
            (&["check"], "<FILE>"),
            (&["check", "/no/such/file"], "read /no/such/file"),
            (&["history"], "--platform"),
            (&["history", "--platform", "here"], "invalid socket address"),
        ];
        for (arguments, words) in cases {
            let run = almondctl(arguments).await;
            assert_eq!(run.code, 2, "{arguments:?}");
            assert!(run.stderr.contains(words), "{arguments:?}: {}", run.stderr);
        }
        let help = almondctl(&["submit", "--help"]).await.stdout_of(0);
        assert!(help.contains("Exit codes:"), "{help}");
    });
}
