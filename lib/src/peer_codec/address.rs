//! Wire encoding of job addresses.

use crate::id::Incarnation;
use crate::id::JobAddress;
use crate::id::SessionId;
use crate::peer_codec::field::DecodeError;
use crate::peer_codec::field::name;
use crate::peer_codec::field::required;
use crate::peer_proto as proto;
use crate::peer_proto::job_address::Form;

impl From<JobAddress> for proto::JobAddress {
    fn from(address: JobAddress) -> Self {
        let form = match address {
            JobAddress::Session { session, number } => Form::Session(proto::SessionJob {
                home: session.home.0,
                instance: session.instance.to_string(),
                session: session.number,
                number,
            }),
            JobAddress::Key { team, key } => Form::Keyed(proto::KeyedJob {
                team: team.to_string(),
                key: key.to_string(),
            }),
            JobAddress::Single => Form::Single(proto::SingleJob {}),
        };
        proto::JobAddress { form: Some(form) }
    }
}

impl TryFrom<proto::JobAddress> for JobAddress {
    type Error = DecodeError;

    fn try_from(address: proto::JobAddress) -> Result<Self, DecodeError> {
        let address = match required("address.form", address.form)? {
            Form::Session(job) => JobAddress::Session {
                session: SessionId {
                    home: Incarnation(job.home),
                    instance: name("address.instance", job.instance)?,
                    number: job.session,
                },
                number: job.number,
            },
            Form::Keyed(job) => JobAddress::Key {
                team: name("address.team", job.team)?,
                key: name("address.key", job.key)?,
            },
            Form::Single(proto::SingleJob {}) => JobAddress::Single,
        };
        Ok(address)
    }
}
