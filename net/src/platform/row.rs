//! Rows of the platform's table and the results of writing them.

use almondhead_macros::message;
use almondhead_macros::value;
use bytes::Bytes;

use super::base64_bytes;

/// A stored row.
#[message]
#[derive(Eq)]
pub struct Row {
    /// The revision, which increases with each write of the row, starting at 1.
    pub revision: u64,
    /// The value, base64 in JSON.
    #[serde(with = "base64_bytes")]
    pub value: Bytes,
}

/// A row to insert.
#[message]
pub struct NewRow {
    /// The key, any text.
    pub key: String,
    /// The value, base64 in JSON.
    #[serde(with = "base64_bytes")]
    pub value: Bytes,
}

/// The outcome of inserting one row.
#[message]
#[serde(rename_all = "snake_case")]
pub enum InsertResult {
    /// The row was absent and now holds the value, at revision 1.
    Inserted,
    /// The row already existed and is unchanged.
    Present(Row),
}

/// The outcome of a compare-and-set.
#[value]
pub enum CasResult {
    /// The value was written.
    Written {
        /// The row's new revision.
        revision: u64,
    },
    /// The row does not have the expected revision and is unchanged; `None` if it is absent.
    Conflict(Option<Row>),
}

/// The body of an insert request: rows written in one write of the table.
#[message]
pub struct InsertRequest {
    /// The rows, each written if its key is absent.
    pub rows: Vec<NewRow>,
}

/// The body of the answer to an insert request.
#[message]
pub struct InsertResponse {
    /// One result per row, in the same order.
    pub results: Vec<InsertResult>,
}
