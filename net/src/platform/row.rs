//! Rows of the platform's table and the results of writing them.

use almondhead_macros::message;
use almondhead_macros::value;
use bytes::Bytes;

use super::base64_bytes;

/// A row as stored.
#[message]
#[derive(Eq)]
pub struct Row {
    /// The revision, which grows with each write of the row. The first is 1.
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

/// What became of one row of an insert.
#[message]
#[serde(rename_all = "snake_case")]
pub enum InsertResult {
    /// The row was absent and now holds the value, at revision 1.
    Inserted,
    /// The row was there already and is unchanged.
    Present(Row),
}

/// What became of a compare-and-set.
#[value]
pub enum CasResult {
    /// The value was written.
    Written {
        /// The row's new revision.
        revision: u64,
    },
    /// The row has another revision than expected; it is unchanged. No row means it is absent.
    Conflict(Option<Row>),
}

/// The body of an insert call: rows written as one group.
#[message]
pub struct InsertRequest {
    /// The rows, each written if its key is absent.
    pub rows: Vec<NewRow>,
}

/// The answer to an insert call.
#[message]
pub struct InsertResponse {
    /// One result for each row, in the same order.
    pub results: Vec<InsertResult>,
}
