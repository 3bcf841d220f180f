//! Wire encoding of the set of evacuated data centres.

use crate::peer_codec::field::DecodeError;
use crate::peer_codec::field::MAX_TASKS;
use crate::peer_codec::field::bounded;
use crate::peer_codec::field::name;
use crate::peer_proto as proto;
use crate::runs::evacuation::EvacuatedDataCentres;

impl From<EvacuatedDataCentres> for proto::Evacuations {
    fn from(set: EvacuatedDataCentres) -> Self {
        proto::Evacuations {
            version: set.version,
            data_centres: set.names.iter().map(ToString::to_string).collect(),
        }
    }
}

impl TryFrom<proto::Evacuations> for EvacuatedDataCentres {
    type Error = DecodeError;

    fn try_from(set: proto::Evacuations) -> Result<Self, DecodeError> {
        let names = bounded("evacuations.data_centres", set.data_centres, MAX_TASKS)?;
        let names = names.into_iter();
        let names = names.map(|data_centre| name("evacuations.data_centres", data_centre));
        Ok(EvacuatedDataCentres {
            version: set.version,
            names: names.collect::<Result<_, _>>()?,
        })
    }
}
