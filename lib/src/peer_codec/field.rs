//! Decoding of single fields of peer messages; errors carry the field's name.

use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::value;
use derive_more::Display;
use derive_more::Error;

use crate::document_limits::MAX_TASKS_PER_JOB;

/// The maximum number of items in a list that has no limit of its own: the tasks of one job.
pub const MAX_TASKS: usize = MAX_TASKS_PER_JOB as usize;

/// The maximum number of batches that one cancellation or report lists.
pub const MAX_BATCHES_PER_CANCEL: usize = 4_096;

/// The maximum number of services in one digest.
pub const MAX_SERVICES: usize = 256;

/// The maximum length of a name, key or `traceparent` in bytes.
pub const MAX_NAME_BYTES: usize = 512;

/// Why a peer message could not be decoded.
#[value]
#[derive(Display, Error)]
pub enum DecodeError {
    /// The bytes are not the encoding of a message.
    #[display("peer message is not valid protobuf")]
    Malformed,
    /// A required field is absent.
    #[display("peer message lacks the field {field}")]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// An enumeration has no such value.
    #[display("peer message has the unknown value {number} in the field {field}")]
    UnknownValue {
        /// The field.
        field: &'static str,
        /// The value.
        number: i32,
    },
    /// A number is out of its range, or a job id is malformed.
    #[display("peer message has an invalid value in the field {field}")]
    OutOfRange {
        /// The field.
        field: &'static str,
    },
    /// A list holds too many items.
    #[display("peer message holds {items} items in the field {field}, more than {max_items}")]
    TooMany {
        /// The field.
        field: &'static str,
        /// The number of items found.
        items: usize,
        /// The maximum allowed.
        max_items: usize,
    },
    /// A text is too long.
    #[display("peer message holds {text_bytes} bytes in the field {field}, more than {max_bytes}")]
    TooLong {
        /// The field.
        field: &'static str,
        /// The number of bytes found.
        text_bytes: usize,
        /// The maximum allowed.
        max_bytes: usize,
    },
}

/// Returns the value of a required field.
pub(super) fn required<T>(field: &'static str, value: Option<T>) -> Result<T, DecodeError> {
    value.ok_or(DecodeError::Missing { field })
}

/// Returns the list if it has at most `max_items` items.
pub(super) fn bounded<T>(
    field: &'static str,
    list: Vec<T>,
    max_items: usize,
) -> Result<Vec<T>, DecodeError> {
    let items = list.len();
    if items > max_items {
        return Err(DecodeError::TooMany {
            field,
            items,
            max_items,
        });
    }
    Ok(list)
}

/// Returns the text if it has at most [`MAX_NAME_BYTES`] bytes.
pub(super) fn name(field: &'static str, text: String) -> Result<Arc<str>, DecodeError> {
    let text_bytes = text.len();
    if text_bytes > MAX_NAME_BYTES {
        return Err(DecodeError::TooLong {
            field,
            text_bytes,
            max_bytes: MAX_NAME_BYTES,
        });
    }
    Ok(Arc::from(text))
}

/// Returns an optional text if it is absent or has at most [`MAX_NAME_BYTES`] bytes.
pub(super) fn optional_name(
    field: &'static str,
    text: Option<String>,
) -> Result<Option<Arc<str>>, DecodeError> {
    text.map(|text| name(field, text)).transpose()
}

/// Converts a duration to whole microseconds; [`u64::MAX`] if it does not fit.
/// Whole milliseconds, rounded up.
pub(super) fn to_ms_up(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}

pub(super) fn to_us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
