//! The operations of the platform that the processes use.

use std::future::Future;
use std::pin::Pin;

use bytes::Bytes;

use super::error::PlatformError;
use super::instance::InstanceList;
use super::instance::ListedInstance;
use super::row::CasResult;
use super::row::InsertResult;
use super::row::NewRow;
use super::row::Row;

/// The future of a platform operation.
pub type PlatformFuture<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

/// A client of the platform: its table, object store and instance list.
pub trait Platform: Send + Sync {
    /// Reads a row; `None` if the key is absent.
    fn read<'a>(&'a self, table: &'a str, key: &'a str) -> PlatformFuture<'a, Option<Row>>;

    /// Inserts each row whose key is absent, all in one write of the table.
    ///
    /// Returns one result per row, in the same order.
    fn insert_if_absent<'a>(
        &'a self,
        table: &'a str,
        rows: Vec<NewRow>,
    ) -> PlatformFuture<'a, Vec<InsertResult>>;

    /// Writes a row if its revision is `expected`; `None` means that the row must be absent.
    fn compare_and_set<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
        expected: Option<u64>,
        value: Bytes,
    ) -> PlatformFuture<'a, CasResult>;

    /// Stores an object under a name, replacing an older one.
    fn put_object<'a>(&'a self, name: &'a str, body: Bytes) -> PlatformFuture<'a, ()>;

    /// Fetches an object; `None` if the name is unknown.
    fn get_object<'a>(&'a self, name: &'a str) -> PlatformFuture<'a, Option<Bytes>>;

    /// Fetches the list of instances, which may be out of date.
    fn list_instances(&self) -> PlatformFuture<'_, InstanceList>;

    /// Adds an instance to the list, replacing one of the same name.
    ///
    /// The platform itself removes instances that it has seen end.
    fn announce(&self, instance: ListedInstance) -> PlatformFuture<'_, ()>;
}
