//! Answers to requests that were sent to the leader more than once.

use tarragon_codes::{Code, Failure};
use tarragon_discovery::RequestAttempts;
use yare::parameterized;

/// Guards against a job that runs although its caller was told that it never will: the leader refuses
/// the second attempt for want of room, and accepts the first one later.
#[parameterized(
    never_sent = { &[Code::NoLeader, Code::HostUnreachable], Code::StateFull },
    first_without_answer = { &[Code::NotConfirmed], Code::NotConfirmed },
    first_without_answer_and_then_no_leader = {
        &[Code::NotConfirmed, Code::NotLeader, Code::HostUnreachable], Code::NotConfirmed
    },
)]
fn refusal_is_passed_on_only_if_no_attempt_may_be_accepted(failures: &[Code], expected: Code) {
    let mut attempts = RequestAttempts::default();
    for code in failures {
        attempts.failed(*code);
    }
    let refusal = Failure::of(Code::StateFull).retry_after(500);
    let answer = attempts.refused(refusal);
    assert_eq!((answer.code, answer.retry_after_ms), (expected, Some(500)));
}
