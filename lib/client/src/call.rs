use bytes::Bytes;
use hyper::{Method, header::HeaderName};
use serde::Serialize;
use tarragon_codes::{Code, Failure, Outcome};

/// Whether a call may go to another host after it may have had an effect at the first one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Resend {
    /// A read, or a write that a second arrival does not change.
    Safe,
    /// A write whose second arrival would be a second write.
    Unsafe(Code),
}

/// One call, independent of the host that it goes to.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(HeaderName, String)>,
    pub(crate) body: Bytes,
    pub(crate) resend: Resend,
}

impl Call {
    /// A call that may be sent again.
    pub(crate) fn new<S>(method: Method, path: S) -> Self
    where
        S: Into<String>,
    {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            resend: Resend::Safe,
        }
    }

    /// A read.
    pub(crate) fn get<S>(path: S) -> Self
    where
        S: Into<String>,
    {
        Self::new(Method::GET, path)
    }

    /// The same call, which must not be sent again; `code` tells an unknown outcome.
    pub(crate) fn once(mut self, code: Code) -> Self {
        self.resend = Resend::Unsafe(code);
        self
    }

    /// The same call with a header.
    pub(crate) fn header<V>(mut self, name: HeaderName, value: &V) -> Self
    where
        V: ToString + ?Sized,
    {
        self.headers.push((name, value.to_string()));
        self
    }

    /// The same call with a body of JSON.
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
