//! Wire encoding of reports of crashes.

use std::time::Duration;

use crate::peer_codec::field::DecodeError;
use crate::peer_codec::field::MAX_TASKS;
use crate::peer_codec::field::bounded;
use crate::peer_codec::field::name;
use crate::peer_codec::field::required;
use crate::peer_codec::field::to_us;
use crate::peer_proto as proto;
use crate::runs::crash_report::CrashReport;
use crate::runs::crash_report::CrashedRun;

impl From<CrashReport> for proto::CrashReport {
    fn from(report: CrashReport) -> Self {
        proto::CrashReport {
            upstream: report.upstream.to_string(),
            fence: report.fence,
            runs: report.runs.into_iter().map(Into::into).collect(),
            ago_us: to_us(report.ago),
            is_certain: report.is_certain,
        }
    }
}

impl TryFrom<proto::CrashReport> for CrashReport {
    type Error = DecodeError;

    fn try_from(report: proto::CrashReport) -> Result<Self, DecodeError> {
        let runs = bounded("crash.runs", report.runs, MAX_TASKS)?;
        let runs = runs.into_iter().map(TryInto::try_into);
        Ok(CrashReport {
            upstream: name("crash.upstream", report.upstream)?,
            fence: report.fence,
            runs: runs.collect::<Result<_, _>>()?,
            ago: Duration::from_micros(report.ago_us),
            is_certain: report.is_certain,
        })
    }
}

impl From<CrashedRun> for proto::CrashedRun {
    fn from(crashed: CrashedRun) -> Self {
        proto::CrashedRun {
            run: Some(crashed.run.into()),
            queue: crashed.queue.to_string(),
            age_us: to_us(crashed.age),
        }
    }
}

impl TryFrom<proto::CrashedRun> for CrashedRun {
    type Error = DecodeError;

    fn try_from(crashed: proto::CrashedRun) -> Result<Self, DecodeError> {
        Ok(CrashedRun {
            run: required("crash.runs.run", crashed.run)?.try_into()?,
            queue: name("crash.runs.queue", crashed.queue)?,
            age: Duration::from_micros(crashed.age_us),
        })
    }
}
