use std::collections::BTreeMap;

use tarragon_agreement::{Entry, Replica, ReplicaRole};
use tarragon_names::{LogIndex, MemberId, Millis, Term};

/// Safety checks over all replicas; a violation panics.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    leaders: BTreeMap<Term, MemberId>,
    committed: Vec<Entry>,
}

impl InvariantChecker {
    pub fn committed(&self) -> &[Entry] {
        &self.committed
    }

    /// Checks that every replica applies the same entries in the same order.
    pub fn check_applied(&mut self, entries: &[Entry]) {
        for entry in entries {
            let position = entry.index.0 as usize - 1;
            if let Some(known) = self.committed.get(position) {
                assert_eq!(known, entry, "committed entry changed");
                continue;
            }
            assert_eq!(position, self.committed.len(), "gap in committed entries");
            self.committed.push(entry.clone());
        }
    }

    /// Checks that each term has one leader, and that no replica holds a lease while another has
    /// committed more entries.
    pub fn check_replica(&mut self, replica: &Replica, now: Millis) {
        if replica.role() == ReplicaRole::Leader {
            let known = *self.leaders.entry(replica.term()).or_insert(replica.id());
            assert_eq!(known, replica.id(), "two leaders in {}", replica.term());
        }
        if replica.lease_valid(now) {
            let newest = LogIndex(self.committed.len() as u64);
            assert!(replica.commit_index() >= newest, "stale leased read");
        }
    }
}
