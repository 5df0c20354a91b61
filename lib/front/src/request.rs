use bytes::Bytes;
use hyper::{HeaderMap, header::HeaderName};
use serde::de::DeserializeOwned;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{IdempotencyKey, Revision};

/// Header with the idempotency key of a caller.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Header with the id of an operator's write.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Header with the time limit of a service request in milliseconds.
pub(crate) const TIMEOUT_MS: HeaderName = HeaderName::from_static("x-tarragon-timeout-ms");

/// Most bytes of an idempotency key or a request id; both are kept in the replicated log.
const ID_BYTES: usize = 128;

/// Headers and whole body of a request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    headers: HeaderMap,
    body: Bytes,
}

impl Request {
    pub(crate) fn new(headers: HeaderMap, body: Bytes) -> Self {
        Self { headers, body }
    }

    /// The body as it came.
    pub(crate) fn body(&self) -> Bytes {
        self.body.clone()
    }

    /// The body read as JSON.
    pub(crate) fn json<T>(&self) -> Outcome<T>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body)
            .map_err(|e| Failure::new(Code::Malformed, format!("body: {e}")))
    }

    /// Idempotency key of the caller.
    pub(crate) fn key(&self) -> Outcome<Option<IdempotencyKey>> {
        Ok(self.id(&IDEMPOTENCY_KEY)?.map(Into::into))
    }

    /// Id of an operator's write.
    pub(crate) fn write_id(&self) -> Outcome<&str> {
        self.id(&REQUEST_ID)?.ok_or_else(|| {
            Failure::new(
                Code::Malformed,
                "a write needs X-Request-Id, so that a resend has no second effect",
            )
        })
    }

    /// Revision that a write expects.
    pub(crate) fn expected(&self) -> Outcome<Revision> {
        let Some(text) = self.text(&hyper::header::IF_MATCH)? else {
            return Err(Failure::new(
                Code::Malformed,
                "a write needs If-Match with the current revision, 0 for a new entry",
            ));
        };
        text.trim_matches('"')
            .parse()
            .map(Revision)
            .map_err(|e| Failure::new(Code::Malformed, format!("If-Match: {e}")))
    }

    /// Time limit that the caller asks for.
    pub(crate) fn timeout_ms(&self) -> Outcome<Option<u64>> {
        self.text(&TIMEOUT_MS)?
            .map(|text| match text.parse::<u64>() {
                Ok(0) => Err(Failure::new(
                    Code::Malformed,
                    "X-Tarragon-Timeout-Ms: must be above 0",
                )),
                Ok(ms) => Ok(ms),
                Err(e) => Err(Failure::new(
                    Code::Malformed,
                    format!("X-Tarragon-Timeout-Ms: {e}"),
                )),
            })
            .transpose()
    }

    fn id(&self, header: &HeaderName) -> Outcome<Option<&str>> {
        let Some(text) = self.text(header)? else {
            return Ok(None);
        };
        if text.is_empty() || text.len() > ID_BYTES {
            return Err(Failure::new(
                Code::Malformed,
                format!("{header}: must have 1 to {ID_BYTES} bytes"),
            ));
        }
        Ok(Some(text))
    }

    fn text(&self, header: &HeaderName) -> Outcome<Option<&str>> {
        let mut values = self.headers.get_all(header).iter();
        let Some(value) = values.next() else {
            return Ok(None);
        };
        if values.next().is_some() {
            return Err(Failure::new(
                Code::Malformed,
                format!("{header}: given more than once"),
            ));
        }
        match value.to_str() {
            Ok(text) => Ok(Some(text)),
            Err(e) => Err(Failure::new(Code::Malformed, format!("{header}: {e}"))),
        }
    }
}
