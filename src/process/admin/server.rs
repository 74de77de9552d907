//! HTTP server of the admin API.

use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use http::header::{self, HeaderValue};
use http::{Response, StatusCode};

use crate::error::{Error, ErrorKind, Result};
use crate::process::admin::api::{AdminAnswer, AdminApi, AdminRequest, MAX_BODY_LENGTH};
use crate::process::admin::message::OPERATOR_HEADER;
use crate::request::caller_limits::CallerLimits;
use crate::request::http_server::{self, EntryHandler, EntryRequest, RunningServer, ServerLimits};
use crate::request::response;
use crate::request::response_stream::ResponseStream;

/// Longest time for a body to arrive; operators' networks are slow at times, and a stalled body ends here.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Limits of the server. A head of an operator's request has a few hundred bytes.
const SERVER_LIMITS: ServerLimits = ServerLimits {
    workers: 1,
    keep_alive: Duration::from_secs(5),
    head_timeout: Duration::from_secs(5),
};
/// Connections of the admin API, for a few operators and their scripts.
const MAX_CONNECTIONS: usize = 32;

/// A running admin server.
pub struct AdminServer {
    address: SocketAddr,
    server: Mutex<Option<RunningServer>>,
}

impl AdminServer {
    /// Starts the server on a bound listener, with threads and limits of its own.
    ///
    /// # Errors
    /// `internal` if the listener has no address or the server does not start.
    pub fn start(listener: TcpListener, api: AdminApi) -> Result<Self> {
        Self::start_limited(listener, api, &Arc::new(CallerLimits::without_log()?))
    }

    /// Starts the server with the limits of its process.
    ///
    /// # Errors
    /// `internal` if the listener has no address or the server does not start.
    pub fn start_limited(listener: TcpListener, api: AdminApi, limits: &Arc<CallerLimits>) -> Result<Self> {
        let fault = |error: std::io::Error| Error::new(ErrorKind::Internal, format!("admin server: {error}"));
        let address = listener.local_addr().map_err(fault)?;
        let guard = limits.guard("admin", MAX_CONNECTIONS);
        let handler = admin_handler(api, Arc::clone(limits));
        let server = http_server::start_guarded_server(listener, SERVER_LIMITS, guard, handler);
        Ok(Self {
            address,
            server: Mutex::new(Some(server.map_err(fault)?)),
        })
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server without waiting for it; a graceful stop lets calls in flight end.
    pub fn stop(&self, is_graceful: bool) {
        let mut server = self.server.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(server) = server.take() {
            server.request_stop(is_graceful);
        }
    }
}

impl fmt::Debug for AdminServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AdminServer")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

fn admin_handler(api: AdminApi, limits: Arc<CallerLimits>) -> EntryHandler {
    Arc::new(move |request| {
        let (api, limits) = (api.clone(), Arc::clone(&limits));
        Box::pin(async move { response(answer(&api, &limits, request).await) })
    })
}

/// Answers a request. The token is checked before the body is read.
async fn answer(api: &AdminApi, limits: &Arc<CallerLimits>, request: EntryRequest) -> AdminAnswer {
    let mut admin_request = admin_request(&request);
    if let Err(error) = api.check_token(&admin_request) {
        return error.into();
    }
    let deadline = Instant::now() + BODY_TIMEOUT;
    let body = limits.read_body(&request.body, None, MAX_BODY_LENGTH as u64, deadline);
    match body.await {
        Ok(body) => {
            admin_request.body = body.bytes.clone();
            api.answer(admin_request).await
        }
        Err(error) => error.into(),
    }
}

fn admin_request(request: &EntryRequest) -> AdminRequest {
    let parts = &request.parts;
    let header = |name: &str| parts.headers.get(name)?.to_str().ok().map(str::to_owned);
    AdminRequest {
        method: parts.method.clone(),
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        authorization: header("authorization"),
        operator: header(OPERATOR_HEADER),
        body: bytes::Bytes::new(),
    }
}

fn response(answer: AdminAnswer) -> Response<ResponseStream> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = response::text_response(status, "application/json", answer.body);
    if answer.status >= 400 {
        // The rest of a refused body may still be on the connection.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
