//! Signals that the process listens for.

use std::io;
use std::thread;

use async_channel::Receiver;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// What signals ask for.
pub(crate) struct ProcessSignals {
    /// Hears the first request to stop; later ones change nothing.
    pub(crate) stop: Receiver<()>,
    /// Hears requests to read the settings again.
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
                // A request that waits already says the same.
                sender.try_send(()).ok();
            }
        })?;
    Ok(ProcessSignals { stop, reload })
}
