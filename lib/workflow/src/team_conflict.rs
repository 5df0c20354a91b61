use std::collections::{HashMap, HashSet};

use derive_more::Display;
use tarragon_names::TeamName;

use crate::{KeyDigest, Team, TeamConflictKind};

/// A team that cannot be told apart from an earlier one of the list.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("team {team}: {kind}")]
pub struct TeamConflict {
    /// Position of the team in the list.
    pub index: usize,
    /// Name of the team.
    pub team: TeamName,
    /// What it has in common with the earlier one.
    pub kind: TeamConflictKind,
}

impl TeamConflict {
    /// Finds all conflicts in a list of teams.
    ///
    /// Entries of the same name conflict by their name only, whatever keys they have in common.
    pub fn find(teams: &[Team]) -> Vec<Self> {
        let mut conflicts = Vec::new();
        let mut names = HashSet::new();
        let mut owners = HashMap::<&KeyDigest, &TeamName>::new();
        for (index, team) in teams.iter().enumerate() {
            let mut report = |kind| {
                let team = team.name.clone();
                conflicts.push(Self { index, team, kind });
            };
            if !names.insert(&team.name) {
                report(TeamConflictKind::SameName);
            }
            for key in &team.keys {
                let owner = *owners.entry(key).or_insert(&team.name);
                if *owner != team.name {
                    report(TeamConflictKind::SharedKey {
                        key: *key,
                        other: owner.clone(),
                    });
                }
            }
        }
        conflicts
    }
}
