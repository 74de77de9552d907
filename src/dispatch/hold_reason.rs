//! Reasons for which a task waits, for the log and the metrics.

/// Why a task that waits is not started, or why a worker does not take it.
///
/// Reasons of workers are declared from the farthest to the nearest to a start: of several workers, the last one
/// in this order decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldReason {
    /// Too many steps wait to find the reason for each.
    NotExamined,
    /// A run of the task under the previous leader may still be active.
    Takeover,
    /// The store has not confirmed for some time which zones are under evacuation.
    UnknownZones,
    /// The task, or its gang as a whole, needs more than the whole limit of the organisation.
    ExceedsLimit,
    /// The organisation is at its limit on this pool.
    OrganisationLimit,
    /// Start commands use up their part of the instance's link.
    LinkBudget,
    /// The task may crash workers and waits for one without other jobs.
    Suspicion,
    /// No worker has the label, the free resources or, by the step's spread, the place for the task.
    NoRoom,
    /// The worker has not listed its runs yet.
    Unreported,
    /// The worker does not answer.
    Unreachable,
    /// The worker is about to leave.
    Draining,
    /// The plan evacuates the worker, or its zone is under evacuation.
    Evacuating,
    /// The advice service has not admitted the worker.
    Advice,
    /// The worker has a run of unknown size and would not refuse what does not fit.
    UnknownRun,
    /// The worker has just refused a start for lack of resources.
    Full,
    /// The worker has not answered its latest starts yet.
    PendingStarts,
    /// The worker has been isolated for another job.
    Isolated,
    /// The worker gets no run for some time after failures or unanswered commands.
    Backoff,
    /// The worker has a trial run, the first since its backoff, that has not succeeded yet.
    Probation,
    /// A worker can take the task: the start is due in one of the next passes.
    StartDue,
}

impl HoldReason {
    /// All reasons.
    pub const ALL: [Self; 20] = [
        Self::NotExamined,
        Self::Takeover,
        Self::UnknownZones,
        Self::ExceedsLimit,
        Self::OrganisationLimit,
        Self::LinkBudget,
        Self::Suspicion,
        Self::NoRoom,
        Self::Unreported,
        Self::Unreachable,
        Self::Draining,
        Self::Evacuating,
        Self::Advice,
        Self::UnknownRun,
        Self::Full,
        Self::PendingStarts,
        Self::Isolated,
        Self::Backoff,
        Self::Probation,
        Self::StartDue,
    ];

    /// Name in the log and in metric labels.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotExamined => "not_examined",
            Self::Takeover => "takeover",
            Self::UnknownZones => "unknown_zones",
            Self::ExceedsLimit => "exceeds_limit",
            Self::OrganisationLimit => "organisation_limit",
            Self::LinkBudget => "link_budget",
            Self::Suspicion => "suspicion",
            Self::NoRoom => "no_room",
            Self::Unreported => "unreported",
            Self::Unreachable => "unreachable",
            Self::Draining => "draining",
            Self::Evacuating => "evacuating",
            Self::Advice => "advice",
            Self::UnknownRun => "unknown_run",
            Self::Full => "full",
            Self::PendingStarts => "pending_starts",
            Self::Isolated => "isolated",
            Self::Backoff => "backoff",
            Self::Probation => "probation",
            Self::StartDue => "start_due",
        }
    }
}
