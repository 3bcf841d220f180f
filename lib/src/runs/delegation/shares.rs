//! Which jobs an instance delegates, and to which instance.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::runs::roster::Member;
use crate::runs::roster::Roster;
use crate::runs::run_id::JobId;

/// Seeds the hash that decides whether a job is delegated.
const KEEP_SEED: u64 = 0x6465_6c65;

/// How many of its new jobs an instance keeps, and how the others are divided among larger ones.
///
/// An instance with capacity c in a data centre of mean capacity m keeps a share min(1, c/m); each
/// instance with more than m receives a part of the rest in proportion to c - m. So the expected number
/// of jobs of each home is proportional to its capacity.
#[derive(Clone, Debug, Default)]
pub struct DelegationShares {
    /// The own capacity times the number of instances, in thousandths of a core.
    own_weight: u64,
    /// The capacity of all instances of the data centre.
    total: u64,
    /// The larger instances, with their capacity above the mean.
    receivers: Vec<(Arc<str>, u64)>,
}

impl DelegationShares {
    /// The shares of the instance `own`; it keeps all jobs where it is leaving or not listed, where an
    /// instance of its data centre declares no capacity, and where it has at least the mean capacity.
    pub fn new(own: &str, roster: &Roster) -> Self {
        Self::of_smaller(own, roster).unwrap_or_default()
    }

    fn of_smaller(own: &str, roster: &Roster) -> Option<Self> {
        let own = roster.member(own).filter(|member| !member.leaving)?;
        let members = roster.members.iter();
        let members = members
            .filter(|member| member.data_centre == own.data_centre && !member.leaving)
            .map(|member| Some((member, declared(member)?)));
        let members: Vec<(&Member, u64)> = members.collect::<Option<_>>()?;
        let count = members.len() as u64;
        let total: u64 = members.iter().map(|(_, capacity)| capacity).sum();
        let own_weight = declared(own)? * count;
        if own_weight >= total {
            return None;
        }
        let above = members.iter().filter_map(|(member, capacity)| {
            let excess = (capacity * count).checked_sub(total)?;
            (excess > 0).then(|| (member.name.clone(), excess))
        });
        Some(DelegationShares {
            own_weight,
            total,
            receivers: above.collect(),
        })
    }

    /// The instance to delegate a job to; none when it stays.
    ///
    /// A repeated request for a job gets the same answer while the same instances are reachable.
    pub fn receiver(&self, job: JobId, is_reachable: impl Fn(&str) -> bool) -> Option<&Arc<str>> {
        if self.receivers.is_empty() || self.is_kept(job) {
            return None;
        }
        let receivers = self.receivers.iter();
        let reachable = receivers.filter(|(name, _)| is_reachable(name));
        let scored = reachable.map(|(name, excess)| (score(job, name, *excess), name));
        let best = scored.max_by(|(left, _), (right, _)| left.total_cmp(right));
        best.map(|(_, name)| name)
    }

    fn is_kept(&self, job: JobId) -> bool {
        let hash = xxh3_64_with_seed(job.as_str().as_bytes(), KEEP_SEED);
        let point = (u128::from(hash) * u128::from(self.total)) >> u64::BITS;
        point < u128::from(self.own_weight)
    }
}

/// The declared capacity of a member; zero counts as undeclared.
fn declared(member: &Member) -> Option<u64> {
    let capacity = member.processor_millicores.filter(|capacity| *capacity > 0);
    capacity.map(u64::from)
}

/// The weighted rendezvous score of an instance for a job.
fn score(job: JobId, instance: &str, weight: u64) -> f64 {
    let seed = xxh3_64_with_seed(instance.as_bytes(), 0);
    let hash = xxh3_64_with_seed(job.as_str().as_bytes(), seed);
    // Between zero and one, neither included.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -(weight as f64) / uniform.ln()
}
