use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER},
};
use serde::Serialize;
use serde_json::{Value, json};
use tarragon_codes::{Code, Failure};

/// Header with the number of an error.
pub(crate) const CODE: HeaderName = HeaderName::from_static("x-tarragon-code");

/// Header of a stored answer to an earlier request with the same key.
const STORED: HeaderName = HeaderName::from_static("x-tarragon-stored");

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");
const BYTES: HeaderValue = HeaderValue::from_static("application/octet-stream");

/// `Retry-After` in seconds of a 503 or 429 answer whose error has no time of its own.
const DEFAULT_RETRY_AFTER_S: u64 = 1;

/// Answer to a call.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    status: StatusCode,
    content_type: HeaderValue,
    code: Option<Code>,
    retry_after_s: Option<u64>,
    stored: bool,
    body: Bytes,
}

impl Reply {
    /// An answer with a value as JSON.
    pub(crate) fn json<T>(status: StatusCode, value: &T) -> Self
    where
        T: Serialize,
    {
        match serde_json::to_vec(value) {
            Ok(body) => Self::plain(status, JSON, body.into()),
            Err(e) => Self::failure(&Failure::new(Code::Internal, e.to_string())),
        }
    }

    /// An answer with status 200 and a value as JSON.
    pub(crate) fn ok<T>(value: &T) -> Self
    where
        T: Serialize,
    {
        Self::json(StatusCode::OK, value)
    }

    /// An answer with plain text.
    pub(crate) fn text<S>(status: StatusCode, text: S) -> Self
    where
        S: Into<String>,
    {
        Self::plain(status, TEXT, Bytes::from(text.into()))
    }

    /// Passes on the answer of an executor.
    pub(crate) fn service(reply: crate::ServiceReply) -> Self {
        let Ok(status) = StatusCode::from_u16(reply.status) else {
            return Self::failure(&Failure::new(
                Code::CutShort,
                "the backend server answered with a status outside 100 to 999",
            ));
        };
        let content_type = reply
            .content_type
            .and_then(|text| HeaderValue::from_str(&text).ok())
            .unwrap_or(BYTES);
        Self {
            stored: reply.stored,
            ..Self::plain(status, content_type, reply.body)
        }
    }

    /// The answer for an error.
    pub(crate) fn failure(failure: &Failure) -> Self {
        Self::failure_with_fields(failure, &json!({}))
    }

    /// The answer for an error, with additional fields in the body.
    pub(crate) fn failure_with_fields(failure: &Failure, fields: &Value) -> Self {
        let mut body = json!({
            "code": failure.code.number(),
            "cause": failure.cause,
            "advice": failure.code.advice(),
        });
        if let Some(ms) = failure.retry_after_ms {
            body["retry_after_ms"] = ms.into();
        }
        if let (Some(body), Some(fields)) = (body.as_object_mut(), fields.as_object()) {
            body.extend(fields.clone());
        }
        let status = StatusCode::from_u16(failure.code.http_status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let retry_after_s = failure
            .retry_after_ms
            .map(|ms| ms.div_ceil(1_000).max(1))
            .or_else(|| {
                let is_retriable = matches!(
                    status,
                    StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
                );
                is_retriable.then_some(DEFAULT_RETRY_AFTER_S)
            });
        Self {
            code: Some(failure.code),
            retry_after_s,
            ..Self::plain(status, JSON, body.to_string().into())
        }
    }

    /// Converts the answer to a response with a body of known length.
    pub(crate) fn into_response(self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(self.body));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, self.content_type);
        if let Some(code) = self.code {
            headers.insert(CODE, code.number().into());
        }
        if let Some(seconds) = self.retry_after_s {
            headers.insert(RETRY_AFTER, seconds.into());
        }
        if self.stored {
            headers.insert(STORED, HeaderValue::from_static("true"));
        }
        response
    }

    fn plain(status: StatusCode, content_type: HeaderValue, body: Bytes) -> Self {
        Self {
            status,
            content_type,
            code: None,
            retry_after_s: None,
            stored: false,
            body,
        }
    }
}

impl From<Failure> for Reply {
    fn from(failure: Failure) -> Self {
        Self::failure(&failure)
    }
}
