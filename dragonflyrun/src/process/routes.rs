//! The pages that every process serves, whatever its role.

use crate::{
    connection::{HttpRequest, HttpResponse},
    process::{Context, Node},
};

/// Answers a call to the HTTP listener.
pub(crate) fn answer(cx: &Context, node: &dyn Node, req: &HttpRequest) -> HttpResponse {
    match (req.method.as_str(), req.path.as_str()) {
        ("GET", "/health") => HttpResponse::text(200, "ok\n"),
        ("GET", "/metrics") => HttpResponse::text(200, cx.counters.render()),
        ("GET", "/ready") => match node.readiness() {
            Ok(()) => HttpResponse::text(200, "ready\n"),
            Err(reason) => HttpResponse::text(503, format!("{reason}\n")),
        },
        _ => node.on_http(req),
    }
}
