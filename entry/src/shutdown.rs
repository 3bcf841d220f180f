//! Signals that ask the process to stop.

use std::io;
use std::thread;

use async_channel::Receiver;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Listens for SIGTERM and SIGINT; the receiver hears the first, later ones change nothing.
pub(crate) fn stop_signals() -> io::Result<Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (sender, receiver) = async_channel::bounded(1);
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for _ in signals.forever() {
                sender.try_send(()).ok();
            }
        })?;
    Ok(receiver)
}
