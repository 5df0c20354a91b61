//! Metrics of calls that were refused for their team.

use tarragon_entry::{EntryMetrics, RefusalCause};
use tarragon_names::TeamName;
use yare::parameterized;

/// Number of teams that have a label of their own.
const MAX_LABELLED_TEAMS: usize = 1_000;

/// Lines of the metric of refused calls.
fn lines(metrics: &EntryMetrics) -> Vec<String> {
    let text = metrics.render("").expect("metrics");
    let lines = text.lines();
    let lines = lines.filter(|line| line.starts_with("tarragon_entry_refused_calls_total{"));
    lines.map(str::to_owned).collect()
}

/// Guards against a refusal that counts for another team or cause.
#[parameterized(
    unknown_key = { None, RefusalCause::UnknownKey, r#"{cause="unknown_key",team="(none)"} 1"# },
    other_team = { Some("a"), RefusalCause::OtherTeam, r#"{cause="other_team",team="a"} 1"# },
    other_team_without_a_key = { None, RefusalCause::OtherTeam, r#"{cause="other_team",team="(none)"} 1"# },
    cap = { Some("a"), RefusalCause::Cap, r#"{cause="cap",team="a"} 1"# },
)]
fn refusals_count_by_team_and_cause(team: Option<&str>, cause: RefusalCause, line: &str) {
    let metrics = EntryMetrics::new().expect("metrics");
    let team = team.map(TeamName::from);
    metrics.refused_calls.count(team.as_ref(), cause);
    let expected = format!("tarragon_entry_refused_calls_total{line}");
    assert_eq!(lines(&metrics), [expected]);
}

/// Guards against metrics that grow with each team that a configuration brings, or with long names.
#[test]
fn labels_of_teams_are_bounded() {
    let metrics = EntryMetrics::new().expect("metrics");
    let count = |team: &str| {
        let team = TeamName::from(team);
        metrics
            .refused_calls
            .count(Some(&team), RefusalCause::OtherTeam);
    };
    count(&"x".repeat(100_000));
    for team in 0..3 * MAX_LABELLED_TEAMS {
        count(&format!("team-{team}"));
    }
    count("team-0");
    let lines = lines(&metrics);
    assert_eq!(lines.len(), MAX_LABELLED_TEAMS + 1);
    let others = format!("team=\"(other)\"}} {}", 2 * MAX_LABELLED_TEAMS + 1);
    assert!(lines.iter().any(|line| line.ends_with(&others)));
    assert!(
        lines
            .iter()
            .any(|line| line.ends_with("team=\"team-0\"} 2"))
    );
    assert!(lines.iter().all(|line| line.len() < 200));
}
