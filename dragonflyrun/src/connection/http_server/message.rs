//! Requests and responses as handlers see them.

use hyper::{
    HeaderMap,
    Method,
    StatusCode,
    header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER}, //
};
use serde::Serialize;

/// A whole request.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The query without its question mark.
    pub query: Option<String>,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Returns the header called `name`, if it is set once and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut values = self.headers.get_all(name).iter();
        let value = values.next()?;
        if values.next().is_some() {
            return None;
        }
        value.to_str().ok()
    }

    /// Returns the query's value called `name`, as it stands there.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        let query = self.query.as_deref()?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }
}

/// A whole response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers; the length and the end of the connection are added by the server.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Returns a response with `body` as it is.
    pub fn bytes(status: StatusCode, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body,
        }
    }

    /// Returns a response in plain text.
    pub fn text(status: StatusCode, text: &str) -> Self {
        Self::bytes(status, text.as_bytes().to_vec())
            .with_header(CONTENT_TYPE, "text/plain; charset=utf-8")
    }

    /// Returns a response with `value` in JSON.
    pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::bytes(status, body).with_header(CONTENT_TYPE, "application/json"),
            Err(error) => {
                log::error!(error:% = error; "encode_failed");
                Self::text(StatusCode::INTERNAL_SERVER_ERROR, "not encoded")
            }
        }
    }

    /// Adds a header; one whose value can't stand in a header is left out.
    pub fn with_header(mut self, name: HeaderName, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(name, value);
        }
        self
    }

    /// Adds when to come back, in whole seconds as HTTP has it, rounded up.
    pub fn with_retry_after(self, ms: u64) -> Self {
        self.with_header(RETRY_AFTER, &ms.div_ceil(1_000).to_string())
    }
}
