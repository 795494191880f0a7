//! Keeps the latest requests with their routing decisions, so that operators can see why a request
//! went where it went.

use std::collections::{HashMap, VecDeque};

use carobvane_proto::admin::{AttemptReport, DecisionReport};

/// Most requests that are kept; the oldest is dropped for a new one.
const MAX_REQUESTS: usize = 4_096;
/// Most attempts that are kept of one request, hedges included.
const MAX_ATTEMPTS: usize = 8;

/// The latest requests of an entry, by request id.
#[derive(Default)]
pub struct DecisionLog {
    reports: HashMap<String, DecisionReport>,
    /// Invariant: holds each key of `reports` once, oldest first.
    order: VecDeque<String>,
}

impl DecisionLog {
    /// Adds a request that starts. If its id was used before, the new request replaces the old one.
    pub fn begin_request(&mut self, report: DecisionReport) {
        let id = report.request_id.clone();
        if self.reports.insert(id.clone(), report).is_some() {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > MAX_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.reports.remove(&oldest);
        }
    }

    /// Adds an attempt to a request.
    pub fn add_attempt(&mut self, request: &str, attempt: AttemptReport) {
        if let Some(report) = self.reports.get_mut(request)
            && report.attempts.len() < MAX_ATTEMPTS
        {
            report.attempts.push(attempt);
        }
    }

    /// Sets how an attempt ended.
    pub fn end_attempt(&mut self, request: &str, attempt: &str, end: String) {
        let Some(report) = self.reports.get_mut(request) else { return };
        let found = report.attempts.iter_mut().find(|report| report.attempt == attempt);
        if let Some(found) = found {
            found.end = Some(end);
        }
    }

    /// Sets the outcome of a request, and the error code if it failed.
    pub fn end_request(&mut self, request: &str, outcome: &str, code: Option<&str>) {
        if let Some(report) = self.reports.get_mut(request) {
            report.outcome = outcome.to_string();
            report.code = code.map(str::to_string);
        }
    }

    /// Returns the report of a request, or `None` if it is unknown or was dropped.
    pub fn get(&self, request: &str) -> Option<&DecisionReport> {
        self.reports.get(request)
    }
}
