//! Reloads the settings file when it has changed or a signal asks for it.

use std::path::PathBuf;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::future::or;
use smol::Timer;

use crate::settings::Settings;

/// How often the file is checked for changes.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the settings file until the process ends.
///
/// Only the log filter changes in a running process; when any other setting has changed, a log line
/// says that a restart is needed.
pub(crate) async fn watch_settings(file: PathBuf, mut settings: Settings, reload: Receiver<()>) {
    let mut text = std::fs::read_to_string(&file).ok();
    loop {
        let signalled = or(async { reload.recv().await.is_ok() }, async {
            Timer::after(POLL_INTERVAL).await;
            false
        });
        let signalled = signalled.await;
        let read = match std::fs::read_to_string(&file) {
            Ok(read) => read,
            Err(error) => {
                tracing::warn!(file = %file.display(), %error, "settings file not read");
                continue;
            }
        };
        if !signalled && text.as_deref() == Some(read.as_str()) {
            continue;
        }
        match Settings::parse(&read) {
            Ok(new) => {
                apply(&settings, &new, signalled);
                settings = new;
            }
            Err(error) => {
                tracing::warn!(file = %file.display(), %error, "changed settings ignored");
            }
        }
        text = Some(read);
    }
}

fn apply(old: &Settings, new: &Settings, signalled: bool) {
    if old.log_filter != new.log_filter {
        crate::logging::set_filter(&new.log_filter);
    }
    let with_new_filter = Settings {
        log_filter: new.log_filter.clone(),
        ..old.clone()
    };
    let needs_restart = with_new_filter != *new;
    tracing::info!(signalled, needs_restart, "settings read again");
}
