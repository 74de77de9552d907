//! Health probes of ejected backend servers.

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http_body_util::BodyExt;

use crate::connection::backend_body::BodySource;
use crate::policy::slot_table::SlotGrant;
use crate::request::entry_context::EntryContext;

/// Interval between checks for servers that are due for a probe; short against the first ejection time of 1
/// s.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit of a probe, including the response body.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Probes ejected servers that are due and reports the results to the admission control. Never returns.
pub async fn probe_ejected(context: Arc<EntryContext>) {
    let mut interval = tokio::time::interval(PROBE_INTERVAL);
    loop {
        interval.tick().await;
        for probe in context.admission.due_probes() {
            let context = Arc::clone(&context);
            tokio::spawn(async move {
                let is_healthy = probe_once(&context, &probe).await;
                context.admission.on_probe(&probe.instance, is_healthy);
            });
        }
    }
}

/// Whether `GET /healthz` gave a complete response with a success status in time.
async fn probe_once(context: &EntryContext, probe: &SlotGrant) -> bool {
    let uri = format!("http://{}/healthz", probe.address);
    let Ok(request) = Request::get(uri).body(BodySource::empty().body()) else {
        return false;
    };
    let call = async {
        let response = context.client.send(request).await.ok()?;
        let is_success = response.status().is_success();
        response.into_body().collect().await.ok()?;
        Some(is_success)
    };
    let result = tokio::time::timeout(PROBE_TIMEOUT, call).await;
    matches!(result, Ok(Some(true)))
}
