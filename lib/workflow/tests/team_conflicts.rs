//! Teams that cannot be told apart.

use tarragon_codes::Code;
use tarragon_names::{Resources, TeamName};
use tarragon_workflow::{KeyDigest, Team, TeamConflict, TeamTable};
use yare::parameterized;

/// Guards against a key of two teams, or a name that stands for two, that comes into force, and
/// against a report that stops at the first conflict.
#[parameterized(
    none = { &[("a", &["k", "l"]), ("b", &["m"])], &[] },
    same_key_of_one_team = { &[("a", &["k", "k"])], &[] },
    same_name = { &[("a", &["k"]), ("a", &["l"])], &[(1, "team a: the name appears twice")] },
    same_team_twice = { &[("a", &["k"]), ("a", &["k"])], &[(1, "team a: the name appears twice")] },
    shared_key = { &[("a", &["k"]), ("b", &["l", "k"])], &[(1, "team b: a key is shared with team a")] },
    all_at_once = {
        &[("a", &["k"]), ("b", &["k"]), ("a", &[]), ("c", &["k"])],
        &[
            (1, "team b: a key is shared with team a"),
            (2, "team a: the name appears twice"),
            (3, "team c: a key is shared with team a"),
        ]
    },
)]
fn conflicts_are_found(teams: &[(&str, &[&str])], expected: &[(usize, &str)]) {
    let teams = teams.iter().map(|(name, keys)| Team {
        name: TeamName::from(*name),
        keys: keys.iter().map(|k| KeyDigest::of(k.as_bytes())).collect(),
        weight: 1,
        cap: Resources::ZERO,
    });
    let teams = teams.collect::<Vec<_>>();
    let conflicts = TeamConflict::find(&teams);
    let found = conflicts.iter().map(|c| (c.index, c.to_string()));
    let found = found.collect::<Vec<_>>();
    let found = found.iter().map(|(index, text)| (*index, text.as_str()));
    assert_eq!(found.collect::<Vec<_>>(), expected);
    match TeamTable::new(teams, Vec::new()) {
        Ok(_) => assert!(expected.is_empty()),
        Err(failure) => {
            assert_eq!(failure.code, Code::BadEntry);
            assert_eq!(failure.cause, expected[0].1);
        }
    }
}
