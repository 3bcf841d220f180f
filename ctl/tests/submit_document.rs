//! `almondctl submit`, `show` and `history` against a platform stand-in with and without faults.

mod common;

use std::fs;
use std::path::PathBuf;

use almondhead_testsupport::Outage;
use almondhead_testsupport::PlatformFaults;
use almondhead_testsupport::PlatformStandIn;
use common::EXAMPLE;
use common::almondctl;
use common::almondctl_at;
use common::platform;
use smol::block_on;
use smol::future::zip;
use tempfile::TempDir;

/// Writes a copy of the example with another number of slots of the first upstream, and returns its
/// path.
fn write_edited(directory: &TempDir, slots: u32) -> String {
    let text = fs::read_to_string(EXAMPLE).unwrap();
    let path: PathBuf = directory.path().join(format!("slots-{slots}.jsonc"));
    let edited = text.replacen("\"slots\": 8", &format!("\"slots\": {slots}"), 1);
    fs::write(&path, edited).unwrap();
    path.to_str().unwrap().to_owned()
}

async fn submit_example(platform: &PlatformStandIn) {
    let arguments = ["submit", EXAMPLE, "--expect", "0", "--author", "first"];
    let stdout = almondctl_at(platform.address(), &arguments)
        .await
        .stdout_of(0);
    assert!(
        stdout.starts_with("accepted as revision 1 by first at 20"),
        "{stdout}"
    );
}

#[test]
fn submitted_document_is_shown() {
    block_on(async {
        let platform = platform().await;
        let address = platform.address();
        let directory = TempDir::new().unwrap();
        submit_example(&platform).await;
        let file = write_edited(&directory, 4);
        let arguments = ["submit", &file, "--expect", "1", "--note", "fewer slots"];
        let stdout = almondctl_at(address, &arguments).await.stdout_of(0);
        assert!(
            stdout.contains("/upstreams/miraflores-01/slots: 8 -> 4"),
            "{stdout}"
        );
        let shown = almondctl_at(address, &["show"]).await.stdout_of(0);
        assert_eq!(shown, fs::read_to_string(&file).unwrap());
        let first = almondctl_at(address, &["show", "1"]).await.stdout_of(0);
        assert_eq!(first, fs::read_to_string(EXAMPLE).unwrap());
        let history = almondctl_at(address, &["history"]).await.stdout_of(0);
        let lines: Vec<&str> = history.lines().collect();
        assert_eq!(lines.len(), 2);
        assert!(lines[0].ends_with(": fewer slots"), "{history}");
        assert!(lines[1].starts_with("revision 1 by first"), "{history}");
        let diff = almondctl_at(address, &["diff", "1", "head"])
            .await
            .stdout_of(0);
        assert_eq!(diff, "  /upstreams/miraflores-01/slots: 8 -> 4\n");
        almondctl_at(address, &["show", "3"]).await.stdout_of(2);
    });
}

#[test]
fn faulty_document_is_not_written() {
    block_on(async {
        let platform = platform().await;
        let directory = TempDir::new().unwrap();
        let file = write_edited(&directory, 0);
        almondctl_at(platform.address(), &["submit", &file])
            .await
            .stdout_of(1);
        assert_eq!(platform.counters().writes, 0);
        almondctl_at(platform.address(), &["show"])
            .await
            .stdout_of(2);
    });
}

#[test]
fn only_one_concurrent_submission_wins() {
    block_on(async {
        let platform = platform().await;
        let address = platform.address();
        let directory = TempDir::new().unwrap();
        submit_example(&platform).await;
        let slow = PlatformFaults {
            slow_ms: 100,
            ..PlatformFaults::default()
        };
        platform.set_faults(slow);
        let files = [write_edited(&directory, 4), write_edited(&directory, 6)];
        let first = ["submit", &files[0], "--expect", "1"];
        let second = ["submit", &files[1], "--expect", "1"];
        let runs = zip(
            almondctl_at(address, &first),
            almondctl_at(address, &second),
        )
        .await;
        assert!(platform.counters().slowed > 0);
        platform.set_faults(PlatformFaults::default());
        let (loser, winner_slots) = match runs.0.code {
            0 => (runs.1, 4),
            _ => (runs.0, 6),
        };
        let stdout = loser.stdout_of(3);
        assert!(stdout.starts_with("not accepted"), "{stdout}");
        let change = format!("/upstreams/miraflores-01/slots: 8 -> {winner_slots}\n");
        assert!(stdout.contains(&change), "{stdout}");
        let history = almondctl_at(address, &["history"]).await.stdout_of(0);
        assert_eq!(history.lines().count(), 2, "{history}");
    });
}

#[test]
fn lost_answers_are_retried_without_duplicates() {
    block_on(async {
        let platform = platform().await;
        platform.set_faults(PlatformFaults {
            apply_then_lose: true,
            ..PlatformFaults::default()
        });
        submit_example(&platform).await;
        let directory = TempDir::new().unwrap();
        let file = write_edited(&directory, 4);
        let address = platform.address();
        almondctl_at(address, &["submit", &file, "--expect", "1"])
            .await
            .stdout_of(0);
        assert!(platform.counters().lost_answers >= 5);
        let history = almondctl_at(address, &["history"]).await.stdout_of(0);
        assert_eq!(history.lines().count(), 2, "{history}");
    });
}

#[test]
fn platform_outage_exits_with_4() {
    block_on(async {
        let platform = platform().await;
        let address = platform.address();
        submit_example(&platform).await;
        for outage in [Outage::Refusing, Outage::Silent] {
            platform.set_faults(PlatformFaults {
                outage,
                ..PlatformFaults::default()
            });
            let run = almondctl_at(address, &["submit", EXAMPLE]).await;
            assert!(run.stderr.contains("read the head"), "{}", run.stderr);
            assert!(run.stderr.contains(&address.to_string()), "{}", run.stderr);
            run.stdout_of(4);
        }
        let counters = platform.counters();
        assert!(counters.refused > 0 && counters.unanswered > 0);
        platform.set_faults(PlatformFaults::default());
        let history = almondctl_at(address, &["history"]).await.stdout_of(0);
        assert_eq!(history.lines().count(), 1, "{history}");
    });
}

#[test]
fn refused_connection_exits_with_4() {
    block_on(async {
        let address = almondhead_testsupport::free_address().unwrap().to_string();
        let run = almondctl(&["--platform", &address, "status"]).await;
        assert!(run.stderr.contains(&address), "{}", run.stderr);
        run.stdout_of(4);
    });
}
