//! figloft's own headers, and the rules for which headers are passed on between callers and backend servers.

use std::time::Duration;

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Request id, sent to backend servers.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-figloft-request");
/// Time until the deadline in milliseconds. Callers may set it; backend servers receive what is left.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-figloft-deadline-ms");
/// Team of the caller's key, sent to backend servers.
pub const TEAM: HeaderName = HeaderName::from_static("x-figloft-team");
/// Ticket (idempotency token) of the request, set by callers.
pub const TICKET: HeaderName = HeaderName::from_static("x-figloft-ticket");
/// Priority of the request, set by callers: `urgent`, `bench` or `overnight`.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-figloft-priority");
/// Whether the work ran (`not-run`, `unknown` or `ran`), on every response to a caller.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-figloft-outcome");
/// Set to 1 by a backend server that is shutting down and should receive no new work.
pub const LEAVING: HeaderName = HeaderName::from_static("x-figloft-leaving");
/// Set to 1 with status 503 by a backend server that did not start the work.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-figloft-not-run");

/// Prefix of figloft's own headers. Headers with it are never passed on, so that neither callers nor backend
/// servers can forge them.
const FIGLOFT_PREFIX: &str = "x-figloft-";

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes hop-by-hop headers, those named by `connection`, and figloft's own headers.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != header::CONTENT_LENGTH)
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(FIGLOFT_PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

/// Builds the headers of a request to a backend server. The caller's key is removed, because its secret must
/// not leave figloft.
pub fn backend_headers(mut headers: HeaderMap, id: &str, team: &str, remaining: Duration) -> HeaderMap {
    remove_hop_by_hop_headers(&mut headers);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::HOST);
    headers.remove(header::EXPECT);
    headers.insert(DEADLINE, HeaderValue::from(remaining.as_millis() as u64));
    for (name, text) in [(REQUEST_ID, id), (TEAM, team)] {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(name, value);
        }
    }
    headers
}

/// Whether a header has the value 1.
pub fn is_set(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers.get(name).is_some_and(|value| value.as_bytes() == b"1")
}
