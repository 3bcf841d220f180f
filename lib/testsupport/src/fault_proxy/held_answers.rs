//! The answers that a proxy holds until they are released.

use async_channel::Receiver;
use async_channel::Sender;

/// The held answers, in order of arrival.
#[derive(Default)]
pub(crate) struct HeldAnswers(Vec<Sender<()>>);

impl HeldAnswers {
    /// Adds an answer; the returned channel is closed when the answer is released.
    pub(crate) fn hold(&mut self) -> Receiver<()> {
        let (release, released) = async_channel::bounded(1);
        self.0.push(release);
        released
    }

    /// Removes and returns all answers. Dropping an item releases its answer.
    pub(crate) fn take(&mut self) -> Vec<Sender<()>> {
        std::mem::take(&mut self.0)
    }
}
