//! Errors of the admission control. In each case nothing was sent to a backend server.

use crate::error::{Error, ErrorKind};
use crate::model::id::{ServiceId, TeamId};
use crate::policy::admission_queue::{AdmissionRefusal, SlotWaiter};

pub(super) fn queue_refusal(refusal: AdmissionRefusal, waiter: &SlotWaiter) -> Error {
    match refusal {
        AdmissionRefusal::QueueFull => overloaded("the waiting queue of the service is full"),
        AdmissionRefusal::WaitTooLong(wait) => {
            let message = "the expected wait for a slot is longer than the request's share of waiting";
            overloaded(message).with_retry_after(wait)
        }
        AdmissionRefusal::NoAllowance => limit_reached(&waiter.team),
    }
}

pub(super) fn overloaded(message: &str) -> Error {
    Error::new(ErrorKind::Overloaded, message)
}

pub(super) fn limit_reached(team: &TeamId) -> Error {
    let message = format!("team {team} has reached its allowance of running work on this entry instance");
    Error::new(ErrorKind::LimitReached, message)
}

pub(super) fn no_backend(service: &ServiceId) -> Error {
    let message = format!("no backend server of service {service} accepts work in this zone");
    Error::new(ErrorKind::NoBackend, message)
}
