//! The HTTP server and client of the stand-ins.

use std::{
    io::{self, Read},
    net::{SocketAddr, TcpListener},
    time::Duration, //
};

use oxhttp::{
    Client,
    Server,
    model::{Body, Method, Request, Response, StatusCode, header}, //
};
use serde::{Serialize, de::DeserializeOwned};

/// Maximum size of a request body in bytes. The rest of a larger one is ignored.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Number of attempts to bind a free port.
const BIND_ATTEMPTS: usize = 20;

/// Starts a server at `address` and returns the bound address.
///
/// The server cannot report a port that the system chose, so for port 0 a free port is looked up
/// first. If another process binds that port in the meantime, another one is tried.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn serve(
    address: SocketAddr,
    on_request: impl Fn(&mut Request<Body>) -> Result<Response<Body>, Refusal>
    + Clone
    + Send
    + Sync
    + 'static,
) -> io::Result<SocketAddr> {
    let on_request = move |req: &mut Request<Body>| on_request(req).unwrap_or_else(Refusal::answer);
    let mut last_error = io::Error::other("no free port");
    for _ in 0..BIND_ATTEMPTS {
        let bound = free_address(address)?;
        match Server::new(on_request.clone()).bind(bound).spawn() {
            Ok(_) => return Ok(bound),
            Err(error) if address.port() != 0 => return Err(error),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

fn free_address(address: SocketAddr) -> io::Result<SocketAddr> {
    if address.port() != 0 {
        return Ok(address);
    }
    TcpListener::bind(address)?.local_addr()
}

/// Returns an answer with `value` as its JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    bytes(status, "application/json", body)
}

/// The refusal of a call.
#[derive(Debug)]
pub struct Refusal {
    status: StatusCode,
    reason: String,
}

impl Refusal {
    /// Returns a refusal with a status and a reason as text.
    pub fn new(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            reason: reason.into(),
        }
    }

    /// Returns the answer with the status and the reason.
    pub fn answer(self) -> Response<Body> {
        bytes(self.status, "text/plain", self.reason.into_bytes())
    }
}

/// Returns an answer with `body` and the content type `kind`.
pub fn bytes(status: StatusCode, kind: &'static str, body: Vec<u8>) -> Response<Body> {
    let mut answer = Response::new(Body::from(body));
    *answer.status_mut() = status;
    let kind = header::HeaderValue::from_static(kind);
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

/// Returns an answer whose connection is closed after `start`, before the end of the body.
pub fn cut_off(start: Vec<u8>) -> Response<Body> {
    let body = io::Cursor::new(start).chain(FailingReader);
    Response::new(Body::from_read(body))
}

/// A reader that always fails, so that the server closes the connection within the answer.
struct FailingReader;

impl Read for FailingReader {
    fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
        Err(io::Error::new(io::ErrorKind::ConnectionAborted, "cut off"))
    }
}

/// Reads the body of `req`.
///
/// # Errors
///
/// Returns a [`Refusal`] for the sender if the body cannot be read.
pub fn read_body(req: &mut Request<Body>) -> Result<Vec<u8>, Refusal> {
    let mut buf = Vec::new();
    match req.body_mut().take(MAX_BODY_BYTES).read_to_end(&mut buf) {
        Ok(_) => Ok(buf),
        Err(error) => Err(Refusal::new(StatusCode::BAD_REQUEST, error.to_string())),
    }
}

/// Reads the body of `req` as JSON.
///
/// # Errors
///
/// Returns a [`Refusal`] for the sender if the body cannot be read or parsed.
pub fn read_json<T: DeserializeOwned>(req: &mut Request<Body>) -> Result<T, Refusal> {
    serde_json::from_slice(&read_body(req)?)
        .map_err(|e| Refusal::new(StatusCode::BAD_REQUEST, e.to_string()))
}

/// Returns the value of the query parameter `name`; none if it is absent or malformed.
pub fn query<T: std::str::FromStr>(req: &Request<Body>, name: &str) -> Option<T> {
    let pairs = req.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// An answer as its client received it.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: header::HeaderMap,
    /// The complete body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// If it is not a `T`.
    pub fn json<T: DeserializeOwned>(&self) -> io::Result<T> {
        serde_json::from_slice(&self.body).map_err(io::Error::other)
    }
}

/// Sends one request to `address` and waits for the complete answer.
///
/// # Errors
///
/// If no complete answer was received.
pub fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
    timeout: Duration,
) -> io::Result<Answer> {
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Body::from(body)).map_err(io::Error::other)?;
    let answer = Client::new().with_global_timeout(timeout).request(req)?;
    let (parts, body) = answer.into_parts();
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body: body.to_vec()?,
    })
}

/// Sends `value` as JSON and waits for the complete answer.
///
/// # Errors
///
/// If no complete answer was received.
pub fn call_json(
    address: SocketAddr,
    method: Method,
    path: &str,
    value: &impl Serialize,
    timeout: Duration,
) -> io::Result<Answer> {
    let body = serde_json::to_vec(value)?;
    let headers = [("Content-Type", "application/json")];
    call(address, method, path, &headers, body, timeout)
}
