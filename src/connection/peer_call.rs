//! Requests between peers and their replies.

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

/// A request to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerRequest {
    /// A session introduces itself.
    Introduce {
        /// Its record.
        record: SessionRecord,
    },
    /// Asks which revision the peer has folded.
    InForce {
        /// The revision in question.
        revision: Revision,
    },
    /// Asks what the peer has running for each team.
    AllowanceUse,
    /// Asks for the session's report to the holder of the coordinator duty.
    Report,
    /// Views or cancels a job that the session holds.
    Job {
        /// What is asked.
        verb: RemoteAction,
        /// The job.
        job: JobId,
    },
    /// Claims a ticket, reports the end of its work or hands a ticket table over.
    Ticket(TicketCall),
    /// Hands over a part of the queued jobs of a session that shuts down.
    TakeJobs {
        /// The session that hands over.
        from: SessionId,
        /// The part, encoded by the job queue.
        jobs: Bytes,
    },
}

/// The reply of a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerReply {
    /// The request was carried out.
    Done,
    /// The session is acknowledged: it counts at the peer from now on.
    Acknowledged {
        /// Revision that the peer has folded.
        revision: Revision,
    },
    /// The revision that the peer has folded.
    Folded {
        /// The revision.
        revision: Revision,
    },
    /// What the peer has running.
    AllowanceUse {
        /// Revision that the peer has folded.
        revision: Revision,
        /// Running requests and tasks by team.
        running: BTreeMap<TeamId, SlotCount>,
    },
    /// The session's report.
    Report(SessionReport),
    /// A job as the session that holds it sees it.
    Job(JobView),
    /// Answer to a ticket call.
    Ticket(TicketReply),
    /// The peer refused.
    Refused(ErrorBody),
}

impl PeerReply {
    /// The reply, or the error that it carries.
    ///
    /// # Errors
    /// The error of a refusal.
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
