//! Decides whether a request is sent to the server chosen for it, waits at the node for a short time,
//! or is refused with a retry delay.
//!
//! Load pattern: more work than the servers of a service finish, for seconds at a time, because of a
//! burst of long or of short prompts, one workspace at several times its usual load, or servers that
//! went silent. Without overload every request may wait for up to the same share of its target
//! latency. Under pressure, that share shrinks with the rank of the request, so that queues stay
//! short enough for the urgent ones.

mod admission_gate;
mod admission_request;
mod fair_shares;
mod pressure_report;
mod rank_demand;
mod request_rank;
mod return_schedule;
mod service_pressure;
mod usual_deadlines;
mod wait_queue;

pub use self::{
    admission_gate::AdmissionGate,
    admission_request::{AdmissionDecision, AdmissionRequest, AdmissionVerdict},
    fair_shares::{FairShares, RequestGroups},
    pressure_report::{FleetPressure, PressureReport, RankReport, is_reporter},
    request_rank::RequestRank,
    return_schedule::{ReturnSchedule, ReturnWindow},
    service_pressure::ServicePressure,
    usual_deadlines::UsualDeadlines,
    wait_queue::{WaitQueue, WaitTicket},
};
