//! Refusals of the gate; in each case nothing was sent.

use crate::error::{Error, ErrorKind};
use crate::model::id::{ServiceId, TeamId};
use crate::policy::admission::{AdmissionRefusal, SlotWaiter};

pub(super) fn queue_refusal(refusal: AdmissionRefusal, waiter: &SlotWaiter) -> Error {
    match refusal {
        AdmissionRefusal::Full => overloaded("as many requests wait for the service as may wait"),
        AdmissionRefusal::TooLong(wait) => {
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
    let message = format!("team {team} has as much running here as its allowance permits");
    Error::new(ErrorKind::LimitReached, message)
}

pub(super) fn no_backend(service: &ServiceId) -> Error {
    let message = format!("no backend server of service {service} takes work in this zone");
    Error::new(ErrorKind::NoBackend, message)
}
