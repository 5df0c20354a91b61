//! Tests of the idempotency keys of service requests.

#[expect(dead_code, reason = "only the keys are tested here")]
mod common;

use common::Fixture;
use tarragon_cell::{Answer, ClaimId, Command, MAX_REQUEST_KEYS, REQUEST_KEY_RETENTION_MS};
use tarragon_codes::Code;
use yare::parameterized;

fn claim_of(request: u64) -> ClaimId {
    ClaimId {
        host: "h".into(),
        boot: 1,
        request,
    }
}

fn claim(key: &str, request: u64, digest: u64) -> Command {
    Command::ClaimKey {
        name: "price".into(),
        key: key.into(),
        digest,
        claim: claim_of(request),
        timeout_ms: 2_000,
    }
}

fn complete(key: &str, request: u64, status: u16, body: &[u8]) -> Command {
    Command::CompleteKey {
        name: "price".into(),
        key: key.into(),
        claim: claim_of(request),
        status,
        body: Some(body.into()),
    }
}

/// Guards against a request that is sent twice under one key. The first claim has a timeout of
/// 2000 ms and so certainly ends at 2220 ms, after clock drift and margin.
#[parameterized(
    resent_claim = { 1, 100, Answer::Claimed },
    in_progress = { 2, 2_219, Answer::ClaimedByOther { in_progress: true } },
    after_the_timeout = { 2, 2_220, Answer::ClaimedByOther { in_progress: false } },
)]
fn key_is_claimed_by_one_request(request: u64, at_ms: u64, expected: Answer) {
    let cell = Fixture::new();
    assert_eq!(cell.apply(&claim("k", 1, 7)), Answer::Claimed);
    assert_eq!(cell.apply_at(at_ms, &claim("k", request, 7)), expected);
}

/// Guards against an answer that is lost, replaced, or stored by a host that does not hold the
/// claim.
#[test]
fn answer_is_stored_once() {
    let cell = Fixture::new();
    cell.apply(&claim("k", 1, 7));
    let foreign = cell.apply(&complete("k", 2, 500, b"x"));
    assert_eq!(foreign, Answer::ClaimedByOther { in_progress: true });
    assert_eq!(cell.apply(&complete("k", 1, 200, b"12")), Answer::Done);
    assert_eq!(cell.apply(&complete("k", 1, 500, b"x")), Answer::Done);
    let stored = Answer::Stored {
        status: 200,
        body: Some(b"12".as_slice().into()),
    };
    assert_eq!(cell.apply(&claim("k", 2, 7)), stored);
    let other = cell.apply(&claim("k", 3, 8));
    assert!(matches!(other, Answer::Failed(failure) if failure.code == Code::KeyReused));
}

/// Guards against a key that stays blocked although its request was not sent, and against a
/// delayed first claim that takes the released key again.
#[test]
fn released_key_is_claimed_by_another_request() {
    let cell = Fixture::new();
    cell.apply(&claim("k", 1, 7));
    cell.apply(&complete("k", 1, 0, b""));
    let delayed = cell.apply(&claim("k", 1, 7));
    assert_eq!(delayed, Answer::ClaimedByOther { in_progress: false });
    assert_eq!(cell.apply(&claim("k", 2, 7)), Answer::Claimed);
}

/// Guards against removal of a key before its retention has passed, and against a full table that
/// stays full afterwards.
#[test]
fn full_table_rejects_claims_until_keys_expire() {
    let cell = Fixture::new();
    for key in 0..MAX_REQUEST_KEYS {
        cell.apply_at(1_000, &claim(&key.to_string(), key as u64, 7));
    }
    let is_full = |at_ms| {
        let answer = cell.apply_at(at_ms, &claim("new", 1_000_000, 7));
        matches!(answer, Answer::Failed(failure) if failure.code == Code::KeyTableFull)
    };
    assert!(is_full(999 + REQUEST_KEY_RETENTION_MS));
    assert_eq!(cell.apply(&claim("0", 0, 7)), Answer::Claimed);
    assert!(!is_full(1_000 + REQUEST_KEY_RETENTION_MS));
}
