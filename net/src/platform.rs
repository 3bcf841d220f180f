//! The platform's transactional table, object store and instance list.

mod base64_bytes;
mod client;
mod error;
mod http_platform;
mod instance;
mod memory_platform;
mod resolve;
mod row;

pub use client::Platform;
pub use client::PlatformFuture;
pub use error::PlatformError;
pub use error::PlatformOperation;
pub use http_platform::HttpPlatform;
pub use instance::InstanceList;
pub use instance::InstanceRole;
pub use instance::InstanceState;
pub use instance::ListedInstance;
pub use memory_platform::MemoryPlatform;
pub use resolve::compare_and_set_resolved;
pub use resolve::insert_resolved;
pub use row::CasResult;
pub use row::InsertRequest;
pub use row::InsertResponse;
pub use row::InsertResult;
pub use row::NewRow;
pub use row::Row;
