//! Serves `/healthz`, `/readyz` and `/metrics` on the address of the callers' API.

use std::sync::Arc;

use http::{Response, StatusCode};

use crate::request::entry_context::EntryContext;
use crate::request::http_server::EntryHandler;
use crate::request::response;
use crate::request::response_stream::ResponseStream;

/// Content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Creates the handler of health, readiness and metrics requests. All other requests go to `fallback`.
pub fn health_handler(context: Arc<EntryContext>, fallback: EntryHandler) -> EntryHandler {
    Arc::new(move |request| {
        let result = match request.parts.uri.path() {
            "/healthz" => plain(StatusCode::OK, "ok\n"),
            "/readyz" if context.is_ready() => plain(StatusCode::OK, "ready\n"),
            "/readyz" => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/metrics" => {
                response::text_response(StatusCode::OK, METRICS_TYPE, context.metrics.render(&context))
            }
            _ => return fallback(request),
        };
        Box::pin(std::future::ready(result))
    })
}

fn plain(status: StatusCode, text: &'static str) -> Response<ResponseStream> {
    response::text_response(status, "text/plain", text)
}
