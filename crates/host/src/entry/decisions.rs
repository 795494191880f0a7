//! The latest requests with their decisions, for operators who ask why.

use std::collections::{HashMap, VecDeque};

use carobvane_proto::admin::{AttemptReport, DecisionReport};

/// Requests that are remembered; the oldest is forgotten for a new one.
const MAX_REQUESTS: usize = 4_096;
/// Attempts that are remembered of one request, hedges included.
const MAX_ATTEMPTS: usize = 8;

/// The latest requests of an entry.
#[derive(Default)]
pub struct DecisionLog {
    reports: HashMap<String, DecisionReport>,
    /// Invariant: holds each key of `reports` once, oldest first.
    order: VecDeque<String>,
}

impl DecisionLog {
    /// Remembers a request that starts. An id that is used again replaces the earlier request.
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

    /// Remembers an attempt of a request.
    pub fn add_attempt(&mut self, request: &str, attempt: AttemptReport) {
        if let Some(report) = self.reports.get_mut(request)
            && report.attempts.len() < MAX_ATTEMPTS
        {
            report.attempts.push(attempt);
        }
    }

    /// Remembers how an attempt ended.
    pub fn end_attempt(&mut self, request: &str, attempt: &str, end: String) {
        let Some(report) = self.reports.get_mut(request) else { return };
        let found = report.attempts.iter_mut().find(|report| report.attempt == attempt);
        if let Some(found) = found {
            found.end = Some(end);
        }
    }

    /// Remembers what became of a request.
    pub fn end_request(&mut self, request: &str, outcome: &str, code: Option<&str>) {
        if let Some(report) = self.reports.get_mut(request) {
            report.outcome = outcome.to_string();
            report.code = code.map(str::to_string);
        }
    }

    /// What is known of a request.
    pub fn get(&self, request: &str) -> Option<&DecisionReport> {
        self.reports.get(request)
    }
}
