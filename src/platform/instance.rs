//! The machine API: the list of instances, moves and upkeep.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::dispatch::fleet_planner::WaveNumber;
use crate::dispatch::wave_plan::{InstanceEntry, InstanceOutcome, InstanceState};
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{InstanceId, LeaderTerm, PoolId, WorkerId};
use crate::platform::http::{HttpClient, HttpError, HttpRequest, HttpResponse};

/// Time for an answer.
const INSTANCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Most pages of a list; a page holds a few hundred instances.
const MAX_PAGES: usize = 500;

/// Client of the machine API, with the identity of one holder.
#[derive(Debug, Clone)]
pub struct InstanceApiClient {
    caller: HttpClient,
    address: SocketAddr,
    holder: Arc<str>,
    token: LeaderTerm,
}

#[derive(Debug, Deserialize)]
struct WireMachine {
    machine: Arc<str>,
    pool: Arc<str>,
    state: String,
    #[serde(default)]
    id: Option<Arc<str>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireMachines {
    machines: Vec<WireMachine>,
    #[serde(default)]
    next_token: Option<serde_json::Value>,
}

#[derive(Debug, Serialize)]
struct WireMove<'a> {
    machine: &'a str,
    pool: &'a str,
}

#[derive(Debug, Serialize)]
struct WireUpkeep<'a> {
    machine: &'a str,
    wave: WaveNumber,
}

impl InstanceApiClient {
    /// Creates a client that gives orders as a holder under a term.
    pub fn new(caller: HttpClient, address: SocketAddr, holder: Arc<str>, token: LeaderTerm) -> Self {
        Self {
            caller,
            address,
            holder,
            token,
        }
    }

    /// Reads the list of instances.
    ///
    /// # Errors
    /// `worker_refused` if the API does not answer or refuses, `bad_message` if an answer is malformed.
    pub async fn list(&self) -> Result<BTreeMap<InstanceId, InstanceEntry>> {
        let mut instances = BTreeMap::new();
        let mut path = "/machines".to_owned();
        for _ in 0..MAX_PAGES {
            let call = HttpRequest::new(self.address, Method::GET, path, INSTANCE_TIMEOUT);
            let answer = self
                .caller
                .call(call)
                .await
                .map_err(|fault| list_fault(&fault.to_string()))?;
            if answer.status != StatusCode::OK {
                return Err(list_fault(&format!("status {}", answer.status)));
            }
            let page: WireMachines = answer.json()?;
            for machine in page.machines {
                let (id, entry) = decode_machine(machine)?;
                instances.insert(id, entry);
            }
            match page.next_token {
                None | Some(serde_json::Value::Null) => return Ok(instances),
                Some(serde_json::Value::String(token)) => path = format!("/machines?page-token={token}"),
                Some(token) => path = format!("/machines?page-token={token}"),
            }
        }
        Err(list_fault("the list has no end"))
    }

    /// Moves an instance to another pool. Everything on it ends at once.
    pub async fn move_instance(&self, instance: &InstanceId, pool: &PoolId) -> InstanceOutcome {
        let body = WireMove {
            machine: instance.as_str(),
            pool: pool.as_str(),
        };
        self.order("/machine-move", &body).await
    }

    /// Starts the upkeep of an instance. Everything on it ends at once.
    pub async fn start_upkeep(&self, instance: &InstanceId, wave: WaveNumber) -> InstanceOutcome {
        let body = WireUpkeep {
            machine: instance.as_str(),
            wave,
        };
        self.order("/machine-upkeep", &body).await
    }

    async fn order(&self, path: &str, body: &impl Serialize) -> InstanceOutcome {
        let call = HttpRequest::new(self.address, Method::POST, path, INSTANCE_TIMEOUT)
            .with_json(body)
            .and_then(|call| call.with_header("figloft-lease-holder", &self.holder))
            .and_then(|call| call.with_header("figloft-fencing-token", &self.token.to_string()));
        let Ok(call) = call else {
            return InstanceOutcome::Refused;
        };
        match self.caller.call(call).await {
            Ok(answer) => decode_outcome(&answer),
            Err(HttpError::NotSent(_)) => InstanceOutcome::Refused,
            Err(HttpError::NoResponse(_)) => InstanceOutcome::Unknown,
        }
    }
}

fn decode_machine(machine: WireMachine) -> Result<(InstanceId, InstanceEntry)> {
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
    };
    Ok((InstanceId::new(machine.machine)?, entry))
}

fn decode_outcome(answer: &HttpResponse) -> InstanceOutcome {
    match answer.status {
        StatusCode::OK => InstanceOutcome::Done,
        StatusCode::CONFLICT => match answer.reason().as_str() {
            "fence" => InstanceOutcome::Fenced,
            "wave" => InstanceOutcome::NotApplicable,
            _ => InstanceOutcome::Busy,
        },
        StatusCode::BAD_REQUEST => InstanceOutcome::NotApplicable,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => InstanceOutcome::Refused,
        _ => InstanceOutcome::Unknown,
    }
}

fn list_fault(detail: &str) -> Error {
    Error::new(ErrorKind::WorkerRefused, format!("list of instances: {detail}"))
}
