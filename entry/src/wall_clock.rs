//! Reports the wall clock to the dispatcher.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use almondhead_lib::event::Event;

use crate::driver_handle::DriverHandle;
use crate::timer::TimerService;

const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Sends the time of the wall clock to the driver every [`REPORT_PERIOD`].
pub(crate) async fn report(timer: TimerService, driver: DriverHandle) {
    let mut ticks = timer.every(REPORT_PERIOD);
    loop {
        ticks.next().await;
        let unix_ms = unix_ms();
        driver.send(Event::WallClockRead { unix_ms }).await;
    }
}

/// Returns the milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
