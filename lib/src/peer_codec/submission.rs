//! Wire encoding of submissions.

use std::time::Duration;

use crate::peer_codec::field::DecodeError;
use crate::peer_codec::field::MAX_TASKS;
use crate::peer_codec::field::bounded;
use crate::peer_codec::field::name;
use crate::peer_codec::field::optional_name;
use crate::peer_codec::field::required;
use crate::peer_codec::field::to_us;
use crate::peer_proto as proto;
use crate::submission::Needs;
use crate::submission::Submission;

impl From<Submission> for proto::Submission {
    fn from(submission: Submission) -> Self {
        proto::Submission {
            service: submission.service.to_string(),
            team: submission.team.to_string(),
            timeout_us: submission.timeout.map(to_us),
            idempotent: submission.idempotent,
            needs: Some(submission.needs.into()),
            declared_run_us: submission.declared_run_time.map(to_us),
            inputs: submission.inputs,
            traceparent: submission.traceparent.map(|text| text.to_string()),
        }
    }
}

impl TryFrom<proto::Submission> for Submission {
    type Error = DecodeError;

    fn try_from(submission: proto::Submission) -> Result<Self, DecodeError> {
        Ok(Submission {
            service: name("submission.service", submission.service)?,
            team: name("submission.team", submission.team)?,
            timeout: submission.timeout_us.map(Duration::from_micros),
            idempotent: submission.idempotent,
            needs: required("submission.needs", submission.needs)?.into(),
            declared_run_time: submission.declared_run_us.map(Duration::from_micros),
            inputs: bounded("submission.inputs", submission.inputs, MAX_TASKS)?,
            traceparent: optional_name("submission.traceparent", submission.traceparent)?,
        })
    }
}

impl From<Needs> for proto::Needs {
    fn from(needs: Needs) -> Self {
        proto::Needs {
            cores: needs.cores,
            memory_mib: needs.memory_mib,
            accelerators: needs.accelerators,
        }
    }
}

impl From<proto::Needs> for Needs {
    fn from(needs: proto::Needs) -> Self {
        Needs {
            cores: needs.cores,
            memory_mib: needs.memory_mib,
            accelerators: needs.accelerators,
        }
    }
}
