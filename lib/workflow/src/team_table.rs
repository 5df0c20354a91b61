use std::collections::{HashMap, HashSet};

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
    /// Teams in the order of their names.
    teams: Vec<Team>,
    /// Boxed, because requests and commands hold tables.
    index: Box<TeamIndex>,
}

/// Positions of the teams of a table, and the queues whose calls need no key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct TeamIndex {
    by_name: HashMap<TeamName, usize>,
    by_key: HashMap<KeyDigest, usize>,
    anonymous_queues: HashSet<Name>,
}

/// Serialized form of a table; the rest follows from it.
#[derive(Deserialize, Serialize)]
struct TeamSettings {
    teams: Vec<Team>,
    anonymous_queues: Vec<Name>,
}

impl TeamTable {
    /// Creates a table, and refuses teams that share a name or a key.
    ///
    /// Without teams the table is empty, whatever the queues allow, because a configuration without
    /// teams is stored without its table.
    pub fn new(teams: Vec<Team>, anonymous_queues: Vec<Name>) -> Outcome<Self> {
        if teams.is_empty() {
            return Ok(Self::default());
        }
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
        self.teams.iter()
    }

    /// Returns a team by its name.
    pub fn get(&self, name: &TeamName) -> Option<&Team> {
        self.teams.get(*self.index.by_name.get(name)?)
    }

    fn team_with(&self, key: &KeyDigest) -> Option<&Team> {
        self.teams.get(*self.index.by_key.get(key)?)
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
            if self.index.anonymous_queues.contains(queue) {
                return Ok(None);
            }
            return Err(Failure::new(Code::UnknownKey, "the call has no key"));
        };
        let team = self.team_with(key);
        let team = team.ok_or_else(|| Failure::new(Code::UnknownKey, "the key is not in force"))?;
        Ok(Some(team))
    }

    /// Refuses a call of the team `caller` for a job of `owner`, as it was last configured. A call
    /// without a team reaches only jobs without one; otherwise a caller could leave out its key to
    /// reach jobs of other teams through a queue that allows anonymous calls.
    ///
    /// A team that was renamed keeps its jobs: the owner is no longer configured, and the caller has one
    /// of its keys.
    pub fn check_owner(&self, owner: Option<&Team>, caller: Option<&TeamName>) -> Outcome<()> {
        let Some(owner) = owner.filter(|_| !self.is_empty()) else {
            return Ok(());
        };
        let is_owner =
            caller.is_some_and(|team| *team == owner.name || self.is_successor(team, owner));
        if is_owner {
            return Ok(());
        }
        let cause = match caller {
            Some(team) => format!("the job is of another team than {:?}", team.as_str()),
            None => "the job is of a team, and the call has no key".to_owned(),
        };
        Err(Failure::new(Code::OtherTeam, cause))
    }

    /// Returns whether `team` has a key of a team that is no longer configured.
    fn is_successor(&self, team: &TeamName, removed: &Team) -> bool {
        let mut keys = removed.keys.iter();
        self.get(&removed.name).is_none()
            && keys.any(|key| self.team_with(key).is_some_and(|known| known.name == *team))
    }
}

impl From<TeamSettings> for TeamTable {
    fn from(settings: TeamSettings) -> Self {
        let mut teams = settings.teams;
        teams.sort_by(|one, other| one.name.cmp(&other.name));
        let names = teams.iter().map(|team| team.name.clone()).zip(0..);
        let keys = teams.iter().zip(0..).flat_map(|(team, position)| {
            let keys = team.keys.iter();
            keys.map(move |key| (*key, position))
        });
        let index = TeamIndex {
            by_name: names.collect(),
            by_key: keys.collect(),
            anonymous_queues: settings.anonymous_queues.into_iter().collect(),
        };
        Self {
            teams,
            index: Box::new(index),
        }
    }
}

impl From<TeamTable> for TeamSettings {
    fn from(table: TeamTable) -> Self {
        let anonymous_queues = table.index.anonymous_queues.into_iter();
        let mut anonymous_queues = anonymous_queues.collect::<Vec<_>>();
        // All replicas write the same bytes.
        anonymous_queues.sort_unstable();
        Self {
            teams: table.teams,
            anonymous_queues,
        }
    }
}
