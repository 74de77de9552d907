//! `/healthz`, `/readyz` and `/metrics` beside the callers' API.

use std::sync::Arc;

use http::{Response, StatusCode};

use crate::request::entry_context::EntryContext;
use crate::request::http_server::EntryHandler;
use crate::request::response;
use crate::request::response_stream::ResponseStream;

/// Content type of the metrics' text form.
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Answers health, readiness and metrics; everything else goes to `other`.
pub fn health_handler(shell: Arc<EntryContext>, other: EntryHandler) -> EntryHandler {
    Arc::new(move |call| {
        let answer = match call.parts.uri.path() {
            "/healthz" => plain(StatusCode::OK, "ok\n"),
            "/readyz" if shell.is_ready() => plain(StatusCode::OK, "ready\n"),
            "/readyz" => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/metrics" => response::text_response(StatusCode::OK, METRICS_TYPE, shell.metrics.render(&shell)),
            _ => return other(call),
        };
        Box::pin(std::future::ready(answer))
    })
}

fn plain(status: StatusCode, text: &'static str) -> Response<ResponseStream> {
    response::text_response(status, "text/plain", text)
}
