//! Generators of random values for several test files.

pub(crate) mod any_message;
