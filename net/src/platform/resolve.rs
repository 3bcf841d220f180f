//! Writes that resolve a lost answer by reading the row back.
//!
//! Each value must contain a token of its writer that no other value of the row ever contains, so
//! that equal values prove whose write took effect.

use bytes::Bytes;

use super::client::Platform;
use super::error::PlatformError;
use super::row::CasResult;
use super::row::InsertResult;
use super::row::NewRow;
use super::row::Row;

/// Inserts rows; if the write may have taken effect without an answer, reads the rows back.
///
/// # Errors
///
/// The insert's error if it cannot be resolved, also if reading back fails; it tells whether the
/// write may have taken effect.
pub async fn insert_resolved(
    platform: &dyn Platform,
    table: &str,
    rows: Vec<NewRow>,
) -> Result<Vec<InsertResult>, PlatformError> {
    let error = match platform.insert_if_absent(table, rows.clone()).await {
        Err(error) if error.may_have_applied() => error,
        outcome => return outcome,
    };
    let mut results = Vec::with_capacity(rows.len());
    for row in &rows {
        match platform.read(table, &row.key).await {
            Ok(Some(stored)) => results.push(inserted_by_us(stored, &row.value)),
            Ok(None) | Err(_) => return Err(error),
        }
    }
    Ok(results)
}

/// Compares and sets a row; if the write may have taken effect without an answer, reads the row
/// back.
///
/// A write that is not visible yet, or that was overwritten since, cannot be distinguished from one
/// that never took effect: the first remains an error, the second is a conflict with the current
/// row.
pub async fn compare_and_set_resolved(
    platform: &dyn Platform,
    table: &str,
    key: &str,
    expected: Option<u64>,
    value: Bytes,
) -> Result<CasResult, PlatformError> {
    let outcome = platform
        .compare_and_set(table, key, expected, value.clone())
        .await;
    let error = match outcome {
        Err(error) if error.may_have_applied() => error,
        outcome => return outcome,
    };
    let Ok(stored) = platform.read(table, key).await else {
        return Err(error);
    };
    if stored.as_ref().map(|row| row.revision) == expected {
        return Err(error);
    }
    Ok(match stored {
        Some(row) if row.value == value => CasResult::Written {
            revision: row.revision,
        },
        stored => CasResult::Conflict(stored),
    })
}

fn inserted_by_us(stored: Row, value: &Bytes) -> InsertResult {
    if stored.value == *value {
        InsertResult::Inserted
    } else {
        InsertResult::Present(stored)
    }
}
