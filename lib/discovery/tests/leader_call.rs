//! Tests of the attempts of a call to the leader.

use std::time::Duration;

use tarragon_codes::Code;
use tarragon_discovery::{AfterFailure, CallTimes, LeaderAnswer, LeaderCall};
use yare::parameterized;

const TIMES: CallTimes = CallTimes {
    timeout: Duration::from_secs(5),
    attempt_timeout: Duration::from_secs(1),
    max_leader_wait: Duration::from_millis(300),
    retry_delay: Duration::from_millis(40),
};

use AfterFailure::{GiveUp, Refused, Retry};
use Code::{HostUnreachable, NoEntry, NoLeader, NotConfirmed, NotLeader, StateFull};

/// Guards against a caller that is told that nothing was run while an earlier attempt may have been
/// committed, against a read whose answer is withheld, and against calls that end too early or too late.
#[parameterized(
    refused = { true, &[(NoEntry, 0)], Refused },
    refused_after_a_search = { true, &[(NoLeader, 0), (HostUnreachable, 40), (StateFull, 80)], Refused },
    no_route_after_an_unknown_attempt = { true, &[(NotConfirmed, 1_000), (NoEntry, 1_040)], GiveUp(NotConfirmed) },
    state_full_after_an_unknown_attempt = { true, &[(NotConfirmed, 1_000), (NotLeader, 1_040), (StateFull, 1_080)], GiveUp(NotConfirmed) },
    read_after_an_unknown_attempt = { false, &[(NotConfirmed, 1_000), (NoEntry, 1_040)], Refused },
    short_search = { true, &[(NoLeader, 0), (NotLeader, 250)], Retry },
    long_search = { true, &[(NoLeader, 0), (NotLeader, 260)], GiveUp(NoLeader) },
    search_after_an_unknown_attempt = { true, &[(NotConfirmed, 1_000), (NoLeader, 4_900)], Retry },
    long_search_after_an_unknown_attempt = { true, &[(NotConfirmed, 1_000), (NoLeader, 4_960)], GiveUp(NotConfirmed) },
)]
fn failure_of_a_call(changes_state: bool, attempts: &[(Code, u64)], expected: AfterFailure) {
    let mut call = LeaderCall::new(TIMES, changes_state);
    let mut last = Retry;
    for (code, waited_ms) in attempts {
        assert_eq!(last, Retry);
        last = call.attempt_failed(*code, Duration::from_millis(*waited_ms));
    }
    assert_eq!(last, expected);
}

/// Guards against a leader that is forgotten because a call had little time left, and against one that is
/// kept although it does not answer.
#[parameterized(
    whole_timeout = { NotConfirmed, 0, Some(LeaderAnswer::Missing) },
    just_enough_time = { NotConfirmed, 4_000, Some(LeaderAnswer::Missing) },
    little_time = { NotConfirmed, 4_001, None },
    unreachable_with_little_time = { HostUnreachable, 4_990, Some(LeaderAnswer::Missing) },
    refused = { NoEntry, 0, None },
)]
fn failure_says_something_of_the_host(code: Code, waited_ms: u64, expected: Option<LeaderAnswer>) {
    let call = LeaderCall::new(TIMES, true);
    let attempt_timeout = call.attempt_timeout(Duration::from_millis(waited_ms));
    assert_eq!(call.host_answer(code, attempt_timeout), expected);
}
