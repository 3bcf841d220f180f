//! An in-memory platform.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use futures_lite::future::ready;
use indexmap::IndexMap;

use super::client::Platform;
use super::client::PlatformFuture;
use super::instance::InstanceList;
use super::instance::ListedInstance;
use super::row::CasResult;
use super::row::InsertResult;
use super::row::NewRow;
use super::row::Row;
use crate::unix_time::unix_time_ms;

/// A platform in memory that never fails, for tests and for the stand-in server.
#[derive(Default)]
pub struct MemoryPlatform(Mutex<State>);

#[derive(Default)]
struct State {
    rows: IndexMap<RowKey, Row>,
    objects: IndexMap<String, Bytes>,
    instances: IndexMap<String, ListedInstance>,
}

#[derive(PartialEq, Eq, Hash)]
struct RowKey {
    table: String,
    key: String,
}

impl RowKey {
    fn new(table: &str, key: &str) -> Self {
        Self {
            table: table.to_owned(),
            key: key.to_owned(),
        }
    }
}

impl MemoryPlatform {
    /// Removes an instance from the list, as the platform does when it has seen the instance end.
    pub fn end_instance(&self, name: &str) {
        self.state().instances.shift_remove(name);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn insert(&mut self, table: &str, row: NewRow) -> InsertResult {
        let key = RowKey::new(table, &row.key);
        if let Some(present) = self.rows.get(&key) {
            return InsertResult::Present(present.clone());
        }
        let value = row.value;
        self.rows.insert(key, Row { revision: 1, value });
        InsertResult::Inserted
    }

    fn compare_and_set(&mut self, key: RowKey, expected: Option<u64>, value: Bytes) -> CasResult {
        let stored = self.rows.get(&key);
        let current = stored.map(|row| row.revision);
        if current != expected {
            return CasResult::Conflict(stored.cloned());
        }
        let revision = current.unwrap_or(0) + 1;
        self.rows.insert(key, Row { revision, value });
        CasResult::Written { revision }
    }
}

impl Platform for MemoryPlatform {
    fn read<'a>(&'a self, table: &'a str, key: &'a str) -> PlatformFuture<'a, Option<Row>> {
        let row = self.state().rows.get(&RowKey::new(table, key)).cloned();
        Box::pin(ready(Ok(row)))
    }

    fn insert_if_absent<'a>(
        &'a self,
        table: &'a str,
        rows: Vec<NewRow>,
    ) -> PlatformFuture<'a, Vec<InsertResult>> {
        let mut state = self.state();
        let results = rows
            .into_iter()
            .map(|row| state.insert(table, row))
            .collect();
        Box::pin(ready(Ok(results)))
    }

    fn compare_and_set<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
        expected: Option<u64>,
        value: Bytes,
    ) -> PlatformFuture<'a, CasResult> {
        let key = RowKey::new(table, key);
        let result = self.state().compare_and_set(key, expected, value);
        Box::pin(ready(Ok(result)))
    }

    fn put_object<'a>(&'a self, name: &'a str, body: Bytes) -> PlatformFuture<'a, ()> {
        self.state().objects.insert(name.to_owned(), body);
        Box::pin(ready(Ok(())))
    }

    fn get_object<'a>(&'a self, name: &'a str) -> PlatformFuture<'a, Option<Bytes>> {
        let body = self.state().objects.get(name).cloned();
        Box::pin(ready(Ok(body)))
    }

    fn list_instances(&self) -> PlatformFuture<'_, InstanceList> {
        let list = InstanceList {
            listed_at_ms: unix_time_ms(),
            instances: self.state().instances.values().cloned().collect(),
        };
        Box::pin(ready(Ok(list)))
    }

    fn announce(&self, instance: ListedInstance) -> PlatformFuture<'_, ()> {
        let name = instance.name.clone();
        self.state().instances.insert(name, instance);
        Box::pin(ready(Ok(())))
    }
}
