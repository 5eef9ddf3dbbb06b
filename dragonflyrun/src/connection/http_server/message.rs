//! The HTTP requests and responses that handlers work with.

use hyper::{
    HeaderMap,
    Method,
    StatusCode,
    header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER}, //
};
use serde::Serialize;

/// A complete request.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The query without the question mark.
    pub query: Option<String>,
    /// All headers of the request.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Returns the header `name` if it occurs exactly once and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut values = self.headers.get_all(name).iter();
        let value = values.next()?;
        if values.next().is_some() {
            return None;
        }
        value.to_str().ok()
    }

    /// Returns the value of the query parameter `name` without decoding it.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        let query = self.query.as_deref()?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The headers. The server adds `Content-Length` and `Connection`.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Returns a response with `body` and no headers.
    pub fn bytes(status: StatusCode, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body,
        }
    }

    /// Returns a plain-text response.
    pub fn text(status: StatusCode, text: &str) -> Self {
        Self::bytes(status, text.as_bytes().to_vec())
            .with_header(CONTENT_TYPE, "text/plain; charset=utf-8")
    }

    /// Returns a response with `value` encoded as JSON.
    pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::bytes(status, body).with_header(CONTENT_TYPE, "application/json"),
            Err(error) => {
                log::error!(error:% = error; "encode_failed");
                Self::text(StatusCode::INTERNAL_SERVER_ERROR, "not encoded")
            }
        }
    }

    /// Adds a header, or does nothing if `value` is not a valid header value.
    pub fn with_header(mut self, name: HeaderName, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(name, value);
        }
        self
    }

    /// Adds a `Retry-After` header for `ms` milliseconds, rounded up because HTTP expects full
    /// seconds.
    pub fn with_retry_after(self, ms: u64) -> Self {
        self.with_header(RETRY_AFTER, &ms.div_ceil(1_000).to_string())
    }
}
