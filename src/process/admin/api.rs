//! Routing and access check of the admin API, independent of the HTTP server.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::error::{Error, ErrorKind, Result};
use crate::journal::entry::EntryActor;
use crate::model::id::OperatorId;
use crate::process::admin::message::RefusalBody;
use crate::process::admin::source::AdminSources;
use crate::process::admin::{audit, change, explain, instance, key, plan, session, status};

/// Largest body, in bytes: a journal entry has to fit into one value of the store (1 MB) with room to spare.
pub const MAX_BODY_LENGTH: usize = 512 << 10;
/// Shortest operator token, in bytes; shorter ones can be guessed.
pub const MIN_TOKEN_LENGTH: usize = 16;

/// A request to the admin API.
#[derive(Debug, Clone)]
pub struct AdminRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Value of the `authorization` header.
    pub authorization: Option<String>,
    /// Value of the `x-figloft-operator` header.
    pub operator: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// An answer of the admin API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminAnswer {
    /// HTTP status code.
    pub status: u16,
    /// JSON body.
    pub body: Vec<u8>,
}

impl AdminAnswer {
    /// A success with a body.
    ///
    /// # Errors
    /// `internal` if the body does not serialise.
    pub fn ok(body: &impl Serialize) -> Result<Self> {
        let body = serde_json::to_vec(body).map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))?;
        Ok(Self { status: 200, body })
    }

    /// A refusal with details.
    ///
    /// # Errors
    /// `internal` if the body does not serialise.
    pub fn refusal(refusal: &RefusalBody) -> Result<Self> {
        let mut answer = Self::ok(refusal)?;
        answer.status = refusal.error.error.response().status;
        Ok(answer)
    }
}

impl From<Error> for AdminAnswer {
    fn from(error: Error) -> Self {
        let body = serde_json::to_vec(&error.body()).unwrap_or_default();
        let status = error.kind().response().status;
        Self { status, body }
    }
}

/// The operators' token; only its hash is kept in memory.
#[derive(Debug, Clone)]
pub struct OperatorToken([u8; 32]);

impl OperatorToken {
    /// Creates a token.
    ///
    /// # Errors
    /// `bad_request` if the token is shorter than 16 bytes.
    pub fn new(token: &str) -> Result<Self> {
        if token.len() < MIN_TOKEN_LENGTH {
            let message = format!("the operator token must have at least {MIN_TOKEN_LENGTH} bytes");
            return Err(Error::new(ErrorKind::BadRequest, message));
        }
        Ok(Self(Sha256::digest(token.as_bytes()).into()))
    }

    /// Compares a presented token in constant time; hashes make the lengths equal.
    pub fn matches(&self, presented: &str) -> bool {
        let presented: [u8; 32] = Sha256::digest(presented.as_bytes()).into();
        presented.ct_eq(&self.0).into()
    }
}

/// The admin API of one daemon.
#[derive(Debug, Clone)]
pub struct AdminApi {
    token: OperatorToken,
    sources: AdminSources,
}

impl AdminApi {
    /// Creates the API.
    pub fn new(token: OperatorToken, sources: AdminSources) -> Self {
        Self { token, sources }
    }

    /// Answers a request.
    pub async fn answer(&self, request: AdminRequest) -> AdminAnswer {
        match self.route(&request).await {
            Ok(answer) => answer,
            Err(error) => error.into(),
        }
    }

    async fn route(&self, request: &AdminRequest) -> Result<AdminAnswer> {
        self.check_token(request)?;
        if request.body.len() > MAX_BODY_LENGTH {
            let message = format!(
                "the body has {} bytes, above {MAX_BODY_LENGTH}",
                request.body.len()
            );
            return Err(Error::new(ErrorKind::TooLarge, message));
        }
        let path: Vec<&str> = request.path.split('/').skip(1).collect();
        let sources = &self.sources;
        match (request.method.as_str(), path.as_slice()) {
            ("GET", ["v1", "records"]) => change::list(sources, &request.query),
            ("GET", ["v1", "records", kind, id]) => change::show(sources, kind, id),
            ("POST", ["v1", "changes"]) => {
                let body = read_body(request)?;
                change::accept(sources, actor(request)?, body).await
            }
            ("GET", ["v1", "plans"]) => plan::list(sources),
            ("GET", ["v1", "plans", id]) => plan::show(sources, id),
            ("POST", ["v1", "plans", id, action]) => {
                let body = read_body(request)?;
                plan::act(sources, actor(request)?, id, action, body).await
            }
            ("POST", ["v1", "keys"]) => {
                let body = read_body(request)?;
                key::give(sources, actor(request)?, body).await
            }
            ("POST", ["v1", "keys", id, "withdraw"]) => key::withdraw(sources, actor(request)?, id).await,
            ("GET", ["v1", "instances"]) => instance::list(sources, &request.query),
            ("POST", ["v1", "instances"]) => {
                let body = read_body(request)?;
                instance::add(sources, actor(request)?, body).await
            }
            ("POST", ["v1", "instances", id, action]) => {
                let body = read_body(request)?;
                instance::act(sources, actor(request)?, id, action, body).await
            }
            ("GET", ["v1", "sessions"]) => session::list(sources, &request.query),
            ("POST", ["v1", "sessions", id, "forget"]) => session::forget(sources, actor(request)?, id).await,
            ("GET", ["v1", "status"]) => status::show(sources),
            ("GET", ["v1", "audit"]) => audit::show(sources, &request.query).await,
            ("GET", ["v1", "explain", what, id]) => explain::show(sources, what, id).await,
            (method, _) => {
                let path: String = request.path.chars().take(200).collect();
                let message = format!("{method} {path} is not part of the admin API");
                Err(Error::new(ErrorKind::NotFound, message))
            }
        }
    }

    /// Checks the operator's token.
    ///
    /// # Errors
    /// `key_missing` without a token, `key_refused` if it is another one.
    pub fn check_token(&self, request: &AdminRequest) -> Result<()> {
        let Some(presented) = request.authorization.as_deref() else {
            return Err(Error::new(ErrorKind::KeyMissing, "the operator token is missing"));
        };
        let token = presented.strip_prefix("Bearer ").unwrap_or_default();
        if self.token.matches(token) {
            return Ok(());
        }
        Err(Error::new(
            ErrorKind::KeyRefused,
            "the operator token is not valid",
        ))
    }
}

/// The operator named by a request, who appears in the audit trail.
fn actor(request: &AdminRequest) -> Result<EntryActor> {
    let Some(name) = request.operator.as_deref() else {
        let message = "the header x-figloft-operator must name the operator for the audit trail";
        return Err(Error::new(ErrorKind::BadRequest, message));
    };
    let operator: OperatorId = name.parse()?;
    Ok(EntryActor::Operator(operator))
}

/// Reads a JSON body; an empty one counts as `{}`.
fn read_body<T: DeserializeOwned>(request: &AdminRequest) -> Result<T> {
    let bytes: &[u8] = if request.body.is_empty() {
        b"{}"
    } else {
        &request.body
    };
    serde_json::from_slice(bytes).map_err(|e| Error::new(ErrorKind::BadRequest, format!("body: {e}")))
}

/// Value of a query field, with `%XX` and `+` left as they are: ids and numbers need neither.
pub(super) fn query_field<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| {
        let (field, value) = pair.split_once('=')?;
        (field == name && !value.is_empty()).then_some(value)
    })
}

/// A `not_found` error.
pub(super) fn not_found(what: &str, id: &str) -> Error {
    let id: Arc<str> = id.chars().take(100).collect::<String>().into();
    Error::new(ErrorKind::NotFound, format!("{what} {id} does not exist"))
}
