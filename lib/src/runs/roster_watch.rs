//! Which members of the roster have died, by their heartbeats in the store.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::roster::Roster;
use crate::time::Timestamp;

/// How long a member's row may stay the same while the store answers: two and a half heartbeats.
pub(crate) const DEAD_AFTER: Duration = Duration::from_millis(2_500);

/// How long after one instance another one removes a member that still stands.
const REMOVAL_GAP: Duration = Duration::from_millis(300);

/// When each member's row changed last, as seen here.
#[derive(Debug, Default)]
pub(crate) struct RosterWatch {
    rows: IndexMap<Arc<str>, (u64, Timestamp)>,
    /// Since when the store has answered; none while it is away.
    store_since: Option<Timestamp>,
    read_at: Option<Timestamp>,
}

impl RosterWatch {
    pub(crate) fn store_lost(&mut self) {
        self.store_since = None;
    }

    pub(crate) fn store_regained(&mut self, now: Timestamp) {
        self.store_since.get_or_insert(now);
    }

    /// Notes the rows of a roster that was read.
    pub(crate) fn read(&mut self, now: Timestamp, roster: &Roster) {
        self.read_at = Some(now);
        self.rows.retain(|name, _| roster.member(name).is_some());
        for member in &roster.members {
            let row = self.rows.entry(member.name.clone());
            let (version, changed_at) = row.or_insert((member.row_version, now));
            if *version != member.row_version {
                *version = member.row_version;
                *changed_at = now;
            }
        }
    }

    /// The members that have died, with their rows' versions, as far as this instance is the one
    /// to remove them now.
    pub(crate) fn dead(
        &self,
        now: Timestamp,
        own: &str,
        roster: &Roster,
        is_reachable: impl Fn(&str) -> bool,
    ) -> Vec<(Arc<str>, u64)> {
        let (Some(store_since), Some(read_at)) = (self.store_since, self.read_at) else {
            return Vec::new();
        };
        if now.since(read_at) >= DEAD_AFTER / 2 {
            return Vec::new();
        }
        let rows = self.rows.iter();
        let others = rows.filter(|(name, _)| &***name != own);
        let dead = others.filter(|(name, (_, changed_at))| {
            let silent = now.since((*changed_at).max(store_since));
            let turn = REMOVAL_GAP * removal_rank(own, name, roster);
            !is_reachable(name) && silent >= DEAD_AFTER + turn
        });
        let dead = dead.map(|(name, (version, _))| (name.clone(), *version));
        dead.collect()
    }
}

/// The place of an instance among those that could remove a member.
fn removal_rank(own: &str, dead: &str, roster: &Roster) -> u32 {
    let seed = xxh3_64_with_seed(dead.as_bytes(), 0);
    let score = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
    let own_score = score(own);
    let members = roster.members.iter();
    let before = members.filter(|member| {
        let name = &*member.name;
        name != own && name != dead && score(name) > own_score
    });
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}
