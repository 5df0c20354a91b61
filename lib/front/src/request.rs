use bytes::Bytes;
use hyper::{HeaderMap, header::HeaderName};
use serde::de::DeserializeOwned;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{IdempotencyKey, Revision};

/// Header with the idempotency key of a caller.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Header with the id by which a repeated write of an operator is recognized.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Header with the time limit of a service request in milliseconds.
pub(crate) const TIMEOUT_MS: HeaderName = HeaderName::from_static("x-tarragon-timeout-ms");

/// Maximum size of an idempotency key or a request id; the replicated log stores both.
const MAX_ID_BYTES: usize = 128;

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

    /// The body as received.
    pub(crate) fn body(&self) -> Bytes {
        self.body.clone()
    }

    /// Parses the body as JSON.
    pub(crate) fn json<T>(&self) -> Outcome<T>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body)
            .map_err(|e| Failure::new(Code::Malformed, format!("body: {e}")))
    }

    /// Idempotency key of the caller, if any.
    pub(crate) fn idempotency_key(&self) -> Outcome<Option<IdempotencyKey>> {
        Ok(self.id_header(&IDEMPOTENCY_KEY)?.map(Into::into))
    }

    /// Id of an operator's write; an error if it is missing.
    pub(crate) fn request_id(&self) -> Outcome<&str> {
        self.id_header(&REQUEST_ID)?.ok_or_else(|| {
            Failure::new(
                Code::Malformed,
                "a write needs X-Request-Id, so that a repeat has no second effect",
            )
        })
    }

    /// Revision that the caller expects its write to replace; an error if it is missing.
    pub(crate) fn expected_revision(&self) -> Outcome<Revision> {
        let Some(text) = self.single_header(&hyper::header::IF_MATCH)? else {
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

    /// Time limit in milliseconds that the caller set, if any.
    pub(crate) fn timeout_ms(&self) -> Outcome<Option<u64>> {
        self.single_header(&TIMEOUT_MS)?
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

    /// Value of a header with an id of allowed length.
    fn id_header(&self, header: &HeaderName) -> Outcome<Option<&str>> {
        let Some(text) = self.single_header(header)? else {
            return Ok(None);
        };
        if text.is_empty() || text.len() > MAX_ID_BYTES {
            return Err(Failure::new(
                Code::Malformed,
                format!("{header}: must have 1 to {MAX_ID_BYTES} bytes"),
            ));
        }
        Ok(Some(text))
    }

    /// Value of a header that may occur at most once.
    fn single_header(&self, header: &HeaderName) -> Outcome<Option<&str>> {
        let mut values = self.headers.get_all(header).iter();
        let Some(value) = values.next() else {
            return Ok(None);
        };
        if values.next().is_some() {
            return Err(Failure::new(
                Code::Malformed,
                format!("{header}: sent more than once"),
            ));
        }
        match value.to_str() {
            Ok(text) => Ok(Some(text)),
            Err(e) => Err(Failure::new(Code::Malformed, format!("{header}: {e}"))),
        }
    }
}
