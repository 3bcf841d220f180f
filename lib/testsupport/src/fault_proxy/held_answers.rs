//! Answers that wait for their release.

use async_channel::Receiver;
use async_channel::Sender;

/// The answers held, in the order in which they came.
#[derive(Default)]
pub(crate) struct HeldAnswers(Vec<Sender<()>>);

impl HeldAnswers {
    /// Adds an answer, and returns what hears of its release.
    pub(crate) fn hold(&mut self) -> Receiver<()> {
        let (release, released) = async_channel::bounded(1);
        self.0.push(release);
        released
    }

    /// Takes all answers out. Dropping an item releases its answer.
    pub(crate) fn take(&mut self) -> Vec<Sender<()>> {
        std::mem::take(&mut self.0)
    }
}
