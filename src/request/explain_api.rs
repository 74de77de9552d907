//! Explains a job to operators, from what the store holds of it. Any node can answer.

use std::sync::Arc;

use http::{Response, StatusCode};

use crate::dispatch::job_record::{JobProgress, JobSummary};
use crate::dispatch::run_loss::{LossState, RunLoss};
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{JobId, Revision};
use crate::node::node_context::{NodeContext, STORE_TIMEOUT};
use crate::node::store_keys;
use crate::process::admin::message::{ExplainAnswer, ExplainTopic};
use crate::request::response;
use crate::request::response_stream::ResponseStream;

/// Path of explanations, followed by the id of the job. It is the one that the operators' tool calls.
pub const EXPLAIN_JOB_PATH: &str = "/v1/explain/job/";

/// Response to a request for the explanation of a job.
pub async fn show_job(context: &NodeContext, id: &str) -> Response<ResponseStream> {
    match explain_job(context, id).await {
        Ok(answer) => response::json_response(StatusCode::OK, &answer),
        Err(error) => response::error_response(&error),
    }
}

async fn explain_job(context: &NodeContext, id: &str) -> Result<ExplainAnswer> {
    let id = JobId::new(id)?;
    let key = store_keys::summary_key(&id);
    let item = context.store.get(&key, STORE_TIMEOUT).await?;
    let item = item.ok_or_else(|| Error::new(ErrorKind::NotFound, format!("job {id} is not known")))?;
    let summary: JobSummary = store_keys::decode(&key, &item.value)?;
    let key = store_keys::progress_key(&summary.pool, &id);
    let progress = context.store.get(&key, STORE_TIMEOUT).await?;
    let progress: Option<JobProgress> = progress
        .map(|item| store_keys::decode(&key, &item.value))
        .transpose()?;
    Ok(ExplainAnswer {
        topic: ExplainTopic::Job,
        id: Arc::from(id.as_str()),
        revision: Revision::new(item.revision.get()),
        facts: job_facts(&summary, progress.as_ref()),
    })
}

/// Facts about a job, one a line.
pub fn job_facts(summary: &JobSummary, progress: Option<&JobProgress>) -> Vec<Arc<str>> {
    let mut facts = vec![format!(
        "is {} in queue {} of pool {}",
        summary.state, summary.queue, summary.pool
    )];
    if summary.is_early_cancellation {
        facts.push("was cancelled before a submission was stored, and never runs".to_owned());
    }
    if let Some(at) = summary.ended_at {
        facts.push(format!("ended at {} ms since 1970", at.get()));
    }
    if let Some(reason) = &summary.reason {
        facts.push(format!("failed: {reason}"));
    }
    for (occurrence, steps) in progress.into_iter().flat_map(|progress| &progress.occurrences) {
        for (number, step) in steps.iter().enumerate() {
            let name = |index: &u32| format!("task {occurrence}.{number}.{index}");
            for (index, failures) in &step.failures {
                facts.push(format!("{} failed {} times", name(index), failures.len()));
            }
            for (index, history) in &step.losses {
                let losses = history
                    .iter()
                    .map(|(run, loss)| format!("{}: run {run} {}", name(index), describe_loss(loss)));
                facts.extend(losses);
            }
        }
    }
    facts.into_iter().map(Arc::from).collect()
}

fn describe_loss(loss: &RunLoss) -> String {
    let place = if loss.is_isolated { "alone on" } else { "on" };
    let worker = &loss.worker;
    let active_ms = loss.active_for.as_millis();
    match loss.state {
        LossState::Started => format!("started {place} worker {worker}"),
        LossState::Missing => format!("was lost {place} worker {worker} after {active_ms} ms; cause unknown"),
        LossState::Crashed => format!("was {place} worker {worker} when it crashed after {active_ms} ms"),
    }
}
