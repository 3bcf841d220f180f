//! Network clients of the almondhead processes: an HTTP client whose errors tell whether the
//! request may have arrived, and the platform's table, objects and instance list behind a trait.

mod document_store;
mod http;
mod path_segment;
mod platform;
mod unix_time;

pub use crate::document_store::DocumentStore;
pub use crate::document_store::DocumentStoreError;
pub use crate::document_store::DocumentStoreStep;
pub use crate::document_store::Submission;
pub use crate::document_store::SubmitOutcome;
pub use crate::http::ExchangeError;
pub use crate::http::Failure;
pub use crate::http::HttpClient;
pub use crate::http::HttpRequest;
pub use crate::http::HttpResponse;
pub use crate::http::HttpSettings;
pub use crate::http::Protocol;
pub use crate::http::Sent;
pub use crate::http::Step;
pub use crate::path_segment::decode_segment;
pub use crate::path_segment::encode_segment;
pub use crate::platform::CasResult;
pub use crate::platform::HttpPlatform;
pub use crate::platform::InsertRequest;
pub use crate::platform::InsertResponse;
pub use crate::platform::InsertResult;
pub use crate::platform::InstanceList;
pub use crate::platform::InstanceRole;
pub use crate::platform::InstanceState;
pub use crate::platform::ListedInstance;
pub use crate::platform::MemoryPlatform;
pub use crate::platform::NewRow;
pub use crate::platform::Platform;
pub use crate::platform::PlatformError;
pub use crate::platform::PlatformFuture;
pub use crate::platform::PlatformOperation;
pub use crate::platform::Row;
pub use crate::platform::compare_and_set_resolved;
pub use crate::platform::insert_resolved;
pub use crate::unix_time::unix_time_ms;
pub use bytes::Bytes;
pub use hyper::HeaderMap;
pub use hyper::Method;
pub use hyper::StatusCode;
pub use hyper::header;
