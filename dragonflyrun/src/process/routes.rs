//! The HTTP pages that every process serves, whatever its role.

use hyper::{Method, StatusCode, header::CONTENT_TYPE};

use crate::{
    connection::{HttpRequest, HttpResponse},
    process::{Context, Node},
};

/// The content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Answers a request to the HTTP listener.
pub(crate) fn answer(cx: &Context, node: &dyn Node, req: HttpRequest) -> HttpResponse {
    match (&req.method, req.path.as_str()) {
        (&Method::GET, "/health") => HttpResponse::text(StatusCode::OK, "ok\n"),
        (&Method::GET, "/metrics") => HttpResponse::bytes(StatusCode::OK, cx.counters.render())
            .with_header(CONTENT_TYPE, METRICS_TYPE),
        (&Method::GET, "/ready") => match node.readiness() {
            Ok(()) => HttpResponse::text(StatusCode::OK, "ready\n"),
            Err(reason) => HttpResponse::text(StatusCode::SERVICE_UNAVAILABLE, reason),
        },
        _ => node.on_http(req),
    }
}
