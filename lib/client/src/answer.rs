use bytes::Bytes;
use hyper::StatusCode;
use serde::{Deserialize, de::DeserializeOwned};
use tarragon_codes::{Code, Failure, Outcome};

/// Whole answer of a host.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) code: Option<u16>,
    pub(crate) stored: bool,
    pub(crate) body: Bytes,
}

/// Body of an error.
#[derive(Debug, Deserialize)]
struct ErrorBody {
    cause: String,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

impl Answer {
    /// The answer, or the error that it carries.
    pub(crate) fn checked(self) -> Outcome<Self> {
        let Some(number) = self.code else {
            return Ok(self);
        };
        let code = Code::try_from(number).unwrap_or(Code::Internal);
        Err(match serde_json::from_slice::<ErrorBody>(&self.body) {
            Ok(body) => Failure {
                code,
                cause: body.cause,
                retry_after_ms: body.retry_after_ms,
            },
            Err(_) => Failure::of(code),
        })
    }

    /// The body read as JSON.
    pub(crate) fn json<T>(&self) -> Outcome<T>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body).map_err(|e| {
            Failure::new(
                Code::Internal,
                format!("answer with status {}: {e}", self.status),
            )
        })
    }
}
