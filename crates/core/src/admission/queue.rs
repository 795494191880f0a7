//! Weighted fair queueing between workspaces.
//!
//! Each workspace has one queue for short requests and one for long ones. Each entry gets a virtual
//! finish time when it arrives (self-clocked fair queueing), and the lowest one of a class starts
//! next. A workspace that sends many requests therefore delays its own ones, not those of others.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    clock::{ClockTime, TimerQueue},
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
struct WorkspaceQueue {
    entries: VecDeque<(f64, QueueEntry)>,
    /// Virtual finish time of the last entry.
    last_finish: f64,
    /// Invariant: the sum of the entries' predicted work in ms.
    work_ms: f32,
    weight: f32,
}

#[derive(Debug, Clone, Default)]
struct ClassQueues {
    /// Invariant: holds no empty queue.
    by_workspace: HashMap<WorkspaceKey, WorkspaceQueue>,
    /// Virtual finish time of the last started entry.
    virtual_time: f64,
}

/// Requests that wait for a slot.
#[derive(Debug, Clone)]
pub struct FairQueue {
    settings: QueueSettings,
    short: ClassQueues,
    long: ClassQueues,
    /// Invariant: holds exactly the waiting requests.
    waiting: HashMap<RequestKey, (WorkspaceKey, RequestClass)>,
    workspace_counts: HashMap<WorkspaceKey, usize>,
    deadlines: TimerQueue<RequestKey>,
    /// Predicted work in ms that the servers complete for this entry in one ms.
    drain_rate: f32,
}

impl FairQueue {
    /// Creates an empty queue. `drain_rate` is the work in ms that the servers complete for this
    /// entry in one ms: the slots of all servers divided by the number of entries.
    pub fn new(settings: QueueSettings, drain_rate: f32) -> FairQueue {
        FairQueue {
            settings,
            short: ClassQueues::default(),
            long: ClassQueues::default(),
            waiting: HashMap::new(),
            workspace_counts: HashMap::new(),
            deadlines: TimerQueue::new(),
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
        self.queues(class).by_workspace.is_empty()
    }

    /// Queues a request, or refuses it at once.
    pub fn push(&mut self, now: ClockTime, entry: QueueEntry) -> Result<(), QueueRefusal> {
        let wait = self.estimated_wait(&entry);
        let share = (self.settings.capacity as f32 * self.settings.workspace_share) as usize;
        let held = self.workspace_counts.get(&entry.workspace).copied().unwrap_or(0);
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
        let queue = self.queues_mut(class).by_workspace.get_mut(&workspace)?;
        let index = queue.entries.iter().position(|(_, entry)| entry.request == request)?;
        let (_, entry) = queue.entries.remove(index)?;
        self.account_removal(&entry);
        Some(entry)
    }

    /// Estimated wait of a new entry: its workspace's work ahead, at the workspace's share of the
    /// drain rate.
    pub fn estimated_wait(&self, entry: &QueueEntry) -> Duration {
        let queues = self.queues(entry.class);
        let own = queues.by_workspace.get(&entry.workspace).map_or(0.0, |queue| queue.work_ms);
        let others = queues.by_workspace.iter().filter(|(owner, _)| **owner != entry.workspace);
        // Others' lines are served at most up to the work they hold.
        let ahead: f32 = others
            .map(|(_, queue)| {
                queue.work_ms.min((own + entry.work_ms) * queue.weight / entry.weight)
            })
            .sum();
        Duration::from_secs_f32(((own + ahead) / self.drain_rate / 1_000.0).min(86_400.0))
    }

    fn entry(&self, request: RequestKey) -> Option<&QueueEntry> {
        let (workspace, class) = self.waiting.get(&request)?;
        let queue = self.queues(*class).by_workspace.get(workspace)?;
        queue.entries.iter().map(|(_, entry)| entry).find(|entry| entry.request == request)
    }

    fn enqueue(&mut self, entry: QueueEntry) {
        let queues = self.queues_mut(entry.class);
        let virtual_time = queues.virtual_time;
        let queue = queues.by_workspace.entry(entry.workspace).or_default();
        let tag = queue.last_finish.max(virtual_time) + f64::from(entry.work_ms / entry.weight);
        queue.last_finish = tag;
        queue.weight = entry.weight;
        queue.work_ms += entry.work_ms;
        queue.entries.push_back((tag, entry));
        self.waiting.insert(entry.request, (entry.workspace, entry.class));
        *self.workspace_counts.entry(entry.workspace).or_default() += 1;
        self.deadlines.schedule(entry.start_by, entry.request);
    }

    fn pop_class(&mut self, class: RequestClass) -> Option<QueueEntry> {
        let queues = self.queues_mut(class);
        let heads = queues.by_workspace.iter().filter_map(|(&owner, queue)| {
            queue.entries.front().map(|&(tag, entry)| (tag, entry.request, owner))
        });
        let (tag, _, owner) =
            heads.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)))?;
        let (_, entry) = queues.by_workspace.get_mut(&owner)?.entries.pop_front()?;
        queues.virtual_time = tag;
        self.account_removal(&entry);
        Some(entry)
    }

    /// Updates the sums after `entry` has left its queue.
    fn account_removal(&mut self, entry: &QueueEntry) {
        let queues = self.queues_mut(entry.class);
        if let Some(queue) = queues.by_workspace.get_mut(&entry.workspace) {
            queue.work_ms = (queue.work_ms - entry.work_ms).max(0.0);
            if queue.entries.is_empty() {
                queues.by_workspace.remove(&entry.workspace);
            }
        }
        if queues.by_workspace.is_empty() {
            // Keeps the tags small, so that differences between them stay exact.
            queues.virtual_time = 0.0;
        }
        self.waiting.remove(&entry.request);
        if let Some(count) = self.workspace_counts.get_mut(&entry.workspace) {
            *count -= 1;
            if *count == 0 {
                self.workspace_counts.remove(&entry.workspace);
            }
        }
    }

    fn queues(&self, class: RequestClass) -> &ClassQueues {
        match class {
            RequestClass::Short => &self.short,
            RequestClass::Long => &self.long,
        }
    }

    fn queues_mut(&mut self, class: RequestClass) -> &mut ClassQueues {
        match class {
            RequestClass::Short => &mut self.short,
            RequestClass::Long => &mut self.long,
        }
    }
}
