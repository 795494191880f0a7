//! Weighted fair queueing between workspaces.
//!
//! Each workspace has one line for short requests and one for long ones. Each entry gets a virtual
//! finish time when it arrives (self-clocked fair queueing), and the lowest one of a class starts
//! next. A workspace that sends many requests therefore delays its own ones, not those of others.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockTime, TimerService},
    ids::{RequestKey, WorkspaceKey},
    routing::RequestClass,
};

/// Shortest retry time given to a refused caller.
const MIN_RETRY: Duration = Duration::from_millis(100);
/// Longest retry time given to a refused caller.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// Bounds of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QueueSettings {
    /// Entries in the queue at most.
    pub capacity: usize,
    /// Share of the capacity that one workspace may use.
    pub workspace_share: f32,
}

impl Default for QueueSettings {
    fn default() -> QueueSettings {
        QueueSettings { capacity: 4_096, workspace_share: 0.5 }
    }
}

/// A request that waits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueEntry {
    /// The request.
    pub request: RequestKey,
    /// Whose request it is.
    pub workspace: WorkspaceKey,
    /// Short or long.
    pub class: RequestClass,
    /// Predicted time in ms that it occupies a slot.
    pub work_ms: f32,
    /// Share of the workspace relative to others; above zero.
    pub weight: f32,
    /// Latest useful start. Not later than the caller's deadline less the expected first token.
    pub start_by: ClockTime,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    /// The queue is full.
    QueueFull,
    /// The workspace's part of the queue is full.
    WorkspaceFull,
    /// The estimated wait exceeds the latest useful start.
    DeadlineUnreachable,
}

/// A refused request, which did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct QueueRefusal {
    /// Why.
    pub cause: RefusalCause,
    /// When a new attempt is likely to succeed.
    pub retry_after: Duration,
}

#[derive(Debug, Clone, Default)]
struct QueueLine {
    entries: VecDeque<(f64, QueueEntry)>,
    /// Virtual finish time of the last entry.
    last_tag: f64,
    /// Invariant: the sum of the entries' predicted work in ms.
    work_ms: f32,
    weight: f32,
}

#[derive(Debug, Clone, Default)]
struct ClassLines {
    /// Invariant: holds no empty line.
    lines: HashMap<WorkspaceKey, QueueLine>,
    /// Virtual finish time of the last started entry.
    virtual_time: f64,
}

/// Requests that wait for a slot.
#[derive(Debug, Clone)]
pub struct FairQueue {
    settings: QueueSettings,
    short: ClassLines,
    long: ClassLines,
    /// Invariant: holds exactly the waiting requests.
    waiting: HashMap<RequestKey, (WorkspaceKey, RequestClass)>,
    by_workspace: HashMap<WorkspaceKey, usize>,
    deadlines: TimerService<RequestKey>,
    /// Predicted work in ms that the servers complete for this entry in one ms.
    drain_rate: f32,
}

impl FairQueue {
    /// Creates an empty queue. `drain_rate` is the work in ms that the servers complete for this
    /// entry in one ms: the slots of all servers divided by the number of entries.
    pub fn new(settings: QueueSettings, drain_rate: f32) -> FairQueue {
        FairQueue {
            settings,
            short: ClassLines::default(),
            long: ClassLines::default(),
            waiting: HashMap::new(),
            by_workspace: HashMap::new(),
            deadlines: TimerService::new(),
            drain_rate: drain_rate.max(f32::MIN_POSITIVE),
        }
    }

    /// Sets the rate at which the servers complete work for this entry.
    pub fn set_drain_rate(&mut self, drain_rate: f32) {
        self.drain_rate = drain_rate.max(f32::MIN_POSITIVE);
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether a request of this class may start without queueing. Later requests must not
    /// overtake those that wait.
    pub fn may_bypass(&self, class: RequestClass) -> bool {
        self.lines(class).lines.is_empty()
    }

    /// Queues a request, or refuses it at once.
    pub fn push(&mut self, now: ClockTime, entry: QueueEntry) -> Result<(), QueueRefusal> {
        let wait = self.estimated_wait(&entry);
        let share = (self.settings.capacity as f32 * self.settings.workspace_share) as usize;
        let held = self.by_workspace.get(&entry.workspace).copied().unwrap_or(0);
        let cause = if self.waiting.len() >= self.settings.capacity {
            Some(RefusalCause::QueueFull)
        } else if held >= share.max(1) {
            Some(RefusalCause::WorkspaceFull)
        } else if now + wait > entry.start_by {
            Some(RefusalCause::DeadlineUnreachable)
        } else {
            None
        };
        if let Some(cause) = cause {
            let allowed = entry.start_by.since(now);
            let retry_after = match cause {
                RefusalCause::DeadlineUnreachable => wait.saturating_sub(allowed),
                RefusalCause::QueueFull | RefusalCause::WorkspaceFull => wait / 2,
            };
            return Err(QueueRefusal {
                cause,
                retry_after: retry_after.clamp(MIN_RETRY, MAX_RETRY),
            });
        }
        self.enqueue(entry);
        Ok(())
    }

    /// Takes the next request of a class that has a free slot.
    pub fn pop(&mut self, free: impl Fn(RequestClass) -> bool) -> Option<QueueEntry> {
        [RequestClass::Short, RequestClass::Long]
            .into_iter()
            .filter(|&class| free(class))
            .find_map(|class| self.pop_class(class))
    }

    /// Takes a request whose latest useful start has passed. The host answers it at once.
    pub fn take_expired(&mut self, now: ClockTime) -> Option<QueueEntry> {
        while let Some(request) = self.deadlines.pop_due(now) {
            // The subscription of an earlier wait of the same request is still open.
            if self.entry(request).is_some_and(|entry| entry.start_by <= now) {
                return self.cancel(request);
            }
        }
        None
    }

    /// When [`FairQueue::take_expired`] is to be called next.
    pub fn next_due(&self) -> Option<ClockTime> {
        self.deadlines.next_due()
    }

    /// Removes a waiting request, for example because its caller has gone.
    pub fn cancel(&mut self, request: RequestKey) -> Option<QueueEntry> {
        let &(workspace, class) = self.waiting.get(&request)?;
        let line = self.lines_mut(class).lines.get_mut(&workspace)?;
        let index = line.entries.iter().position(|(_, entry)| entry.request == request)?;
        let (_, entry) = line.entries.remove(index)?;
        self.left(&entry);
        Some(entry)
    }

    /// Estimated wait of a new entry: its workspace's work ahead, at the workspace's share of the
    /// drain rate.
    pub fn estimated_wait(&self, entry: &QueueEntry) -> Duration {
        let lines = self.lines(entry.class);
        let own = lines.lines.get(&entry.workspace).map_or(0.0, |line| line.work_ms);
        let others = lines.lines.iter().filter(|(owner, _)| **owner != entry.workspace);
        // Others' lines are served at most up to the work they hold.
        let ahead: f32 = others
            .map(|(_, line)| line.work_ms.min((own + entry.work_ms) * line.weight / entry.weight))
            .sum();
        Duration::from_secs_f32(((own + ahead) / self.drain_rate / 1_000.0).min(86_400.0))
    }

    fn entry(&self, request: RequestKey) -> Option<&QueueEntry> {
        let (workspace, class) = self.waiting.get(&request)?;
        let line = self.lines(*class).lines.get(workspace)?;
        line.entries.iter().map(|(_, entry)| entry).find(|entry| entry.request == request)
    }

    fn enqueue(&mut self, entry: QueueEntry) {
        let lines = self.lines_mut(entry.class);
        let virtual_time = lines.virtual_time;
        let line = lines.lines.entry(entry.workspace).or_default();
        let tag = line.last_tag.max(virtual_time) + f64::from(entry.work_ms / entry.weight);
        line.last_tag = tag;
        line.weight = entry.weight;
        line.work_ms += entry.work_ms;
        line.entries.push_back((tag, entry));
        self.waiting.insert(entry.request, (entry.workspace, entry.class));
        *self.by_workspace.entry(entry.workspace).or_default() += 1;
        self.deadlines.subscribe(entry.start_by, entry.request);
    }

    fn pop_class(&mut self, class: RequestClass) -> Option<QueueEntry> {
        let lines = self.lines_mut(class);
        let heads = lines.lines.iter().filter_map(|(&owner, line)| {
            line.entries.front().map(|&(tag, entry)| (tag, entry.request, owner))
        });
        let (tag, _, owner) =
            heads.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)))?;
        let (_, entry) = lines.lines.get_mut(&owner)?.entries.pop_front()?;
        lines.virtual_time = tag;
        self.left(&entry);
        Some(entry)
    }

    /// Updates the sums after `entry` has left its line.
    fn left(&mut self, entry: &QueueEntry) {
        let lines = self.lines_mut(entry.class);
        if let Some(line) = lines.lines.get_mut(&entry.workspace) {
            line.work_ms = (line.work_ms - entry.work_ms).max(0.0);
            if line.entries.is_empty() {
                lines.lines.remove(&entry.workspace);
            }
        }
        if lines.lines.is_empty() {
            // Keeps the tags small, so that differences between them stay exact.
            lines.virtual_time = 0.0;
        }
        self.waiting.remove(&entry.request);
        if let Some(count) = self.by_workspace.get_mut(&entry.workspace) {
            *count -= 1;
            if *count == 0 {
                self.by_workspace.remove(&entry.workspace);
            }
        }
    }

    fn lines(&self, class: RequestClass) -> &ClassLines {
        match class {
            RequestClass::Short => &self.short,
            RequestClass::Long => &self.long,
        }
    }

    fn lines_mut(&mut self, class: RequestClass) -> &mut ClassLines {
        match class {
            RequestClass::Short => &mut self.short,
            RequestClass::Long => &mut self.long,
        }
    }
}
