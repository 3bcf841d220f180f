//! Wire encoding of changes of the upstreams' entries.

use std::sync::Arc;
use std::time::Duration;

use crate::peer_codec::field::DecodeError;
use crate::peer_codec::field::bounded;
use crate::peer_codec::field::name;
use crate::peer_codec::field::required;
use crate::peer_codec::field::to_us;
use crate::peer_proto as proto;
use crate::runs::listed_upstream::ListedUpstream;
use crate::runs::listed_upstream::ListingChange;
use crate::runs::listing_relay::ListingUpdate;

/// The maximum number of changes in an update: more upstreams than a site has.
const MAX_CHANGES: usize = 16_384;

/// The maximum number of labels of an upstream.
pub const MAX_LABELS: usize = 256;

impl From<ListingUpdate> for proto::ListingUpdate {
    fn from(update: ListingUpdate) -> Self {
        proto::ListingUpdate {
            after: update.after,
            version: update.version,
            changes: update.changes.into_iter().map(Into::into).collect(),
            age_us: update.age.map(to_us),
        }
    }
}

impl TryFrom<proto::ListingUpdate> for ListingUpdate {
    type Error = DecodeError;

    fn try_from(update: proto::ListingUpdate) -> Result<Self, DecodeError> {
        let changes = bounded("listing.changes", update.changes, MAX_CHANGES)?;
        Ok(ListingUpdate {
            after: update.after,
            version: update.version,
            changes: changes.into_iter().filter_map(decode_change).collect(),
            age: update.age_us.map(Duration::from_micros),
        })
    }
}

impl From<ListingChange> for proto::ListingChange {
    fn from(change: ListingChange) -> Self {
        proto::ListingChange {
            id: change.id.to_string(),
            version: change.version,
            upstream: change.upstream.map(|upstream| encode_upstream(&upstream)),
        }
    }
}

/// Decodes a change; an upstream whose entry is not valid counts as removed, and a change without a
/// valid id is left out, so that neither costs the other changes.
fn decode_change(change: proto::ListingChange) -> Option<ListingChange> {
    let id = name("listing.changes.id", change.id).inspect_err(log_invalid);
    let id = id.ok()?;
    let upstream = change.upstream.and_then(|body| {
        let decoded = decode_upstream(&id, body).inspect_err(log_invalid);
        decoded.ok().map(Arc::new)
    });
    Some(ListingChange {
        id,
        version: change.version,
        upstream,
    })
}

fn log_invalid(error: &DecodeError) {
    tracing::warn!(%error, "relayed entry of an upstream not valid");
}

fn encode_upstream(upstream: &ListedUpstream) -> proto::ListedUpstream {
    let labels = upstream.labels.iter().map(|label| label.to_string());
    proto::ListedUpstream {
        service: upstream.service.to_string(),
        address: upstream.address.to_string(),
        data_centre: upstream.data_centre.to_string(),
        draining: upstream.draining,
        capacity: Some(upstream.capacity.into()),
        labels: labels.collect(),
        born_unix_ms: upstream.born_unix_ms,
    }
}

fn decode_upstream(
    id: &Arc<str>,
    body: proto::ListedUpstream,
) -> Result<ListedUpstream, DecodeError> {
    let address = body.address.parse();
    let labels = bounded("listing.upstream.labels", body.labels, MAX_LABELS)?;
    let labels = labels
        .into_iter()
        .map(|label| name("listing.upstream.labels", label));
    Ok(ListedUpstream {
        id: id.clone(),
        service: name("listing.upstream.service", body.service)?,
        address: address.map_err(|_| DecodeError::OutOfRange {
            field: "listing.upstream.address",
        })?,
        data_centre: name("listing.upstream.data_centre", body.data_centre)?,
        draining: body.draining,
        capacity: required("listing.upstream.capacity", body.capacity)?.into(),
        labels: labels.collect::<Result<_, _>>()?,
        born_unix_ms: body.born_unix_ms,
    })
}
