//! Values that several test files draw.

pub(crate) mod any_message;
