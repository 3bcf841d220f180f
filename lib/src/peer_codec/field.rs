//! Checks of single fields, each with the field's name for its error.

use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::value;
use derive_more::Display;
use derive_more::Error;

use crate::document_limits::MAX_TASKS_PER_JOB;

/// The most tasks, inputs, results or ends that one message holds: those of one job.
pub const MAX_TASKS: usize = MAX_TASKS_PER_JOB as usize;

/// The most batches that one cancellation names.
pub const MAX_BATCHES_PER_CANCEL: usize = 4_096;

/// The most services that one digest describes.
pub const MAX_SERVICES: usize = 256;

/// The longest name, key or `traceparent` in bytes.
pub const MAX_NAME_BYTES: usize = 512;

/// Why a message was not taken.
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
    /// A number is out of its range.
    #[display("peer message has a number out of range in the field {field}")]
    OutOfRange {
        /// The field.
        field: &'static str,
    },
    /// A list holds too many items.
    #[display("peer message holds {items} items in the field {field}, more than {max_items}")]
    TooMany {
        /// The field.
        field: &'static str,
        /// The items found.
        items: usize,
        /// The most allowed.
        max_items: usize,
    },
    /// A text is too long.
    #[display("peer message holds {text_bytes} bytes in the field {field}, more than {max_bytes}")]
    TooLong {
        /// The field.
        field: &'static str,
        /// The bytes found.
        text_bytes: usize,
        /// The most allowed.
        max_bytes: usize,
    },
}

/// The value of a field that must be there.
pub(super) fn required<T>(field: &'static str, value: Option<T>) -> Result<T, DecodeError> {
    value.ok_or(DecodeError::Missing { field })
}

/// A list of at most `max_items`.
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

/// A text of at most [`MAX_NAME_BYTES`].
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

/// A text that may be absent, of at most [`MAX_NAME_BYTES`].
pub(super) fn optional_name(
    field: &'static str,
    text: Option<String>,
) -> Result<Option<Arc<str>>, DecodeError> {
    text.map(|text| name(field, text)).transpose()
}

/// A span in whole microseconds, the longest when it does not fit.
pub(super) fn to_us(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
