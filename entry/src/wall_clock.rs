//! Readings of the wall clock for the dispatcher.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use almondhead_lib::event::Event;

use crate::driver_handle::DriverHandle;
use crate::timer::TimerService;

const PERIOD: Duration = Duration::from_secs(1);

/// Hands over a reading every second.
pub(crate) async fn report(timer: TimerService, driver: DriverHandle) {
    let mut ticks = timer.every(PERIOD);
    loop {
        ticks.next().await;
        let unix_ms = unix_ms();
        driver.send(Event::WallClockRead { unix_ms }).await;
    }
}

/// Milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
