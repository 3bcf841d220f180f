//! Reads the settings file again when it has changed or a signal says so.

use std::path::PathBuf;
use std::time::Duration;

use async_channel::Receiver;
use futures_lite::future::or;
use smol::Timer;

use crate::settings::Settings;

/// How often the file is looked at without a signal.
const PERIOD: Duration = Duration::from_secs(2);

/// Follows the settings file for ever.
///
/// What a running process can take over is the filter of its logs; everything else is named in
/// the log and takes effect at the next start.
pub(crate) async fn watch_settings(file: PathBuf, mut settings: Settings, reload: Receiver<()>) {
    let mut text = std::fs::read_to_string(&file).ok();
    loop {
        let signalled = or(async { reload.recv().await.is_ok() }, async {
            Timer::after(PERIOD).await;
            false
        });
        let signalled = signalled.await;
        let read = match std::fs::read_to_string(&file) {
            Ok(read) => read,
            Err(error) => {
                tracing::warn!(file = %file.display(), %error, "settings not read again");
                continue;
            }
        };
        if !signalled && text.as_deref() == Some(read.as_str()) {
            continue;
        }
        match Settings::parse(&read) {
            Ok(new) => {
                take_over(&settings, &new, signalled);
                settings = new;
            }
            Err(error) => {
                tracing::warn!(file = %file.display(), %error, "changed settings not valid: kept");
            }
        }
        text = Some(read);
    }
}

fn take_over(old: &Settings, new: &Settings, signalled: bool) {
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
