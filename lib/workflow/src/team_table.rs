use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{Name, TeamName};

use crate::{KeyDigest, Team, TeamConflict};

/// Teams of a configuration, and the queues whose calls need no key.
///
/// An empty table switches teams off: calls need no key, and no caps or shares apply.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "TeamSettings", into = "TeamSettings")]
pub struct TeamTable {
    teams: BTreeMap<TeamName, Team>,
    by_key: HashMap<KeyDigest, TeamName>,
    anonymous_queues: BTreeSet<Name>,
}

/// Serialized form of a table; the rest follows from it.
#[derive(Deserialize, Serialize)]
struct TeamSettings {
    teams: Vec<Team>,
    anonymous_queues: Vec<Name>,
}

impl TeamTable {
    /// Creates a table, and refuses teams that share a name or a key.
    pub fn new(teams: Vec<Team>, anonymous_queues: Vec<Name>) -> Outcome<Self> {
        if let Some(conflict) = TeamConflict::find(&teams).into_iter().next() {
            return Err(Failure::new(Code::BadEntry, conflict.to_string()));
        }
        Ok(Self::from(TeamSettings {
            teams,
            anonymous_queues,
        }))
    }

    /// Returns whether there are no teams, so that calls need no key.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Iterates over the teams by name.
    pub fn iter(&self) -> impl Iterator<Item = &Team> {
        self.teams.values()
    }

    /// Returns a team by its name.
    pub fn get(&self, name: &TeamName) -> Option<&Team> {
        self.teams.get(name)
    }

    /// Returns the team of a call for a queue; `None` if it needs no team.
    ///
    /// A key that no team has is refused on every queue. A call without a key is refused unless the
    /// queue allows anonymous calls.
    pub fn authenticate(&self, queue: &Name, key: Option<&KeyDigest>) -> Outcome<Option<&Team>> {
        if self.is_empty() {
            return Ok(None);
        }
        let Some(key) = key else {
            if self.anonymous_queues.contains(queue) {
                return Ok(None);
            }
            return Err(Failure::new(Code::UnknownKey, "the call has no key"));
        };
        let team = self.by_key.get(key).and_then(|name| self.teams.get(name));
        team.map(Some).ok_or_else(|| Failure::of(Code::UnknownKey))
    }

    /// Refuses a call of `caller` for a job of another team. A job whose team is not configured any
    /// more may be seen by every accepted call, since its team may have been renamed.
    pub fn check_owner(&self, owner: Option<&TeamName>, caller: Option<&TeamName>) -> Outcome<()> {
        let (Some(owner), Some(caller)) = (owner, caller) else {
            return Ok(());
        };
        if owner != caller && self.teams.contains_key(owner) {
            return Err(Failure::of(Code::OtherTeam));
        }
        Ok(())
    }
}

impl From<TeamSettings> for TeamTable {
    fn from(settings: TeamSettings) -> Self {
        let teams = settings.teams.into_iter();
        let teams = teams.map(|team| (team.name.clone(), team));
        let teams = teams.collect::<BTreeMap<_, _>>();
        let keys = teams.values().flat_map(|team| {
            let keys = team.keys.iter();
            keys.map(|key| (*key, team.name.clone()))
        });
        Self {
            by_key: keys.collect(),
            teams,
            anonymous_queues: settings.anonymous_queues.into_iter().collect(),
        }
    }
}

impl From<TeamTable> for TeamSettings {
    fn from(table: TeamTable) -> Self {
        Self {
            teams: table.teams.into_values().collect(),
            anonymous_queues: table.anonymous_queues.into_iter().collect(),
        }
    }
}
