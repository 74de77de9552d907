//! Client of the platform's machine API: lists instances, moves them between pools and starts their
//! maintenance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::dispatch::fleet_planner::WaveNumber;
use crate::dispatch::wave_plan::{InstanceEntry, InstanceOutcome, InstanceState};
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{InstanceId, LeaderTerm, PoolId, WorkerId, ZoneId};
use crate::platform::http::{HttpClient, HttpError, HttpRequest, HttpResponse, escape_query};

const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum number of pages of the list, each with a few hundred instances. Guards against a list that never
/// ends.
const MAX_PAGES: usize = 500;

/// Client of the machine API, for one term of the fleet leader.
#[derive(Debug, Clone)]
pub struct InstanceApiClient {
    http_client: HttpClient,
    address: SocketAddr,
    leader_session: Arc<str>,
    fencing_token: LeaderTerm,
}

#[derive(Debug, Deserialize)]
struct WireMachine {
    machine: Arc<str>,
    pool: Arc<str>,
    state: String,
    /// Worker on the machine; absent or empty if there is none.
    #[serde(default)]
    id: Option<Arc<str>>,
    #[serde(default)]
    zone: Option<Arc<str>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireMachinePage {
    machines: Vec<WireMachine>,
    /// Token of the next page, a string or a number; absent or null on the last page.
    #[serde(default)]
    next_token: Option<serde_json::Value>,
}

#[derive(Debug, Serialize)]
struct WireMove<'a> {
    machine: &'a str,
    pool: &'a str,
}

#[derive(Debug, Serialize)]
struct WireMaintenance<'a> {
    machine: &'a str,
    wave: WaveNumber,
}

impl InstanceApiClient {
    /// Creates a client whose commands name the leader's session and its term as the fencing token.
    pub fn new(
        http_client: HttpClient,
        address: SocketAddr,
        leader_session: Arc<str>,
        fencing_token: LeaderTerm,
    ) -> Self {
        Self {
            http_client,
            address,
            leader_session,
            fencing_token,
        }
    }

    /// Reads all pages of the list of instances.
    ///
    /// # Errors
    /// `worker_refused` if the API does not respond, refuses a request or sends too many pages, `bad_message`
    /// if a response is malformed.
    pub async fn list(&self) -> Result<BTreeMap<InstanceId, InstanceEntry>> {
        let mut instances = BTreeMap::new();
        let mut path = "/machines".to_owned();
        for _ in 0..MAX_PAGES {
            let request = HttpRequest::new(self.address, Method::GET, path, REQUEST_TIMEOUT);
            let response = self
                .http_client
                .send(request)
                .await
                .map_err(|error| list_error(&error.to_string()))?;
            if response.status != StatusCode::OK {
                return Err(list_error(&format!("status {}", response.status)));
            }
            let page: WireMachinePage = response.json()?;
            for machine in page.machines {
                let (id, entry) = decode_instance(machine)?;
                instances.insert(id, entry);
            }
            match page.next_token {
                None | Some(serde_json::Value::Null) => return Ok(instances),
                Some(serde_json::Value::String(token)) => {
                    path = format!("/machines?page-token={}", escape_query(&token));
                }
                Some(token) => path = format!("/machines?page-token={token}"),
            }
        }
        Err(list_error("the list has too many pages"))
    }

    /// Moves an instance to another pool. All runs on it end at once.
    pub async fn move_instance(&self, instance: &InstanceId, pool: &PoolId) -> InstanceOutcome {
        let body = WireMove {
            machine: instance.as_str(),
            pool: pool.as_str(),
        };
        self.send_command("/machine-move", &body).await
    }

    /// Starts the maintenance of an instance for a wave. All runs on it end at once.
    pub async fn start_maintenance(&self, instance: &InstanceId, wave: WaveNumber) -> InstanceOutcome {
        let body = WireMaintenance {
            machine: instance.as_str(),
            wave,
        };
        self.send_command("/machine-upkeep", &body).await
    }

    async fn send_command(&self, path: &str, body: &impl Serialize) -> InstanceOutcome {
        let request = HttpRequest::new(self.address, Method::POST, path, REQUEST_TIMEOUT)
            .with_json(body)
            .and_then(|request| request.with_header("figloft-lease-holder", &self.leader_session))
            .and_then(|request| {
                request.with_header("figloft-fencing-token", &self.fencing_token.to_string())
            });
        let Ok(request) = request else {
            return InstanceOutcome::Refused;
        };
        match self.http_client.send(request).await {
            Ok(response) => decode_outcome(&response),
            Err(HttpError::NotSent(_)) => InstanceOutcome::Refused,
            Err(HttpError::NoResponse(_)) => InstanceOutcome::Unknown,
        }
    }
}

fn decode_instance(machine: WireMachine) -> Result<(InstanceId, InstanceEntry)> {
    let state = match machine.state.as_str() {
        "up" => InstanceState::Up,
        "moving" => InstanceState::Moving,
        "upkeep" => InstanceState::Maintenance,
        _ => InstanceState::Down,
    };
    let worker = machine
        .id
        .filter(|id| !id.is_empty())
        .map(WorkerId::new)
        .transpose()?;
    let entry = InstanceEntry {
        pool: PoolId::new(machine.pool)?,
        state,
        worker,
        // Only evacuations need the zone; a list with an odd one is still of use.
        zone: machine.zone.and_then(|zone| ZoneId::new(zone).ok()),
    };
    Ok((InstanceId::new(machine.machine)?, entry))
}

fn decode_outcome(response: &HttpResponse) -> InstanceOutcome {
    match response.status {
        StatusCode::OK => InstanceOutcome::Done,
        StatusCode::CONFLICT => match response.reason().as_str() {
            "fence" => InstanceOutcome::Fenced,
            "wave" => InstanceOutcome::NotApplicable,
            _ => InstanceOutcome::Busy,
        },
        StatusCode::BAD_REQUEST => InstanceOutcome::NotApplicable,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => InstanceOutcome::Refused,
        _ => InstanceOutcome::Unknown,
    }
}

fn list_error(detail: &str) -> Error {
    Error::new(
        ErrorKind::WorkerRefused,
        format!("cannot list the instances: {detail}"),
    )
}
