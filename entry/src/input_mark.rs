//! A mark that passes the inputs of the process: the reactor, which wakes the tasks of sockets, and the
//! executor, which runs them.

use std::time::Duration;

use futures_lite::future::yield_now;
use smol::Timer;

/// The delay of the timer that the reactor wakes. A timer that is due already would not reach it.
const TIMER_DELAY: Duration = Duration::from_millis(1);

/// Returns when the tasks of all sockets that could be read at the call have run.
///
/// The reactor wakes a timer together with the sockets that it finds readable in the same pass, and the
/// executor runs woken tasks in their order: those of the sockets come before the second turn of this one.
pub(crate) async fn pass_inputs() {
    Timer::after(TIMER_DELAY).await;
    yield_now().await;
}
