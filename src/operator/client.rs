//! Client of the admin API.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::cli::operator_args::AccessArgs;
use crate::error::{ErrorBody, ErrorKind};
use crate::operator::outcome::{OperatorExit, OperatorFailure, OperatorResult};
use crate::process::admin::message::{OPERATOR_HEADER, RefusalBody, SessionList};

/// Longest time for one call; the daemon's own store calls end earlier.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest accepted answer, in bytes; the records of the largest planned fleet take a tenth.
const MAX_ANSWER_LENGTH: usize = 64 << 20;
/// Environment variable with the operator token.
const TOKEN_VARIABLE: &str = "FIGLOFT_TOKEN";

/// Client of the admin API of one or more daemons.
#[derive(Debug, Clone)]
pub struct AdminClient {
    addresses: Vec<Arc<str>>,
    token: Arc<str>,
    operator: Option<Arc<str>>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Outcome of one call at one address.
enum CallEnd<T> {
    Done(T),
    /// Nothing was sent.
    NotConnected(OperatorFailure),
}

impl AdminClient {
    /// Creates a client.
    pub fn new(addresses: Vec<Arc<str>>, token: impl Into<Arc<str>>) -> Self {
        Self {
            addresses,
            token: token.into(),
            operator: None,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sets the operator's name.
    #[must_use]
    pub fn with_operator(mut self, operator: impl Into<Arc<str>>) -> Self {
        self.operator = Some(operator.into());
        self
    }

    /// Creates a client from the arguments, reading the token from its file or the environment.
    ///
    /// # Errors
    /// Wrong usage if there is no token.
    pub fn from_args(args: &AccessArgs) -> OperatorResult<Self> {
        let token = match &args.token_file {
            Some(path) => std::fs::read_to_string(path)
                .map_err(|e| OperatorFailure::usage(format!("token file {}: {e}", path.display())))?,
            None => std::env::var(TOKEN_VARIABLE).unwrap_or_default(),
        };
        let token = token.trim();
        if token.is_empty() {
            let message = format!("no operator token: set {TOKEN_VARIABLE} or --token-file");
            return Err(OperatorFailure::usage(message));
        }
        let client = Self::new(args.admin.clone(), token);
        Ok(match &args.operator {
            Some(operator) => client.with_operator(operator.as_str()),
            None => client,
        })
    }

    /// Reads from the API.
    ///
    /// # Errors
    /// The daemon's refusal, or that no daemon answered.
    pub async fn get<T: DeserializeOwned>(&self, target: &str) -> OperatorResult<T> {
        self.call(Method::GET, target, Bytes::new()).await
    }

    /// A client that asks the coordinator's session first, because only it knows why moves wait.
    ///
    /// # Errors
    /// The daemon's refusal, or that no daemon answered.
    pub async fn at_coordinator(&self) -> OperatorResult<Self> {
        let list: SessionList = self.get("/v1/sessions").await?;
        let coordinator = list
            .sessions
            .into_iter()
            .find(|view| Some(&view.session) == list.coordinator.as_ref());
        let mut client = self.clone();
        if let Some(address) = coordinator.and_then(|view| view.admin) {
            client.addresses.insert(0, address);
        }
        Ok(client)
    }

    /// Changes something through the API.
    ///
    /// # Errors
    /// Wrong usage without an operator's name, the daemon's refusal, or that no daemon answered.
    pub async fn post<T: DeserializeOwned>(&self, target: &str, body: &impl Serialize) -> OperatorResult<T> {
        if self.operator.is_none() {
            let message =
                "changes need an operator's name for the audit trail: set FIGLOFT_OPERATOR or --operator";
            return Err(OperatorFailure::usage(message));
        }
        let body = serde_json::to_vec(body).map_err(|e| OperatorFailure::usage(e.to_string()))?;
        self.call(Method::POST, target, body.into()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> OperatorResult<T> {
        let mut last = OperatorFailure::usage("no admin address is set");
        for address in &self.addresses {
            match self.call_address(address, &method, target, body.clone()).await? {
                CallEnd::Done(value) => return Ok(value),
                CallEnd::NotConnected(failure) => last = failure,
            }
        }
        Err(last)
    }

    async fn call_address<T: DeserializeOwned>(
        &self,
        address: &str,
        method: &Method,
        target: &str,
        body: Bytes,
    ) -> OperatorResult<CallEnd<T>> {
        let request = self.request(address, method, target, body)?;
        let lost = |detail: String| lost_answer(method, address, &detail);
        let response = match tokio::time::timeout(CALL_TIMEOUT, self.client.request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_connect() => {
                let message = format!("no daemon answers at {address}");
                let failure =
                    OperatorFailure::new(OperatorExit::Unavailable, ErrorKind::PeerUnavailable, message);
                return Ok(CallEnd::NotConnected(failure));
            }
            Ok(Err(error)) => return Err(lost(error.to_string())),
            Err(_) => return Err(lost("no answer in time".to_owned())),
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_LENGTH);
        let bytes = match tokio::time::timeout(CALL_TIMEOUT, body.collect()).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(error)) => return Err(lost(error.to_string())),
            Err(_) => return Err(lost("the answer did not end in time".to_owned())),
        };
        if status.is_success() {
            let value =
                serde_json::from_slice(&bytes).map_err(|e| lost(format!("unreadable answer: {e}")))?;
            return Ok(CallEnd::Done(value));
        }
        Err(read_refusal(address, status.as_u16(), &bytes))
    }

    fn request(
        &self,
        address: &str,
        method: &Method,
        target: &str,
        body: Bytes,
    ) -> OperatorResult<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{target}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token));
        if let Some(operator) = &self.operator {
            request = request.header(OPERATOR_HEADER, operator.as_ref());
        }
        let request = request.body(Full::new(body));
        request.map_err(|e| OperatorFailure::usage(format!("admin address {address}: {e}")))
    }
}

/// A call whose answer was lost: a read changed nothing, a change may have been accepted.
fn lost_answer(method: &Method, address: &str, detail: &str) -> OperatorFailure {
    if method == Method::GET {
        let message = format!("{address}: {detail}");
        return OperatorFailure::new(OperatorExit::Unavailable, ErrorKind::PeerUnavailable, message);
    }
    let message = format!("{address}: {detail}; the change may have been accepted, see `figloft audit`");
    OperatorFailure::new(OperatorExit::Unknown, ErrorKind::OutcomeUnknown, message)
}

fn read_refusal(address: &str, status: u16, bytes: &[u8]) -> OperatorFailure {
    if let Ok(refusal) = serde_json::from_slice::<RefusalBody>(bytes) {
        return refusal.into();
    }
    let message = match serde_json::from_slice::<ErrorBody>(bytes) {
        Ok(body) => body.message.to_string(),
        Err(_) => format!("{address} answered with status {status}"),
    };
    OperatorFailure::new(OperatorExit::Refused, ErrorKind::BadMessage, message)
}
