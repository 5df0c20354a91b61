use hyper::HeaderMap;
use subtle::ConstantTimeEq;
use tarragon_codes::{Code, Failure, Outcome};

use crate::FrontConfig;

/// Who may make a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Access {
    /// Any caller.
    Anyone,
    /// Executors, by their token or the operators'.
    Executor,
    /// Operators, by their token.
    Operator,
}

impl Access {
    /// Refuses a request that lacks the token of this kind of call.
    pub(crate) fn check(self, headers: &HeaderMap, cfg: &FrontConfig) -> Outcome<()> {
        let allowed = match self {
            Self::Anyone => true,
            Self::Executor => match cfg.announce_token.as_deref() {
                None => true,
                Some(token) => {
                    carries(headers, Some(token)) | carries(headers, cfg.token.as_deref())
                }
            },
            Self::Operator => carries(headers, cfg.token.as_deref()),
        };
        if allowed {
            return Ok(());
        }
        Err(Failure::new(
            Code::Unauthorized,
            "this call needs 'Authorization: Bearer <token>' with a valid token",
        ))
    }
}

/// Compares in constant time, so that response times do not tell how much of a guess was right.
fn carries(headers: &HeaderMap, token: Option<&str>) -> bool {
    let given = headers
        .get(hyper::header::AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    match (given, token) {
        (Some(given), Some(token)) if !token.is_empty() => given.ct_eq(token.as_bytes()).into(),
        _ => false,
    }
}
