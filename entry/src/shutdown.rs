//! Signals that the process handles.

use std::io;
use std::thread;

use async_channel::Receiver;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Requests to the process that arrive as signals.
pub(crate) struct ProcessSignals {
    /// Receives requests to stop; those after the first have no effect.
    pub(crate) stop: Receiver<()>,
    /// Receives requests to read the settings again.
    pub(crate) reload: Receiver<()>,
}

/// Listens for SIGTERM and SIGINT, which ask to stop, and for SIGHUP, which asks to reload.
pub(crate) fn listen() -> io::Result<ProcessSignals> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (stop_sender, stop) = async_channel::bounded(1);
    let (reload_sender, reload) = async_channel::bounded(1);
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for signal in signals.forever() {
                let sender = match signal {
                    SIGHUP => &reload_sender,
                    _ => &stop_sender,
                };
                // Fails when a request is already queued, which has the same effect.
                sender.try_send(()).ok();
            }
        })?;
    Ok(ProcessSignals { stop, reload })
}
