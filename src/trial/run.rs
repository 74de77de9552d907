//! Runs the trial from the start of the stand-ins to the summary.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::clock::{SharedClock, SystemClock};
use crate::error::{Error, ErrorKind, Result};
use crate::journal::fleet_state::FleetState;
use crate::journal::member::PlanPhase;
use crate::model::id::{Revision, ServiceId, TeamId, ZoneId};
use crate::operator::client::AdminClient;
use crate::operator::fleet;
use crate::operator::outcome::OperatorFailure;
use crate::process::admin::message::{
    ChangeAnswer, ChangeRequest, KeyAnswer, KeyRequest, PlanList, PlanView, RecordChange, SessionList,
};
use crate::process::daemon::Daemon;
use crate::record::document::RecordDocument;
use crate::trial::daemons::DaemonFactory;
use crate::trial::ledger::{BudgetScope, TrialLedger};
use crate::trial::observer::OutageObserver;
use crate::trial::sample::TrialUser;
use crate::trial::setup;
use crate::trial::stand_ins::TrialStandIns;
use crate::trial::summary::TrialSummary;
use crate::trial::traffic::{self, TrafficPlan, TrafficProgress, TrafficQueue, TrafficService};
use crate::trial::verdict::TrialVerdict;

/// Zones of the entry instances: six, at least one in each zone.
const ENTRY_ZONES: [&str; 6] = ["zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-d"];
/// Longest time until the daemons know each other.
const START_TIME: Duration = Duration::from_secs(30);
/// Longest time until a change is in force.
const FORCE_TIME: Duration = Duration::from_secs(10);
/// Time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// Name of the trial's operator in the audit trail.
const OPERATOR: &str = "trial";

/// What the trial does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialOptions {
    /// User whose records are used.
    pub user: TrialUser,
    /// Callers at once.
    pub callers: u64,
    /// Shortest time of traffic.
    pub traffic_time: Duration,
    /// Longest time for the plans.
    pub plan_time: Duration,
    /// Seed of the callers.
    pub seed: u64,
}

impl TrialOptions {
    /// Options of `figloftd --trial`: at least ten seconds of traffic of 96 callers.
    pub fn new(user: TrialUser) -> Self {
        Self {
            user,
            callers: 96,
            traffic_time: Duration::from_secs(10),
            plan_time: Duration::from_secs(50),
            seed: 1,
        }
    }
}

/// A running trial.
#[derive(Debug)]
pub struct Trial {
    options: TrialOptions,
    clock: SharedClock,
    stand_ins: Arc<TrialStandIns>,
    factory: DaemonFactory,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    client: AdminClient,
    /// Keys, by team.
    pub keys: BTreeMap<TeamId, Arc<str>>,
    plans: Vec<RecordDocument>,
}

impl Trial {
    /// Starts stand-ins and daemons and gives each team a key.
    ///
    /// # Errors
    /// `internal` if a part does not start; errors of the admin API.
    pub async fn start(options: TrialOptions, out: &mut (dyn Write + Send)) -> Result<Self> {
        let clock: SharedClock = Arc::new(SystemClock);
        let (records, plans) = options.user.documents_and_plans()?;
        let instances = options.user.instances()?;
        say(
            out,
            &format!(
                "starting {} stand-in instances of {}",
                instances.len(),
                options.user
            ),
        );
        let stand_ins = Arc::new(TrialStandIns::start(Arc::clone(&clock), instances).await?);
        setup::write_fleet(&stand_ins, &clock, records).await?;
        let factory = DaemonFactory::new(Arc::clone(&stand_ins));
        let mut daemons = Vec::new();
        for zone in ENTRY_ZONES {
            let zone: ZoneId = zone.parse()?;
            daemons.push(factory.start(&zone).await?);
        }
        let addresses = daemons
            .iter()
            .map(|daemon| Arc::from(daemon.admin_address().to_string()));
        let client =
            AdminClient::new(addresses.collect(), Arc::clone(factory.token())).with_operator(OPERATOR);
        let mut trial = Self {
            options,
            clock,
            stand_ins,
            factory,
            daemons,
            client,
            keys: BTreeMap::new(),
            plans,
        };
        trial.await_daemons().await?;
        say(
            out,
            &format!(
                "{} entry instances in {} zones know each other",
                trial.daemons.len(),
                4
            ),
        );
        trial.give_keys().await?;
        trial.await_allowances().await?;
        say(
            out,
            &format!("{} teams have keys and allowances", trial.keys.len()),
        );
        Ok(trial)
    }

    /// The operator token.
    pub fn token(&self) -> &Arc<str> {
        self.factory.token()
    }

    /// Sends traffic while the plans are carried out, and draws the verdict.
    ///
    /// # Errors
    /// Errors of the admin API.
    pub async fn run(&self, out: &mut (dyn Write + Send)) -> Result<TrialSummary> {
        let (stop, stopped) = watch::channel(false);
        let observer = OutageObserver::new(Arc::clone(&self.stand_ins), Arc::clone(&self.clock));
        let observer = tokio::spawn(observer.watch(stopped.clone()));
        let progress = Arc::new(TrafficProgress::default());
        let calls = tokio::spawn(traffic::run(self.traffic(), Arc::clone(&progress), stopped));
        let begin = Instant::now();
        self.submit_plans().await?;
        let plan_ms = self.await_plans(begin, &progress, out).await?;
        stop.send_replace(true);
        let (calls, outages) = (join(calls).await?, join(observer).await?);
        let ledger = TrialLedger {
            calls,
            runs: self.stand_ins.runs(),
            outages,
            budgets: self.budgets(),
            limits: self
                .state()
                .records
                .teams
                .values()
                .map(|team| (team.id.clone(), team.limit))
                .collect(),
        };
        Ok(TrialSummary {
            verdict: TrialVerdict::new(&ledger),
            plans: self.plan_views().await?,
            plan_ms,
        })
    }

    /// Stops the daemons.
    ///
    /// # Errors
    /// Errors of a daemon's end.
    pub async fn stop(self) -> Result<()> {
        for daemon in self.daemons {
            daemon.stop().await?;
        }
        Ok(())
    }

    fn state(&self) -> Arc<FleetState> {
        let states = self
            .daemons
            .iter()
            .map(|daemon| daemon.control().accepted().current());
        states.max_by_key(|state| state.revision).unwrap_or_default()
    }

    async fn await_daemons(&self) -> Result<()> {
        wait_until("the daemons to know each other", START_TIME, || {
            let count = self.daemons.len();
            let is_ready = |daemon: &Daemon| {
                let counted = daemon
                    .control()
                    .read_view(|guard, _| (guard.is_introduced(), guard.active_sessions().len()));
                daemon.control().is_ready()
                    && counted.0
                    && counted.1 + 1 >= count
                    && daemon.context().is_ready()
            };
            self.daemons.iter().all(is_ready) && self.holder().is_some()
        })
        .await
    }

    fn holder(&self) -> Option<&Daemon> {
        self.daemons
            .iter()
            .find(|daemon| daemon.control().is_coordinator())
    }

    async fn give_keys(&mut self) -> Result<()> {
        let teams: Vec<TeamId> = self.state().records.teams.keys().cloned().collect();
        let mut revision = Revision::default();
        for team in teams {
            let request = KeyRequest {
                team: team.clone(),
                id: Some(format!("{team}-trial").parse()?),
                offline_grant_ms: 0,
            };
            let answer: KeyAnswer = self.client.post("/v1/keys", &request).await.map_err(to_error)?;
            revision = answer.revision;
            self.keys.insert(team, answer.key);
        }
        self.await_force(revision).await
    }

    /// Waits until the coordinator has granted allowances for each team.
    async fn await_allowances(&self) -> Result<()> {
        wait_until("allowances", START_TIME, || {
            let state = self.state();
            state
                .records
                .teams
                .keys()
                .all(|team| state.allowance_sum(team) > 0)
        })
        .await
    }

    async fn await_force(&self, revision: Revision) -> Result<()> {
        let deadline = Instant::now() + FORCE_TIME;
        loop {
            let target = format!("/v1/sessions?revision={revision}");
            let list: SessionList = self.client.get(&target).await.map_err(to_error)?;
            if list.behind().is_empty() {
                return Ok(());
            }
            if Instant::now() > deadline {
                let message = format!(
                    "revision {revision} is not in force on {} sessions",
                    list.behind().len()
                );
                return Err(Error::new(ErrorKind::Internal, message));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn submit_plans(&self) -> Result<()> {
        let puts = self.plans.iter().cloned().map(|document| RecordChange::Put {
            document,
            expected: None,
        });
        let changes = puts.collect();
        let request = ChangeRequest {
            changes,
            dry_run: false,
        };
        let answer: ChangeAnswer = self
            .client
            .post("/v1/changes", &request)
            .await
            .map_err(to_error)?;
        self.await_force(answer.revision).await
    }

    async fn plan_views(&self) -> Result<Vec<PlanView>> {
        let list: PlanList = self.client.get("/v1/plans").await.map_err(to_error)?;
        Ok(list.plans)
    }

    /// Waits until the plans are complete and the shortest time of traffic has passed.
    async fn await_plans(
        &self,
        begin: Instant,
        progress: &TrafficProgress,
        out: &mut (dyn Write + Send),
    ) -> Result<Option<u64>> {
        let mut ended_ms = None;
        let mut next_line = begin + PROGRESS_INTERVAL;
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let state = self.state();
            let elapsed = begin.elapsed();
            let is_complete = state.plans.values().all(|plan| plan.phase == PlanPhase::Complete);
            if is_complete && ended_ms.is_none() {
                ended_ms = Some(elapsed.as_millis() as u64);
            }
            if Instant::now() >= next_line {
                next_line += PROGRESS_INTERVAL;
                self.say_progress(elapsed, progress, out).await?;
            }
            let is_done = ended_ms.is_some() && elapsed >= self.options.traffic_time;
            if is_done || elapsed >= self.options.plan_time {
                return Ok(ended_ms);
            }
        }
    }

    async fn say_progress(
        &self,
        elapsed: Duration,
        progress: &TrafficProgress,
        out: &mut (dyn Write + Send),
    ) -> Result<()> {
        let ended = progress.ended.load(Ordering::Relaxed);
        let answered = progress.answered.load(Ordering::Relaxed);
        let plans: Vec<String> = self.plan_views().await?.iter().map(fleet::plan_head).collect();
        let line = format!(
            "{:>3} s  {answered} of {ended} calls answered; {}",
            elapsed.as_secs(),
            plans.join("; ")
        );
        say(out, &line);
        Ok(())
    }

    fn traffic(&self) -> TrafficPlan {
        let state = self.state();
        let services = state.records.services.values().map(|service| TrafficService {
            id: Arc::from(service.id.as_str()),
            is_idempotent: service.idempotent,
        });
        let crowd = state.records.teams.values().min_by_key(|team| team.limit);
        TrafficPlan {
            entries: self.daemons.iter().map(Daemon::caller_address).collect(),
            keys: self.keys.values().cloned().collect(),
            crowd_key: crowd.and_then(|team| self.keys.get(&team.id).cloned()),
            services: services.collect(),
            queues: self.queues(&state),
            callers: self.options.callers,
            seed: self.options.seed,
        }
    }

    /// Queues of the traffic, with the keys that each accepts.
    fn queues(&self, state: &FleetState) -> Vec<TrafficQueue> {
        let queues = state.records.queues.values().map(|queue| {
            let may_use = |team: &TeamId| queue.teams.is_empty() || queue.teams.contains(team);
            let keys = self.keys.iter().filter(|(team, _)| !queue.open && may_use(team));
            TrafficQueue {
                id: Arc::from(queue.id.as_str()),
                keys: keys.map(|(_, key)| Arc::clone(key)).collect(),
            }
        });
        queues.collect()
    }

    fn budgets(&self) -> Vec<BudgetScope> {
        let state = self.state();
        let budgets = state.records.services.values().map(|service| {
            let instances = self.stand_ins.instances_of(&service.pool);
            BudgetScope {
                service: service.id.clone(),
                max_unavailable: service.budget.max_unavailable(instances.len() as u32),
                instances,
            }
        });
        budgets.collect()
    }

    /// A service of the sample records.
    pub fn service(&self) -> Option<ServiceId> {
        self.state().records.services.keys().next().cloned()
    }
}

async fn wait_until(what: &str, limit: Duration, condition: impl Fn() -> bool) -> Result<()> {
    let begin = Instant::now();
    while !condition() {
        if begin.elapsed() > limit {
            let message = format!("waited {} s for {what}", limit.as_secs());
            return Err(Error::new(ErrorKind::Internal, message));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

async fn join<T>(task: tokio::task::JoinHandle<T>) -> Result<T> {
    task.await
        .map_err(|e| Error::new(ErrorKind::Internal, e.to_string()))
}

fn to_error(failure: OperatorFailure) -> Error {
    failure.error
}

fn say(out: &mut (dyn Write + Send), line: &str) {
    // A closed output must not end the trial.
    let _ = writeln!(out, "{line}");
}
