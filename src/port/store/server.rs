//! HTTP server that exposes an in-memory store to several processes. For tests and the trial only.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::model::id::{LeaseId, StoreRevision};
use crate::port::store::call::{MAX_VALUE_BYTES, PutExpect, StoreError, StoreListing, StoreResult};
use crate::port::store::http_client::{LEASE_HEADER, REASON_HEADER, REASON_LEASE_ENDED, REVISION_HEADER};
use crate::port::store::memory_store::MemoryStore;

/// Default and largest number of values in a listing.
const MAX_LIST_LIMIT: usize = 10_000;

/// Serves a store until `stop` holds true or its sender is dropped, then closes all connections.
///
/// # Errors
/// The error of the listener if accepting fails for good.
pub async fn serve(
    listener: TcpListener,
    store: MemoryStore,
    mut stop: watch::Receiver<bool>,
) -> io::Result<()> {
    let connection_stop = stop.clone();
    let accept_loop = async {
        loop {
            let (stream, _) = listener.accept().await?;
            tokio::spawn(serve_until(stream, store.clone(), connection_stop.clone()));
        }
    };
    tokio::select! {
        result = accept_loop => result,
        _ = stop.wait_for(|is_stopped| *is_stopped) => Ok(()),
    }
}

async fn serve_until(stream: TcpStream, store: MemoryStore, mut stop: watch::Receiver<bool>) {
    tokio::select! {
        () = serve_connection(stream, store) => {}
        _ = stop.wait_for(|is_stopped| *is_stopped) => {}
    }
}

async fn serve_connection(stream: TcpStream, store: MemoryStore) {
    // Without this option small answers wait for the peer's delayed acknowledgement; failing is harmless.
    drop(stream.set_nodelay(true));
    let service = service_fn(move |request| answer(store.clone(), request));
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // An error means that the client closed the connection or that an answer was lost on request.
    drop(connection.await);
}

/// Answers one request; an error makes hyper close the connection without an answer.
async fn answer(store: MemoryStore, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, StoreError> {
    match route(&store, request).await {
        Ok(response) => Ok(response),
        Err(StoreError::TimedOut) => Err(StoreError::TimedOut),
        Err(error) => Ok(refusal(&error)),
    }
}

async fn route(store: &MemoryStore, request: Request<Incoming>) -> StoreResult<Response<Full<Bytes>>> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let query = parse_query(parts.uri.query().unwrap_or_default());
    if let Some(key) = path.strip_prefix("/v1/kv/") {
        return route_key(store, &parts.method, key, &parts.headers, body).await;
    }
    if let Some(id) = path.strip_prefix("/v1/lease/") {
        return route_lease(store, &parts.method, parse(id)?).await;
    }
    match (parts.method, path.as_str()) {
        (Method::GET, "/v1/list") => {
            let limit = number(&query, "limit", MAX_LIST_LIMIT as u64)? as usize;
            let keys_only = text(&query, "keys_only") == "true";
            let limit = limit.min(MAX_LIST_LIMIT);
            let listing = store
                .list(text(&query, "prefix"), text(&query, "after"), limit, keys_only)
                .await?;
            Ok(listing_response(&listing))
        }
        (Method::GET, "/v1/watch") => {
            let after = StoreRevision::new(number(&query, "after", 0)?);
            let wait = Duration::from_millis(number(&query, "wait_ms", 0)?);
            let listing = store.watch(text(&query, "prefix"), after, wait).await?;
            Ok(listing_response(&listing))
        }
        (Method::POST, "/v1/lease") => {
            let ttl = Duration::from_millis(number(&query, "ttl_ms", 0)?);
            let id = store.grant_lease(ttl).await?;
            Ok(Response::new(Full::from(id.to_string())))
        }
        _ => Err(StoreError::Malformed("no such method and path".into())),
    }
}

async fn route_key(
    store: &MemoryStore,
    method: &Method,
    key: &str,
    headers: &HeaderMap,
    body: Incoming,
) -> StoreResult<Response<Full<Bytes>>> {
    match *method {
        Method::GET => match store.get(key).await? {
            Some(value) => Ok(with_revision(value.revision, value.value)),
            None => Ok(status_response(StatusCode::NOT_FOUND)),
        },
        Method::PUT => {
            let body = Limited::new(body, MAX_VALUE_BYTES).collect().await;
            let body = body.or(Err(StoreError::TooLarge))?.to_bytes();
            let lease: Option<LeaseId> = match headers.get(LEASE_HEADER) {
                Some(id) => Some(parse(id.to_str().unwrap_or_default())?),
                None => None,
            };
            let revision = store.put(key, body, condition(headers)?, lease).await?;
            Ok(with_revision(revision, Bytes::new()))
        }
        Method::DELETE => {
            store.delete(key, condition(headers)?).await?;
            Ok(status_response(StatusCode::NO_CONTENT))
        }
        _ => Err(StoreError::Malformed("keys accept GET, PUT and DELETE".into())),
    }
}

async fn route_lease(
    store: &MemoryStore,
    method: &Method,
    id: LeaseId,
) -> StoreResult<Response<Full<Bytes>>> {
    match *method {
        Method::PUT => store.renew_lease(id).await?,
        Method::DELETE => store.revoke_lease(id).await?,
        _ => return Err(StoreError::Malformed("leases accept PUT and DELETE".into())),
    }
    Ok(status_response(StatusCode::NO_CONTENT))
}

fn condition(headers: &HeaderMap) -> StoreResult<PutExpect> {
    if headers.contains_key(header::IF_NONE_MATCH) {
        return Ok(PutExpect::Absent);
    }
    match headers.get(header::IF_MATCH) {
        Some(revision) => Ok(PutExpect::Revision(parse(revision.to_str().unwrap_or_default())?)),
        None => Ok(PutExpect::Any),
    }
}

fn refusal(error: &StoreError) -> Response<Full<Bytes>> {
    let status = match error {
        StoreError::Conflict { .. } => StatusCode::PRECONDITION_FAILED,
        StoreError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        StoreError::RateLimited => StatusCode::TOO_MANY_REQUESTS,
        StoreError::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        StoreError::LeaseEnded => StatusCode::GONE,
        StoreError::Malformed(_) => StatusCode::BAD_REQUEST,
        StoreError::TimedOut => StatusCode::GATEWAY_TIMEOUT,
    };
    let mut response = Response::new(Full::from(error.to_string()));
    *response.status_mut() = status;
    if let StoreError::Conflict {
        current: Some(revision),
    } = error
    {
        response
            .headers_mut()
            .insert(REVISION_HEADER, header::HeaderValue::from(revision.get()));
    }
    if *error == StoreError::LeaseEnded {
        let reason = header::HeaderValue::from_static(REASON_LEASE_ENDED);
        response.headers_mut().insert(REASON_HEADER, reason);
    }
    response
}

fn listing_response(listing: &StoreListing) -> Response<Full<Bytes>> {
    let mut body = Vec::new();
    match ciborium::into_writer(listing, &mut body) {
        Ok(()) => Response::new(Full::from(body)),
        Err(_) => status_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn with_revision(revision: StoreRevision, value: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(value));
    response
        .headers_mut()
        .insert(REVISION_HEADER, header::HeaderValue::from(revision.get()));
    response
}

fn status_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Splits a query; store keys need no unescaping.
fn parse_query(query: &str) -> BTreeMap<Arc<str>, Arc<str>> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (Arc::from(name), Arc::from(value)))
        .collect()
}

fn text<'a>(query: &'a BTreeMap<Arc<str>, Arc<str>>, name: &str) -> &'a str {
    query.get(name).map_or("", |value| value.as_ref())
}

fn number(query: &BTreeMap<Arc<str>, Arc<str>>, name: &str, default: u64) -> StoreResult<u64> {
    query.get(name).map_or(Ok(default), |value| parse(value))
}

fn parse<T: std::str::FromStr>(text: &str) -> StoreResult<T> {
    text.parse()
        .ok()
        .ok_or_else(|| StoreError::Malformed("a number is expected".into()))
}
