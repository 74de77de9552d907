//! Requests from one daemon to another, and the replies.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorBody, Result};
use crate::model::amount::SlotCount;
use crate::model::id::{JobId, Revision, SessionId, TeamId};
use crate::policy::coordinator_plan::SessionReport;
use crate::process::job_task::JobView;
use crate::request::job_api::RemoteAction;
use crate::request::ticket_registry::{TicketCall, TicketReply};
use crate::version::session_registry::SessionRecord;

/// A request to a peer. The variant and field names are part of the wire format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerRequest {
    /// Introduces the sender on a link that it has opened. The peer answers with [`PeerReply::Acknowledged`],
    /// or refuses if it regards the session as ended.
    Introduce {
        /// The sender's record in the session registry.
        record: SessionRecord,
    },
    /// Asks which revision of the fleet state the peer has folded; answered with [`PeerReply::Folded`].
    InForce {
        /// Revision that the sender is interested in. The reply does not depend on it.
        revision: Revision,
    },
    /// Asks how many requests and tasks of each team the peer runs.
    AllowanceUse,
    /// Asks for the peer's report to the coordinator.
    Report,
    /// Views or cancels a job that the peer manages.
    Job {
        /// Whether to view or to cancel the job.
        verb: RemoteAction,
        /// Identifies the job.
        job: JobId,
    },
    /// Claims a ticket, reports how its work ended, or hands a ticket table over.
    Ticket(TicketCall),
    /// Hands over a part of the queued jobs of a session that shuts down. No handler for it exists, so that a
    /// peer refuses it with `bad_request`.
    TakeJobs {
        /// The session that shuts down.
        from: SessionId,
        /// The jobs in an encoding of the sender's job queue.
        jobs: Bytes,
    },
}

/// The reply of a peer. The variant and field names are part of the wire format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerReply {
    /// The request was carried out and has no result.
    Done,
    /// The peer has registered the session and treats it as active from now on.
    Acknowledged {
        /// Newest revision that the peer has folded.
        revision: Revision,
    },
    /// Answers [`PeerRequest::InForce`].
    Folded {
        /// Newest revision that the peer has folded.
        revision: Revision,
    },
    /// Running work of the peer, counted after its admission control had applied the revision.
    AllowanceUse {
        /// Revision that admission control applies: no work above its allowances starts any more.
        revision: Revision,
        /// Number of running requests and tasks by team; teams without any may be absent.
        running: BTreeMap<TeamId, SlotCount>,
    },
    /// The peer's report to the coordinator.
    Report(SessionReport),
    /// State of a job, from the session that manages it.
    Job(JobView),
    /// Result of a [`TicketCall`].
    Ticket(TicketReply),
    /// The peer refused the request or failed to carry it out.
    Refused(ErrorBody),
}

impl PeerReply {
    /// Turns a refusal into an error and returns any other reply.
    ///
    /// # Errors
    /// The error that [`PeerReply::Refused`] carries.
    pub fn into_result(self) -> Result<Self> {
        match self {
            Self::Refused(body) => Err(Error::new(body.error, body.message)),
            reply => Ok(reply),
        }
    }
}

impl From<Result<Self>> for PeerReply {
    fn from(result: Result<Self>) -> Self {
        result.unwrap_or_else(|error| Self::Refused(error.body()))
    }
}
