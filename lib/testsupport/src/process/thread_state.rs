//! The state of a process's threads, read from Linux's `/proc`.

use std::fs;
use std::path::Path;

/// The state field of a stopped thread in `/proc/ID/task/ID/stat`.
const STOPPED: &str = "T ";

/// Returns whether all threads of a process are stopped by a signal.
pub(crate) fn is_stopped(id: u32) -> bool {
    let Ok(mut threads) = fs::read_dir(format!("/proc/{id}/task")) else {
        return false;
    };
    threads.all(|thread| thread.is_ok_and(|thread| is_thread_stopped(&thread.path())))
}

fn is_thread_stopped(thread: &Path) -> bool {
    let Ok(stat) = fs::read_to_string(thread.join("stat")) else {
        return false;
    };
    // The state follows the program's name in brackets, which may itself contain brackets.
    let state = stat.rsplit_once(") ").map(|(_, state)| state);
    state.is_some_and(|state| state.starts_with(STOPPED))
}
