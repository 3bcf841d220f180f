//! The handle of a child process.

use std::ffi::OsStr;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use almondhead_net::HttpClient;
use almondhead_net::HttpRequest;
use almondhead_net::HttpSettings;
use almondhead_net::Method;
use smol::Timer;

use super::error::ProcessError;
use super::output::Output;
use super::thread_state::is_stopped;

/// How often a wait checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The time limit of one request that checks a condition.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The time limit for all threads of a process to be stopped.
const FREEZE_TIMEOUT: Duration = Duration::from_secs(5);
/// The text that the stand-ins and the entry print before their address.
const ADDRESS_PREFIX: &str = "listening ";

/// A child process. Dropping the handle kills the process, frozen or not.
pub struct ProcessHandle {
    child: Child,
    output: Output,
}

impl ProcessHandle {
    /// Starts `program` with its output collected and no input.
    pub fn start<A: AsRef<OsStr>>(
        program: &Path,
        arguments: impl IntoIterator<Item = A>,
    ) -> Result<Self, ProcessError> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|source| ProcessError::Start {
                program: program.to_owned(),
                source,
            })?;
        let output = Output::default();
        if let Some(stdout) = child.stdout.take() {
            output.collect(stdout);
        }
        if let Some(stderr) = child.stderr.take() {
            output.collect(stderr);
        }
        Ok(Self { child, output })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the lines that the process has written so far.
    pub fn output(&self) -> Vec<String> {
        self.output.lines()
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for a line that contains `text`, and returns the line.
    pub async fn wait_for_line(
        &mut self,
        text: &str,
        timeout: Duration,
    ) -> Result<String, ProcessError> {
        let output = self.output.clone();
        let find = async || output.find(text);
        self.wait_for("wait for a line", timeout, find).await
    }

    /// Waits for the line `listening IP:PORT`, and returns the address.
    pub async fn wait_for_address(
        &mut self,
        timeout: Duration,
    ) -> Result<SocketAddr, ProcessError> {
        let line = self.wait_for_line(ADDRESS_PREFIX, timeout).await?;
        let address = line
            .split_once(ADDRESS_PREFIX)
            .and_then(|(_, rest)| rest.split_whitespace().next()?.parse().ok());
        let id = self.id();
        address.ok_or(ProcessError::Address { id, line })
    }

    /// Waits until `GET path` at `address` answers with status 200.
    pub async fn wait_for_ok(
        &mut self,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<(), ProcessError> {
        let client = HttpClient::new(HttpSettings::default());
        let probe = async || {
            let request = HttpRequest::new(Method::GET, address, path);
            let answer = client.send(request, PROBE_TIMEOUT).await.ok()?;
            (answer.status == 200).then_some(())
        };
        self.wait_for("wait for status 200", timeout, probe).await
    }

    /// Waits until the process has ended, by itself or by a signal.
    pub async fn wait_for_exit(&mut self, timeout: Duration) -> Result<ExitStatus, ProcessError> {
        let started_at = Instant::now();
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Ok(status);
            }
            if started_at.elapsed() >= timeout {
                return Err(self.timeout("wait for the process to end", timeout));
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill9(&mut self) -> Result<(), ProcessError> {
        let id = self.id();
        let killed = self.child.kill().and_then(|()| self.child.wait());
        killed.map(|_| ()).map_err(|source| ProcessError::Signal {
            signal: "KILL",
            id,
            source,
        })
    }

    /// Asks the process to end with SIGTERM.
    pub fn terminate(&mut self) -> Result<(), ProcessError> {
        self.signal("TERM")
    }

    /// Stops the process with SIGSTOP until it is thawed; returns once all its threads are stopped.
    pub fn freeze(&mut self) -> Result<(), ProcessError> {
        self.signal("STOP")?;
        let frozen_at = Instant::now();
        while !is_stopped(self.id()) {
            if frozen_at.elapsed() >= FREEZE_TIMEOUT {
                return Err(self.timeout("stop all threads", FREEZE_TIMEOUT));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Lets a frozen process continue, with SIGCONT.
    pub fn thaw(&mut self) -> Result<(), ProcessError> {
        self.signal("CONT")
    }

    fn signal(&mut self, signal: &'static str) -> Result<(), ProcessError> {
        if !self.is_running() {
            return Err(self.ended("send a signal"));
        }
        let id = self.id();
        Command::new("/bin/kill")
            .arg(format!("-{signal}"))
            .arg(id.to_string())
            .status()
            .and_then(|status| match status.success() {
                true => Ok(()),
                false => Err(io::Error::other(status.to_string())),
            })
            .map_err(|source| ProcessError::Signal { signal, id, source })
    }

    /// Polls `check` until it returns a value, the process has ended or the time is up.
    async fn wait_for<T, F: Future<Output = Option<T>>>(
        &mut self,
        step: &'static str,
        timeout: Duration,
        mut check: impl FnMut() -> F,
    ) -> Result<T, ProcessError> {
        let started_at = Instant::now();
        loop {
            let ended = !self.is_running() && self.output.is_complete();
            if let Some(found) = check().await {
                return Ok(found);
            }
            if ended {
                return Err(self.ended(step));
            }
            if started_at.elapsed() >= timeout {
                return Err(self.timeout(step, timeout));
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    fn ended(&self, step: &'static str) -> ProcessError {
        ProcessError::Ended {
            step,
            id: self.id(),
            output: self.output().join("\n"),
        }
    }

    fn timeout(&self, step: &'static str, timeout: Duration) -> ProcessError {
        ProcessError::Timeout {
            step,
            id: self.id(),
            timeout_ms: timeout.as_millis(),
            output: self.output().join("\n"),
        }
    }
}

impl Drop for ProcessHandle {
    fn drop(&mut self) {
        // If the process has already ended, there is nothing to do.
        let _ = self.kill9();
    }
}
