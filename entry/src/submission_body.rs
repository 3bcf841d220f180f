//! Parses the body of a request into a submission.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::submission::Needs;
use almondhead_lib::submission::Submission;
use bytes::Bytes;

use crate::problem::Refusal;
use crate::request_fields::RequestFields;

/// Maximum length of the name of a service or team, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// Maximum value of a field that holds a duration, in milliseconds.
const MAX_DURATION_MS: u64 = 86_400_000;

/// Parses a submission of at most `max_tasks` tasks.
///
/// # Errors
///
/// A refusal that lists every invalid field.
pub(crate) fn parse_submission(
    body: &Bytes,
    max_tasks: usize,
    traceparent: Option<Arc<str>>,
) -> Result<Submission, Refusal> {
    let mut fields = RequestFields::parse("", body);
    let mut needs_fields = fields.object("needs");
    let submission = Submission {
        service: Arc::from(fields.string("service", MAX_NAME_BYTES)),
        team: Arc::from(fields.string("team", MAX_NAME_BYTES)),
        timeout: duration(&mut fields, "timeout_ms"),
        idempotent: fields.flag("idempotent"),
        needs: Needs {
            cores: need(&mut needs_fields, "cores"),
            memory_mib: need(&mut needs_fields, "memory_mib"),
            accelerators: need(&mut needs_fields, "accelerators"),
        },
        declared_run_time: duration(&mut fields, "declared_run_ms"),
        inputs: inputs(&mut fields, body, max_tasks),
        traceparent,
    };
    let mut errors = fields.finish();
    errors.extend(needs_fields.finish());
    match errors.is_empty() {
        true => Ok(submission),
        false => Err(Refusal::Invalid(errors)),
    }
}

fn duration(fields: &mut RequestFields<'_>, name: &str) -> Option<Duration> {
    fields
        .number(name, 1..=MAX_DURATION_MS)
        .map(Duration::from_millis)
}

fn need(fields: &mut RequestFields<'_>, name: &str) -> u32 {
    let need = fields.number(name, 0..=u64::from(u32::MAX)).unwrap_or(0);
    u32::try_from(need).unwrap_or(u32::MAX)
}

/// Reads the inputs as slices of `body`, without copying them.
fn inputs<'a>(fields: &mut RequestFields<'a>, body: &'a Bytes, max_tasks: usize) -> Vec<Bytes> {
    fields
        .list("inputs", max_tasks)
        .into_iter()
        .map(|input| body.slice_ref(input.get().as_bytes()))
        .collect()
}
