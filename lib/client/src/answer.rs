use bytes::Bytes;
use hyper::StatusCode;
use serde::{Deserialize, de::DeserializeOwned};
use tarragon_codes::{Code, Failure, Outcome};

/// Answer of a host with its whole body.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) code: Option<u16>,
    pub(crate) stored: bool,
    pub(crate) body: Bytes,
}

/// JSON body of an answer with an error code.
#[derive(Debug, Deserialize)]
struct ErrorBody {
    cause: String,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

impl Answer {
    /// Returns the error if the answer has an error code, else the answer.
    pub(crate) fn into_result(self) -> Outcome<Self> {
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

    /// Parses the body as JSON.
    pub(crate) fn json<T>(&self) -> Outcome<T>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body).map_err(|e| {
            Failure::new(
                Code::Internal,
                format!("cannot parse the answer with status {}: {e}", self.status),
            )
        })
    }
}
