//! Deadlines that share one timer of the reactor.
//!
//! The reactor is woken for every timer that is added to it, with about six system calls. Most
//! deadlines are dropped before they pass and are not the earliest, so they need no such wake-up.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::LazyLock;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::Wake;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use smol::Timer;

/// How much later than a deadline the shared timer may fire without being set again.
const TOLERANCE: Duration = Duration::from_micros(100);

static SHARED: LazyLock<Arc<Shared>> = LazyLock::new(Arc::default);

/// A future that completes at an instant.
#[derive(Debug)]
pub struct Deadline {
    at: Instant,
    registration: Option<(u64, Waker)>,
}

/// The deadlines of the process that are waited for; it is woken by the shared timer.
#[derive(Default)]
struct Shared(Mutex<State>);

#[derive(Default)]
struct State {
    waiting: BTreeMap<(Instant, u64), Waker>,
    last_number: u64,
    /// The shared timer and when it fires.
    timer: Option<(Instant, Timer)>,
}

impl Deadline {
    /// Creates a deadline that completes at `at`.
    pub fn at(at: Instant) -> Self {
        Deadline {
            at,
            registration: None,
        }
    }

    /// Creates a deadline that completes after `delay`.
    pub fn after(delay: Duration) -> Self {
        Deadline::at(Instant::now() + delay)
    }

    fn unregister(&mut self) {
        if let Some((number, _)) = self.registration.take() {
            let waker = SHARED.lock().waiting.remove(&(self.at, number));
            // Dropped after the lock is released: it may be the last reference to its task.
            drop(waker);
        }
    }
}

impl Future for Deadline {
    type Output = ();

    /// Reads the clock, so that it completes in time also when the reactor is late.
    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.at {
            self.unregister();
            return Poll::Ready(());
        }
        let waker = context.waker();
        let registration = self.registration.as_ref();
        if !registration.is_some_and(|(_, registered)| registered.will_wake(waker)) {
            self.unregister();
            let number = SHARED.register(self.at, waker);
            self.registration = Some((number, waker.clone()));
        }
        Poll::Pending
    }
}

impl Drop for Deadline {
    fn drop(&mut self) {
        self.unregister();
    }
}

impl Shared {
    fn register(self: &Arc<Self>, at: Instant, waker: &Waker) -> u64 {
        let mut state = self.lock();
        state.last_number += 1;
        let number = state.last_number;
        state.waiting.insert((at, number), waker.clone());
        let is_covered = |fires_at: Instant| fires_at <= at + TOLERANCE;
        if state.timer.as_ref().is_some_and(|(at, _)| is_covered(*at)) {
            return number;
        }
        let is_set = self.set_timer(&mut state, at);
        drop(state);
        if !is_set {
            Arc::clone(self).wake();
        }
        number
    }

    /// Sets the shared timer; returns false when `at` has passed.
    fn set_timer(self: &Arc<Self>, state: &mut State, at: Instant) -> bool {
        let waker = Waker::from(Arc::clone(self));
        let mut timer = Timer::at(at);
        let is_due = Pin::new(&mut timer)
            .poll(&mut Context::from_waker(&waker))
            .is_ready();
        state.timer = Some((at, timer)).filter(|_| !is_due);
        !is_due
    }

    /// Removes the wakers of the deadlines that have passed, and sets the timer for the next one.
    fn take_due(self: &Arc<Self>, state: &mut State) -> Vec<Waker> {
        let mut due = Vec::new();
        state.timer = None;
        while let Some(entry) = state.waiting.first_entry() {
            let (at, _) = *entry.key();
            if at > Instant::now() {
                if self.set_timer(state, at) {
                    break;
                }
                continue;
            }
            due.push(entry.remove());
        }
        due
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Wake for Shared {
    fn wake(self: Arc<Self>) {
        let due = {
            let mut state = self.lock();
            self.take_due(&mut state)
        };
        for waker in due {
            waker.wake();
        }
    }
}
