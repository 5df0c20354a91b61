use hyper::HeaderMap;
use subtle::ConstantTimeEq;
use tarragon_codes::{Code, Failure, Outcome};

use crate::FrontConfig;

/// Callers that may make a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Access {
    /// Any caller.
    Anyone,
    /// Executors, with the executor token or the operator token.
    Executor,
    /// Operators, with the operator token.
    Operator,
}

impl Access {
    /// Returns an error if the request lacks the token that such a call needs.
    pub(crate) fn check(self, headers: &HeaderMap, cfg: &FrontConfig) -> Outcome<()> {
        let allowed = match self {
            Self::Anyone => true,
            Self::Executor => match cfg.announce_token.as_deref() {
                None => true,
                Some(token) => {
                    has_token(headers, Some(token)) | has_token(headers, cfg.token.as_deref())
                }
            },
            Self::Operator => has_token(headers, cfg.token.as_deref()),
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

/// Whether the request has this token.
///
/// The comparison takes constant time, so that response times do not reveal a matching prefix.
fn has_token(headers: &HeaderMap, token: Option<&str>) -> bool {
    let sent_token = headers
        .get(hyper::header::AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    match (sent_token, token) {
        (Some(sent), Some(token)) if !token.is_empty() => sent.ct_eq(token.as_bytes()).into(),
        _ => false,
    }
}
