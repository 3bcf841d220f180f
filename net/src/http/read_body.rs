//! Reads a response body whole, or fails if its end cannot be recognized.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::Version;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::TRANSFER_ENCODING;

use super::error::Failure;
use super::progress::Progress;
use super::response::HttpResponse;

/// Reads the whole body of `response`, and records in `progress` when its parts arrive; fails if it is
/// longer than `limit_bytes`.
pub(crate) async fn read_body(
    response: Response<Incoming>,
    limit_bytes: usize,
    progress: &Progress,
) -> Result<HttpResponse, Failure> {
    if !has_stated_end(&response) {
        return Err(Failure::BodyWithoutEnd);
    }
    let (head, body) = response.into_parts();
    let body = collect(body, limit_bytes, progress).await?;
    Ok(HttpResponse {
        status: head.status,
        headers: head.headers,
        body,
    })
}

fn has_stated_end(response: &Response<Incoming>) -> bool {
    response.version() == Version::HTTP_2
        || response.body().size_hint().exact().is_some()
        || response.headers().contains_key(TRANSFER_ENCODING)
}

async fn collect(
    mut body: Incoming,
    limit_bytes: usize,
    progress: &Progress,
) -> Result<Bytes, Failure> {
    let too_long = Failure::BodyTooLong { limit_bytes };
    if body.size_hint().lower() > limit_bytes as u64 {
        return Err(too_long);
    }
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        progress.record_received();
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if collected.len() + data.len() > limit_bytes {
            return Err(too_long);
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}
