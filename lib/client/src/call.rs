use bytes::Bytes;
use hyper::{Method, header::HeaderName};
use serde::Serialize;
use tarragon_codes::{Code, Failure, Outcome};

/// Whether a call may be sent again after an attempt whose outcome is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Resend {
    /// A read, or an idempotent write.
    Allowed,
    /// A write that would take effect twice; the code is returned for an unknown outcome.
    Forbidden(Code),
}

/// Request of a call, without the host that receives it.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(HeaderName, String)>,
    pub(crate) body: Bytes,
    pub(crate) resend: Resend,
}

impl Call {
    /// A call without headers and body that may be sent again.
    pub(crate) fn new<S>(method: Method, path: S) -> Self
    where
        S: Into<String>,
    {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            resend: Resend::Allowed,
        }
    }

    /// A `GET` call.
    pub(crate) fn get<S>(path: S) -> Self
    where
        S: Into<String>,
    {
        Self::new(Method::GET, path)
    }

    /// Forbids sending the call again; `code` is returned if the outcome is unknown.
    pub(crate) fn forbid_resend(mut self, code: Code) -> Self {
        self.resend = Resend::Forbidden(code);
        self
    }

    /// Adds a header.
    pub(crate) fn header<V>(mut self, name: HeaderName, value: &V) -> Self
    where
        V: ToString + ?Sized,
    {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Sets the body to `value` as JSON.
    pub(crate) fn json<T>(mut self, value: &T) -> Outcome<Self>
    where
        T: Serialize,
    {
        self.body = serde_json::to_vec(value)
            .map_err(|e| Failure::new(Code::Malformed, e.to_string()))?
            .into();
        Ok(self)
    }
}
