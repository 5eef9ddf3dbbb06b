//! Client of the backend servers beside an agent.

use std::{
    io::{self, Read},
    net::SocketAddr,
    time::Duration, //
};

use oxhttp::{
    Client,
    model::{
        Body,
        HeaderMap,
        Method,
        Request,
        Response,
        StatusCode,
        header::{CONTENT_LENGTH, TRANSFER_ENCODING}, //
    },
};

use crate::{
    connection::{NotRun, Outcome, RequestId},
    utils::Name, //
};

/// Time limit for an answer of a backend server. It is far longer than the callers' deadlines,
/// because a slot stays in use for as long as its request may be running.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(600);

/// Milliseconds after which a request that a backend server refused may be tried again.
const REFUSED_RETRY_AFTER_MS: u64 = 500;

/// The header of a 503 answer with which a backend server states that it did not run the request.
const NOT_RUN_HEADER: &str = "dragonfly-not-run";

/// A request to a backend server.
#[derive(Clone, Debug)]
pub struct BackendRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The service that the request is for.
    pub service: Name,
    /// The idempotency key, if the caller gave one.
    pub key: Option<Name>,
    /// The complete body.
    pub body: Vec<u8>,
}

/// Sends `req` to the backend server at `address` and waits for its complete answer, whose body may
/// have up to `max_body_bytes`.
///
/// Returns [`Outcome::NotRun`] only if the connection was refused, so nothing was sent, or if the
/// backend server states that it did not run the request.
pub fn run_at_backend(address: SocketAddr, req: BackendRequest, max_body_bytes: u64) -> Outcome {
    let Ok(req) = build_request(address, req) else {
        return not_run();
    };
    let client = Client::new().with_global_timeout(ANSWER_TIMEOUT);
    match client.request(req) {
        Ok(answer) => read_answer(answer, max_body_bytes),
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => not_run(),
        Err(error) => {
            log::warn!(backend:% = address, error:% = error; "backend_answer_lost");
            Outcome::Unknown
        }
    }
}

fn build_request(
    address: SocketAddr,
    req: BackendRequest,
) -> Result<Request<Body>, impl std::error::Error> {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}/v1/run"))
        .header("Dragonfly-Service", &*req.service)
        .header(
            "Dragonfly-Request",
            format!("{}/{}", req.id.entry, req.id.number),
        );
    if let Some(key) = &req.key {
        builder = builder.header("Idempotency-Key", &**key);
    }
    builder.body(Body::from(req.body))
}

fn read_answer(answer: Response<Body>, max_body_bytes: u64) -> Outcome {
    let status = answer.status();
    let marked_not_run = answer
        .headers()
        .get(NOT_RUN_HEADER)
        .is_some_and(|v| v == "true");
    if status == StatusCode::SERVICE_UNAVAILABLE && marked_not_run {
        return not_run();
    }
    // Without a length, the body would end with the connection, and a truncated body would look
    // complete. The HTTP client treats such a body as empty.
    if !has_body_length(status, answer.headers()) {
        log::warn!(status = status.as_u16(); "backend_answer_without_length");
        return Outcome::Unknown;
    }
    let mut body = Vec::new();
    let read = answer
        .into_body()
        .take(max_body_bytes + 1)
        .read_to_end(&mut body);
    match read {
        Ok(_) if body.len() as u64 <= max_body_bytes => Outcome::Done {
            status: status.as_u16(),
            length: body.len() as u64,
            body,
        },
        Ok(_) => {
            log::warn!(most = max_body_bytes; "backend_answer_too_large");
            Outcome::Unknown
        }
        Err(error) => {
            log::warn!(error:% = error; "backend_answer_cut_off");
            Outcome::Unknown
        }
    }
}

fn has_body_length(status: StatusCode, headers: &HeaderMap) -> bool {
    let has_no_body = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    has_no_body || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

fn not_run() -> Outcome {
    Outcome::NotRun {
        reason: NotRun::Refused,
        retry_after_ms: REFUSED_RETRY_AFTER_MS,
    }
}
