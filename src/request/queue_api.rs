//! The callers' API on the platform: submission, state, cancellation and waiting counts of jobs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Method, Response, StatusCode};
use slog::{debug, info};

use crate::dispatch::job_record::{JobRecord, JobSummary};
use crate::dispatch::site_config::{QueueConfig, SiteConfig};
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{JobId, OrganisationId, QueueId};
use crate::node::node_context::{NodeContext, STORE_TIMEOUT};
use crate::node::store_keys;
use crate::platform::caller_protocol;
use crate::platform::store::{CommitOutcome, StoreTransaction};
use crate::request::http_server::{EntryHandler, EntryRequest};
use crate::request::response;
use crate::request::response_stream::ResponseStream;
use crate::request::submission_batcher::SubmissionBatcher;

/// When to come back where nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time before the caller's deadline at which an answer is given at the latest, for its way back.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Time for an answer where the caller names no deadline.
const USUAL_DEADLINE: Duration = Duration::from_secs(3);

/// Parts of the callers' API.
#[derive(Debug)]
pub struct QueueApi {
    parts: NodeContext,
    intake: SubmissionBatcher,
}

/// A call with its queue.
struct QueueCall {
    config: Arc<SiteConfig>,
    queue: QueueConfig,
    organisation: Option<OrganisationId>,
    rest: String,
    deadline: Instant,
}

impl QueueApi {
    /// Creates the API.
    pub fn new(parts: NodeContext, intake: SubmissionBatcher) -> Self {
        Self { parts, intake }
    }

    /// The handler for the server.
    pub fn handler(self: Arc<Self>) -> EntryHandler {
        Arc::new(move |call| {
            let api = Arc::clone(&self);
            Box::pin(async move { api.serve(call).await })
        })
    }

    async fn serve(&self, call: EntryRequest) -> Response<ResponseStream> {
        let started = self.parts.clock.now();
        self.parts.metrics.begin_request();
        let name = call_name(&call.parts.method);
        let path = call.parts.uri.path().to_owned();
        let outcome = self.answer(call, started).await;
        let elapsed = self.parts.clock.now().saturating_duration_since(started);
        let mut answer = match outcome {
            Ok(answer) => answer,
            Err(error) => {
                let job = store_keys::last_segment(&path);
                info!(self.parts.log, "call refused"; "call" => name, "job" => job, "error" => %error,
                    "config" => self.version(), "ms" => elapsed.as_millis() as u64);
                response::error_response(&error)
            }
        };
        if self.parts.is_stopping() {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(header::CONNECTION, close);
        }
        self.parts
            .metrics
            .record_request(name, answer.status().as_u16(), elapsed);
        answer
    }

    fn version(&self) -> u64 {
        let config = self.parts.config.borrow();
        config.as_ref().map_or(0, |config| config.version.get())
    }

    async fn answer(&self, call: EntryRequest, started: Instant) -> Result<Response<ResponseStream>> {
        let found = self.find_queue(&call, started)?;
        match (&call.parts.method, found.rest.is_empty()) {
            (&Method::GET, true) => self.count_waiting(&found.queue.id).await,
            (&Method::GET, false) => {
                self.show_state(&caller_protocol::decode_job_id(&found.rest)?)
                    .await
            }
            (&Method::POST, false) => self.submit(&call, found).await,
            (&Method::DELETE, false) => self.cancel(&caller_protocol::decode_job_id(&found.rest)?).await,
            _ => Err(Error::new(
                ErrorKind::BadRequest,
                "jobs are submitted with POST, shown with GET and cancelled with DELETE",
            )),
        }
    }

    /// Finds the queue and checks the key.
    fn find_queue(&self, call: &EntryRequest, started: Instant) -> Result<QueueCall> {
        let Some(config) = self.parts.config.borrow().clone() else {
            let error = Error::new(ErrorKind::ViewStale, "no configuration has been read yet");
            return Err(error.with_retry_after(RETRY_AFTER));
        };
        let host = call.parts.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let Some((queue, rest)) = config.find_queue(host, call.parts.uri.path()) else {
            return Err(Error::new(ErrorKind::NotFound, "no queue has this host and path"));
        };
        let key = caller_protocol::api_key(&call.parts.headers);
        let organisation = key.and_then(|key| config.keys.get(key)).cloned();
        if organisation.is_none() && !queue.is_open {
            return Err(Error::new(
                ErrorKind::KeyMissing,
                "the key is missing or not known",
            ));
        }
        let wait = caller_protocol::deadline(&call.parts.headers).unwrap_or(USUAL_DEADLINE);
        Ok(QueueCall {
            queue: queue.clone(),
            organisation,
            rest: rest.to_owned(),
            deadline: started + wait.saturating_sub(ANSWER_MARGIN),
            config: Arc::clone(&config),
        })
    }

    async fn submit(&self, call: &EntryRequest, found: QueueCall) -> Result<Response<ResponseStream>> {
        let id = caller_protocol::decode_job_id(&found.rest)?;
        let body = call.body.collect(found.config.max_body).await?;
        let spec = caller_protocol::decode_job(&body)?;
        let started = self.parts.clock.now();
        let record = JobRecord {
            id: id.clone(),
            pool: found.queue.pool,
            queue: found.queue.id.clone(),
            organisation: found.organisation.clone(),
            rule: found.queue.rule,
            accepted_at: self.parts.wall_time(),
            spec,
        };
        let pool = record.pool.clone();
        let outcome = self.intake.submit(record, found.deadline).await?;
        let elapsed = self.parts.clock.now().saturating_duration_since(started);
        info!(self.parts.log, "job taken in"; "job" => %id, "outcome" => %outcome, "queue" => %found.queue.id,
            "pool" => %pool, "organisation" => found.organisation.as_ref().map(OrganisationId::as_str),
            "config" => %found.config.version, "store_ms" => elapsed.as_millis() as u64);
        Ok(response::text_response(
            StatusCode::OK,
            "application/json",
            Bytes::new(),
        ))
    }

    async fn read_head(&self, job: &JobId) -> Result<Option<JobSummary>> {
        if self.parts.store.is_unreachable() {
            return Err(store_lost());
        }
        let key = store_keys::summary_key(job);
        let item = self.parts.store.get(&key, STORE_TIMEOUT).await?;
        item.map(|item| store_keys::decode(&key, &item.value)).transpose()
    }

    async fn show_state(&self, job: &JobId) -> Result<Response<ResponseStream>> {
        let head = self.read_head(job).await?;
        let head = head.ok_or_else(|| Error::new(ErrorKind::JobGone, format!("job {job} is not known")))?;
        debug!(self.parts.log, "state shown"; "job" => %job, "state" => %head.state);
        Ok(response::json_response(
            StatusCode::OK,
            &caller_protocol::encode_job_state(head.state),
        ))
    }

    /// Stores a cancellation; the pool's holder carries it out.
    async fn cancel(&self, job: &JobId) -> Result<Response<ResponseStream>> {
        let head = self.read_head(job).await?;
        let head = head.ok_or_else(|| Error::new(ErrorKind::JobGone, format!("job {job} is not known")))?;
        if !head.state.is_final() {
            let mut write = StoreTransaction::default();
            write.put(
                store_keys::cancel_key(&head.pool, job),
                Bytes::from_static(b"1"),
                None,
            );
            let outcome = self.parts.store.commit(&write, STORE_TIMEOUT).await?;
            if !matches!(outcome, CommitOutcome::Done(_)) {
                let message = "the store reported a conflict for a cancellation";
                return Err(Error::new(ErrorKind::StoreOutcomeUnknown, message));
            }
        }
        info!(self.parts.log, "job cancelled"; "job" => %job, "state" => %head.state);
        Ok(response::text_response(
            StatusCode::OK,
            "application/json",
            Bytes::new(),
        ))
    }

    /// Waiting jobs of a queue over all pools, since a queue may have changed its pool.
    async fn count_waiting(&self, queue: &QueueId) -> Result<Response<ResponseStream>> {
        if self.parts.store.is_unreachable() {
            return Err(store_lost());
        }
        let config = self.parts.config.borrow().clone();
        let pools = config.map_or(0, |config| config.working_pools().count());
        let (items, _) = self
            .parts
            .store
            .range(store_keys::WAITING_PREFIX, STORE_TIMEOUT)
            .await?;
        if items.len() < pools {
            let error = Error::new(
                ErrorKind::ViewStale,
                "a pool has no holder that counts its waiting jobs",
            );
            return Err(error.with_retry_after(RETRY_AFTER));
        }
        let mut waiting = 0;
        for item in &items {
            let counts: BTreeMap<QueueId, u32> = store_keys::decode(&item.key, &item.value)?;
            waiting += counts.get(queue).copied().unwrap_or(0);
        }
        Ok(response::json_response(
            StatusCode::OK,
            &caller_protocol::encode_waiting_count(waiting),
        ))
    }
}

fn call_name(method: &Method) -> &'static str {
    match *method {
        Method::GET => "show",
        Method::POST => "submit",
        Method::DELETE => "cancel",
        _ => "other",
    }
}

fn store_lost() -> Error {
    Error::new(ErrorKind::StoreUnavailable, "the store does not answer").with_retry_after(RETRY_AFTER)
}
