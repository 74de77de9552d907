//! The platform's HTTP API for callers: submits, shows and cancels jobs, and counts the waiting jobs of a
//! queue.
//!
//! Jobs and cancellations are only written to the store here; the leader of the queue's pool acts on them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Method, Response, StatusCode};
use slog::{debug, info};

use crate::dispatch::job_record::JobRecord;
use crate::dispatch::site_config::{QueueConfig, SiteConfig};
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{JobId, OrganisationId, QueueId};
use crate::model::resource::ResourceSet;
use crate::node::node_context::{NodeContext, STORE_TIMEOUT};
use crate::node::store_keys;
use crate::node::waiting_counts;
use crate::platform::caller_protocol;
use crate::request::admission_gate::AdmissionGate;
use crate::request::http_server::{EntryHandler, EntryRequest};
use crate::request::job_canceller::{self, CancelRequest, JobCanceller};
use crate::request::response;
use crate::request::response_stream::ResponseStream;
use crate::request::submission_batcher::SubmissionBatcher;

/// `retry-after` of refusals for which no better time is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time reserved at the end of the caller's deadline for sending the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(300);

/// Deadline of requests that give none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);

/// Time after the caller's deadline at which a body has to be complete. A caller that sends a body for as long as its
/// deadline counts from the end of the body, so that it still waits then.
const BODY_MARGIN: Duration = Duration::from_secs(2);

/// Longest time for a body, whatever the caller's deadline. The largest body takes 0.2 s on the slowest link.
const MAX_BODY_TIME: Duration = Duration::from_secs(10);

/// The platform's HTTP API for callers.
#[derive(Debug)]
pub struct QueueApi {
    context: NodeContext,
    batcher: SubmissionBatcher,
    gate: AdmissionGate,
    canceller: JobCanceller,
}

/// What [`QueueApi::find_queue`] finds out about a request. `organisation` is `None` for requests
/// without a known key to a public queue; `job_path` is the path below the queue, empty for the queue itself.
struct QueueRequest {
    config: Arc<SiteConfig>,
    queue: QueueConfig,
    organisation: Option<OrganisationId>,
    job_path: String,
    deadline: Instant,
    body_deadline: Instant,
}

impl QueueApi {
    /// Creates the API. Jobs that `gate` admits are stored through `batcher`.
    pub fn new(
        context: NodeContext,
        batcher: SubmissionBatcher,
        gate: AdmissionGate,
        canceller: JobCanceller,
    ) -> Self {
        Self {
            context,
            batcher,
            gate,
            canceller,
        }
    }

    /// Request handler for [`start_server`](crate::request::http_server::start_server).
    pub fn handler(self: Arc<Self>) -> EntryHandler {
        Arc::new(move |request| {
            let api = Arc::clone(&self);
            Box::pin(async move { api.handle(request).await })
        })
    }

    async fn handle(&self, request: EntryRequest) -> Response<ResponseStream> {
        let started = self.context.clock.now();
        let _in_flight = self.context.metrics.begin_request();
        let operation = operation_name(&request.parts.method);
        let path = request.parts.uri.path().to_owned();
        let result = self.route(request, started).await;
        let elapsed = self.context.clock.now().saturating_duration_since(started);
        let mut response = match result {
            Ok(response) => response,
            Err(error) => {
                let job = store_keys::last_segment(&path);
                info!(self.context.log, "call refused"; "call" => operation, "job" => job, "error" => %error,
                    "config" => self.version(), "ms" => elapsed.as_millis() as u64);
                response::error_response(&error)
            }
        };
        if self.context.is_stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        self.context
            .metrics
            .record_request(operation, response.status().as_u16(), elapsed);
        response
    }

    fn version(&self) -> u64 {
        let config = self.context.config.borrow();
        config.as_ref().map_or(0, |config| config.version.get())
    }

    async fn route(&self, request: EntryRequest, started: Instant) -> Result<Response<ResponseStream>> {
        let queue_request = self.find_queue(&request, started)?;
        match (&request.parts.method, queue_request.job_path.is_empty()) {
            (&Method::GET, true) => self.count_waiting(&queue_request.queue.id).await,
            (&Method::GET, false) => {
                self.show_state(&caller_protocol::decode_job_id(&queue_request.job_path)?)
                    .await
            }
            (&Method::POST, false) => self.submit(&request, queue_request).await,
            (&Method::DELETE, false) => self.cancel(queue_request).await,
            _ => Err(Error::new(
                ErrorKind::BadRequest,
                "jobs are submitted with POST, shown with GET and cancelled with DELETE",
            )),
        }
    }

    /// Finds the queue by host and path, and checks the caller's key.
    fn find_queue(&self, request: &EntryRequest, started: Instant) -> Result<QueueRequest> {
        let Some(config) = self.context.config.borrow().clone() else {
            let error = Error::new(ErrorKind::ViewStale, "no configuration has been read yet");
            return Err(error.with_retry_after(RETRY_AFTER));
        };
        let host = request.parts.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let Some((queue, job_path)) = config.find_queue(host, request.parts.uri.path()) else {
            return Err(Error::new(ErrorKind::NotFound, "no queue has this host and path"));
        };
        let key = caller_protocol::api_key(&request.parts.headers);
        let organisation = key.and_then(|key| config.keys.get(key)).cloned();
        if organisation.is_none() && !queue.is_public {
            return Err(Error::new(ErrorKind::KeyMissing, "the key is missing or unknown"));
        }
        let wait = caller_protocol::deadline(&request.parts.headers).unwrap_or(DEFAULT_DEADLINE);
        Ok(QueueRequest {
            queue: queue.clone(),
            organisation,
            job_path: job_path.to_owned(),
            body_deadline: started + (wait + BODY_MARGIN).min(MAX_BODY_TIME),
            deadline: started + wait.saturating_sub(RESPONSE_MARGIN),
            config: Arc::clone(&config),
        })
    }

    async fn submit(
        &self,
        request: &EntryRequest,
        queue_request: QueueRequest,
    ) -> Result<Response<ResponseStream>> {
        let id = caller_protocol::decode_job_id(&queue_request.job_path)?;
        let owner = queue_request.organisation.as_ref().map(|id| id.as_str().into());
        let max_bytes = queue_request.config.max_body_bytes;
        // The body counts against the memory for bodies until the request is answered.
        let body =
            self.context
                .limits
                .read_body(&request.body, owner, max_bytes, queue_request.body_deadline);
        let body = body.await?;
        let spec = caller_protocol::decode_job(&body.bytes)?;
        let started = self.context.clock.now();
        let limit = organisation_limit(&queue_request);
        let record = JobRecord {
            id: id.clone(),
            pool: queue_request.queue.pool,
            queue: queue_request.queue.id.clone(),
            organisation: queue_request.organisation.clone(),
            rule: queue_request.queue.rule,
            accepted_at: self.context.wall_time(),
            spec,
        };
        let pool = record.pool.clone();
        let outcome = self
            .gate
            .submit(&self.batcher, record, &limit, queue_request.deadline)
            .await?;
        let elapsed = self.context.clock.now().saturating_duration_since(started);
        info!(self.context.log, "job taken in"; "job" => %id, "outcome" => %outcome,
            "queue" => %queue_request.queue.id, "pool" => %pool,
            "organisation" => queue_request.organisation.as_ref().map(OrganisationId::as_str),
            "config" => %queue_request.config.version, "store_ms" => elapsed.as_millis() as u64);
        Ok(response::text_response(
            StatusCode::OK,
            "application/json",
            Bytes::new(),
        ))
    }

    async fn show_state(&self, job: &JobId) -> Result<Response<ResponseStream>> {
        let found = self.canceller.read_summary(job).await?;
        let found = found.filter(|(summary, _)| !summary.is_early_cancellation);
        let (summary, _) = found.ok_or_else(|| job_canceller::job_gone(job))?;
        debug!(self.context.log, "state shown"; "job" => %job, "state" => %summary.state);
        Ok(response::json_response(
            StatusCode::OK,
            &caller_protocol::encode_job_state(&summary),
        ))
    }

    async fn cancel(&self, queue_request: QueueRequest) -> Result<Response<ResponseStream>> {
        let request = CancelRequest {
            job: caller_protocol::decode_job_id(&queue_request.job_path)?,
            pool: queue_request.queue.pool,
            queue: queue_request.queue.id,
            organisation: queue_request.organisation,
            deadline: queue_request.deadline,
        };
        self.canceller.cancel(&request).await?;
        Ok(response::text_response(
            StatusCode::OK,
            "application/json",
            Bytes::new(),
        ))
    }

    /// Counts the waiting jobs of a queue in all pools, since a queue may have been moved to another pool.
    async fn count_waiting(&self, queue: &QueueId) -> Result<Response<ResponseStream>> {
        if self.context.store.is_unreachable() {
            return Err(job_canceller::store_unavailable());
        }
        let config = self.context.config.borrow().clone().unwrap_or_default();
        let (items, _) = self
            .context
            .store
            .range(store_keys::WAITING_PREFIX, STORE_TIMEOUT)
            .await?;
        let waiting = waiting_counts::sum(&items, config.active_pools(), queue)?;
        let waiting = waiting.ok_or_else(|| {
            let message = "a pool has no leader that counts its waiting jobs";
            Error::new(ErrorKind::ViewStale, message).with_retry_after(RETRY_AFTER)
        })?;
        Ok(response::json_response(
            StatusCode::OK,
            &caller_protocol::encode_waiting_count(waiting),
        ))
    }
}

/// Resources that the organisation of a request may use in the whole fleet; an amount of 0 stands for no limit.
fn organisation_limit(request: &QueueRequest) -> ResourceSet {
    let organisation = request.organisation.as_ref();
    let config = organisation.and_then(|organisation| request.config.organisations.get(organisation));
    config.map(|config| config.limit).unwrap_or_default()
}

fn operation_name(method: &Method) -> &'static str {
    match *method {
        Method::GET => "show",
        Method::POST => "submit",
        Method::DELETE => "cancel",
        _ => "other",
    }
}
