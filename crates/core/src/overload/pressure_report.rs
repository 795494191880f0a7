//! What nodes tell each other of the pressure of a service.

use std::{collections::HashMap, time::Duration};

use super::ServicePressure;
use crate::clock::ClockTime;

/// A report older than this is forgotten.
const REPORT_LIFETIME: Duration = Duration::from_millis(2_500);
/// Number of nodes that report on a service: enough for a mean that few wrong reports don't move, and
/// about 1 KB a second at each node, whatever the number of nodes.
const MAX_REPORTERS: u32 = 8;
/// Nodes may disagree for a while on who reports; further reports are ignored.
const MAX_REPORTS: usize = 24;
/// Fewer reports than this decide nothing.
const MIN_REPORTS: usize = 2;
/// Time between two reports while the pressure stays the same, and while it changes.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
const CHANGED_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// A smaller change is not told early.
const MIN_CHANGE: f64 = 0.1;
/// Maximum number of ranks in a report.
pub(super) const MAX_RANKS: usize = 4;
/// Weight of the pressure that a node sees itself, beside the mean of all: reports lag by up to a
/// second behind a burst.
const OWN_WEIGHT: f64 = 0.25;

/// Work of one rank, as a node sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct RankReport {
    /// The rank as a number.
    #[n(0)]
    pub rank: u16,
    /// Its share of the work that clients ask for, in thousandths.
    #[n(1)]
    pub work: u16,
    /// Share of its requests that were refused, in thousandths.
    #[n(2)]
    pub refused: u16,
}

/// What a node sees of the pressure of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct PressureReport {
    /// Name of the service.
    #[n(0)]
    pub service: String,
    /// Incarnation of the sending node.
    #[n(1)]
    pub sender: u64,
    /// The pressure in thousandths.
    #[n(2)]
    pub pressure: u16,
    /// The ranks with the most work.
    #[n(3)]
    pub ranks: Vec<RankReport>,
}

/// Whether the node at a place in the rendezvous order of a service reports on it.
pub fn is_reporter(place: u32) -> bool {
    place < MAX_REPORTERS
}

/// Pressure of one service, as this node and others see it.
#[derive(Debug, Clone, Default)]
pub struct FleetPressure {
    /// What this node sees.
    pub own: ServicePressure,
    reports: HashMap<u64, (PressureReport, ClockTime)>,
    told: f64,
    told_at: ClockTime,
}

impl FleetPressure {
    /// Records the report of another node.
    pub fn on_report(&mut self, now: ClockTime, report: PressureReport) {
        self.expire(now);
        if self.reports.len() < MAX_REPORTS || self.reports.contains_key(&report.sender) {
            self.reports.insert(report.sender, (report, now));
        }
    }

    /// Forgets reports that are too old.
    pub fn expire(&mut self, now: ClockTime) {
        self.reports.retain(|_, (_, at)| now.since(*at) < REPORT_LIFETIME);
    }

    /// Returns the pressure by which this node decides, from 0 to 1. The quarters of the highest and
    /// the lowest values do not count, so that wrong reports of a few nodes have no effect.
    pub fn pressure(&self, now: ClockTime) -> f64 {
        let own = self.own.pressure(now);
        let reports = self.reports.values().filter(|(_, at)| now.since(*at) < REPORT_LIFETIME);
        let mut told: Vec<f64> =
            reports.map(|(report, _)| f64::from(report.pressure.min(1_000)) / 1_000.0).collect();
        if told.len() < MIN_REPORTS {
            return own;
        }
        told.push(own);
        told.sort_unstable_by(f64::total_cmp);
        let cut = told.len() / 4;
        let middle = &told[cut..told.len() - cut];
        let mean = middle.iter().sum::<f64>() / middle.len() as f64;
        own * OWN_WEIGHT + mean * (1.0 - OWN_WEIGHT)
    }

    /// Returns the ranks of the reports and, in thousandths, their mean shares of work and refusals.
    pub fn told_ranks(&self, now: ClockTime) -> Vec<RankReport> {
        let reports = self.reports.values().filter(|(_, at)| now.since(*at) < REPORT_LIFETIME);
        let mut sums: HashMap<u16, (u32, u32, u32)> = HashMap::new();
        let mut count = 0;
        for (report, _) in reports {
            count += 1;
            for told in report.ranks.iter().take(MAX_RANKS) {
                let (work, refused, reporters) = sums.entry(told.rank).or_default();
                *work += u32::from(told.work.min(1_000));
                *refused += u32::from(told.refused.min(1_000));
                *reporters += 1;
            }
        }
        if count < MIN_REPORTS as u32 {
            return Vec::new();
        }
        let mean = |(rank, (work, refused, reporters)): (u16, (u32, u32, u32))| RankReport {
            rank,
            work: (work / count) as u16,
            refused: (refused / reporters) as u16,
        };
        let mut ranks: Vec<RankReport> = sums.into_iter().map(mean).collect();
        ranks.sort_unstable_by_key(|told| told.rank);
        ranks
    }

    /// Returns the pressure to report, in thousandths, if a report is due. Without pressure there is
    /// none but the one that says so.
    pub fn take_report(&mut self, now: ClockTime) -> Option<u16> {
        let pressure = self.own.pressure(now);
        let waited = now.since(self.told_at);
        let changed =
            (pressure - self.told).abs() >= MIN_CHANGE || (pressure == 0.0) != (self.told == 0.0);
        let is_due = pressure > 0.0 && waited >= REPORT_INTERVAL
            || changed && waited >= CHANGED_REPORT_INTERVAL;
        if !is_due {
            return None;
        }
        (self.told, self.told_at) = (pressure, now);
        Some((pressure * 1_000.0) as u16)
    }
}
