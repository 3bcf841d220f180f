//! Failure detection for roster members, by their heartbeats in the platform's store.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::roster::Roster;
use crate::time::Timestamp;

/// How long a member's row may stay unchanged while the store answers until the member counts as
/// dead: two and a half heartbeats.
pub(crate) const DEAD_MEMBER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The delay between the turns of two successive instances to remove a dead member.
const REMOVAL_TURN_DELAY: Duration = Duration::from_millis(300);

/// The row version of each member and when this instance first saw it.
#[derive(Debug, Default)]
pub(crate) struct RosterWatch {
    rows: IndexMap<Arc<str>, (u64, Timestamp)>,
    /// Since when the store has been reachable; `None` while it is not.
    store_since: Option<Timestamp>,
    read_at: Option<Timestamp>,
}

impl RosterWatch {
    pub(crate) fn on_store_lost(&mut self) {
        self.store_since = None;
    }

    pub(crate) fn on_store_regained(&mut self, now: Timestamp) {
        self.store_since.get_or_insert(now);
    }

    /// Records the row versions of a roster that was read.
    pub(crate) fn record_rows(&mut self, now: Timestamp, roster: &Roster) {
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

    /// The dead members that this instance has to remove now, with their row versions.
    ///
    /// A member whose messages still arrive here is not dead. Nothing is removed while the store is
    /// unreachable or the last roster read is old.
    pub(crate) fn dead_members(
        &self,
        now: Timestamp,
        own: &str,
        roster: &Roster,
        is_reachable: impl Fn(&str) -> bool,
    ) -> Vec<(Arc<str>, u64)> {
        let (Some(store_since), Some(read_at)) = (self.store_since, self.read_at) else {
            return Vec::new();
        };
        if now.since(read_at) >= DEAD_MEMBER_TIMEOUT / 2 {
            return Vec::new();
        }
        let rows = self.rows.iter();
        let others = rows.filter(|(name, _)| &***name != own);
        let dead = others.filter(|(name, (_, changed_at))| {
            let unchanged_for = now.since((*changed_at).max(store_since));
            // Ranks cost a hash of every member's name, so only those of dead members are computed.
            if is_reachable(name) || unchanged_for < DEAD_MEMBER_TIMEOUT {
                return false;
            }
            let turn_delay = REMOVAL_TURN_DELAY * removal_rank(own, name, roster);
            unchanged_for >= DEAD_MEMBER_TIMEOUT + turn_delay
        });
        let dead = dead.map(|(name, (version, _))| (name.clone(), *version));
        dead.collect()
    }
}

/// The position of `own` in the order in which instances try to remove a dead member, from zero.
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
