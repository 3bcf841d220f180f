//! The platform over HTTP, as specified in `docs/protocols/platform.md`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::ETAG;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::IF_MATCH;
use hyper::header::IF_NONE_MATCH;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::client::Platform;
use super::client::PlatformFuture;
use super::error::PlatformError;
use super::error::PlatformOperation;
use super::instance::InstanceList;
use super::instance::ListedInstance;
use super::row::CasResult;
use super::row::InsertRequest;
use super::row::InsertResponse;
use super::row::InsertResult;
use super::row::NewRow;
use super::row::Row;
use crate::http::HttpClient;
use crate::http::HttpRequest;
use crate::http::HttpResponse;
use crate::http::HttpSettings;
use crate::path_segment::encode_segment;

/// HTTP client of the platform.
pub struct HttpPlatform {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

/// A response with its operation and peer, for error messages.
struct Answer {
    operation: PlatformOperation,
    peer: SocketAddr,
    response: HttpResponse,
}

impl HttpPlatform {
    /// Creates a client of the platform at `address` whose operations time out after `timeout`.
    pub fn new(address: SocketAddr, settings: HttpSettings, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(settings),
            address,
            timeout,
        }
    }

    async fn call(
        &self,
        operation: PlatformOperation,
        request: HttpRequest,
    ) -> Result<Answer, PlatformError> {
        let peer = self.address;
        let response = self
            .client
            .send(request, self.timeout)
            .await
            .map_err(|source| PlatformError::Exchange { operation, source })?;
        match response.status.as_u16() {
            200 | 404 | 412 => Ok(Answer {
                operation,
                peer,
                response,
            }),
            503 => Err(PlatformError::OutOfService { operation, peer }),
            status @ 400..=499 => Err(PlatformError::Refused {
                operation,
                peer,
                status,
            }),
            status => Err(PlatformError::BadAnswer {
                operation,
                peer,
                status,
            }),
        }
    }

    fn request(&self, method: Method, path: impl Into<String>) -> HttpRequest {
        HttpRequest::new(method, self.address, path)
    }
}

impl Answer {
    fn row(&self) -> Result<Option<Row>, PlatformError> {
        if self.response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let row = Row {
            revision: self.revision()?,
            value: self.response.body.clone(),
        };
        Ok(Some(row))
    }

    fn cas_result(&self) -> Result<CasResult, PlatformError> {
        match self.response.status {
            StatusCode::OK => Ok(CasResult::Written {
                revision: self.revision()?,
            }),
            StatusCode::PRECONDITION_FAILED if !self.response.headers.contains_key(ETAG) => {
                Ok(CasResult::Conflict(None))
            }
            StatusCode::PRECONDITION_FAILED => Ok(CasResult::Conflict(self.row()?)),
            _ => Err(self.bad_answer()),
        }
    }

    fn revision(&self) -> Result<u64, PlatformError> {
        self.response
            .header(ETAG.as_str())
            .and_then(|tag| tag.strip_prefix('"')?.strip_suffix('"')?.parse().ok())
            .ok_or_else(|| self.bad_answer())
    }

    fn json<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        self.expect_ok()?;
        serde_json::from_slice(&self.response.body).map_err(|_| self.bad_answer())
    }

    fn expect_ok(&self) -> Result<(), PlatformError> {
        if self.response.status == StatusCode::OK {
            Ok(())
        } else {
            Err(self.bad_answer())
        }
    }

    fn bad_answer(&self) -> PlatformError {
        PlatformError::BadAnswer {
            operation: self.operation,
            peer: self.peer,
            status: self.response.status.as_u16(),
        }
    }
}

impl Platform for HttpPlatform {
    fn read<'a>(&'a self, table: &'a str, key: &'a str) -> PlatformFuture<'a, Option<Row>> {
        let request = self.request(Method::GET, row_path(table, key));
        Box::pin(async move { self.call(PlatformOperation::Read, request).await?.row() })
    }

    fn insert_if_absent<'a>(
        &'a self,
        table: &'a str,
        rows: Vec<NewRow>,
    ) -> PlatformFuture<'a, Vec<InsertResult>> {
        let path = format!("/v1/table/{}/insert", encode_segment(table));
        let row_count = rows.len();
        let body = to_json(&InsertRequest { rows });
        let request = self.request(Method::POST, path).with_body(body);
        Box::pin(async move {
            let answer = self.call(PlatformOperation::Insert, request).await?;
            let results = answer.json::<InsertResponse>()?.results;
            if results.len() == row_count {
                Ok(results)
            } else {
                Err(answer.bad_answer())
            }
        })
    }

    fn compare_and_set<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
        expected: Option<u64>,
        value: Bytes,
    ) -> PlatformFuture<'a, CasResult> {
        let mut request = self
            .request(Method::PUT, row_path(table, key))
            .with_body(value);
        let (name, condition) = condition(expected);
        request.headers.insert(name, condition);
        Box::pin(async move {
            self.call(PlatformOperation::CompareAndSet, request)
                .await?
                .cas_result()
        })
    }

    fn put_object<'a>(&'a self, name: &'a str, body: Bytes) -> PlatformFuture<'a, ()> {
        let request = self.request(Method::PUT, object_path(name)).with_body(body);
        Box::pin(async move {
            self.call(PlatformOperation::PutObject, request)
                .await?
                .expect_ok()
        })
    }

    fn get_object<'a>(&'a self, name: &'a str) -> PlatformFuture<'a, Option<Bytes>> {
        let request = self.request(Method::GET, object_path(name));
        Box::pin(async move {
            let answer = self.call(PlatformOperation::GetObject, request).await?;
            if answer.response.status == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            answer.expect_ok()?;
            Ok(Some(answer.response.body))
        })
    }

    fn list_instances(&self) -> PlatformFuture<'_, InstanceList> {
        let request = self.request(Method::GET, INSTANCES_PATH);
        Box::pin(async move {
            self.call(PlatformOperation::ListInstances, request)
                .await?
                .json()
        })
    }

    fn announce(&self, instance: ListedInstance) -> PlatformFuture<'_, ()> {
        let request = self
            .request(Method::POST, INSTANCES_PATH)
            .with_body(to_json(&instance));
        Box::pin(async move {
            self.call(PlatformOperation::Announce, request)
                .await?
                .expect_ok()
        })
    }
}

const INSTANCES_PATH: &str = "/v1/instances";

fn row_path(table: &str, key: &str) -> String {
    format!(
        "/v1/table/{}/{}",
        encode_segment(table),
        encode_segment(key)
    )
}

fn object_path(name: &str) -> String {
    format!("/v1/objects/{}", encode_segment(name))
}

fn condition(expected: Option<u64>) -> (HeaderName, HeaderValue) {
    match expected {
        None => (IF_NONE_MATCH, HeaderValue::from_static("*")),
        Some(revision) => {
            let tag = HeaderValue::try_from(format!("\"{revision}\""));
            (IF_MATCH, tag.expect("a quoted number is a header value"))
        }
    }
}

fn to_json(message: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(message).expect("messages have text keys only")
}
