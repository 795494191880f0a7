//! Weighted fair queueing between workspaces.
//!
//! Each workspace has one queue for short requests and one for long ones. Each queue entry gets a
//! virtual finish time on arrival (self-clocked fair queueing), and the entry with the lowest one
//! of its class starts next. A workspace that sends many requests therefore delays its own requests
//! and not those of other workspaces.

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

/// Minimum retry time given to a refused client.
const MIN_RETRY: Duration = Duration::from_millis(100);
/// Maximum retry time given to a refused client.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// Limits on the length of a queue.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct QueueSettings {
    /// Maximum number of waiting requests.
    pub capacity: usize,
    /// Share of the capacity, between 0 and 1, that one workspace may use.
    pub workspace_share: f32,
}

impl Default for QueueSettings {
    fn default() -> QueueSettings {
        QueueSettings { capacity: 4_096, workspace_share: 0.5 }
    }
}

/// A request that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueEntry {
    /// Key of the waiting request.
    pub request: RequestKey,
    /// Workspace that sent the request.
    pub workspace: WorkspaceKey,
    /// Whether the request is short or long.
    pub class: RequestClass,
    /// Predicted time in milliseconds that the request will occupy a slot.
    pub work_ms: f32,
    /// Weight of the workspace relative to others; above zero.
    pub weight: f32,
    /// Latest useful start, which is at most the client's deadline minus the expected time to the
    /// first token.
    pub start_by: ClockTime,
}

/// Reason for which a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    /// The queue has reached its capacity.
    QueueFull,
    /// The workspace has used up its share of the capacity.
    WorkspaceFull,
    /// The estimated wait exceeds the latest useful start.
    DeadlineUnreachable,
}

/// Refusal of a request, which did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub struct QueueRefusal {
    /// Reason for the refusal.
    pub cause: RefusalCause,
    /// Time after which a new attempt is likely to succeed.
    pub retry_after: Duration,
}

#[derive(Debug, Clone, Default)]
struct WorkspaceQueue {
    entries: VecDeque<(f64, QueueEntry)>,
    /// Virtual finish time of the most recently added entry.
    last_finish: f64,
    /// Invariant: the sum of the entries' predicted work, in milliseconds.
    work_ms: f32,
    weight: f32,
}

#[derive(Debug, Clone, Default)]
struct ClassQueues {
    /// Invariant: contains no empty queue.
    by_workspace: HashMap<WorkspaceKey, WorkspaceQueue>,
    /// Virtual finish time of the most recently started entry.
    virtual_time: f64,
}

/// The waiting requests of one entry, in two classes that are scheduled separately.
#[derive(Debug, Clone)]
pub struct FairQueue {
    settings: QueueSettings,
    short: ClassQueues,
    long: ClassQueues,
    /// Invariant: contains exactly the waiting requests.
    waiting: HashMap<RequestKey, (WorkspaceKey, RequestClass)>,
    workspace_counts: HashMap<WorkspaceKey, usize>,
    deadlines: TimerQueue<RequestKey>,
    /// Predicted work in milliseconds that the servers complete for this entry per millisecond.
    drain_rate: f32,
}

impl FairQueue {
    /// Creates an empty queue. `drain_rate` is the work in milliseconds that the servers complete
    /// for this entry per millisecond: the slots of all servers divided by the number of entries.
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

    /// Sets the drain rate; see [`FairQueue::new`].
    pub fn set_drain_rate(&mut self, drain_rate: f32) {
        self.drain_rate = drain_rate.max(f32::MIN_POSITIVE);
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether a request of this class may start without queueing, that is, whether it would not
    /// overtake a waiting one.
    pub fn may_bypass(&self, class: RequestClass) -> bool {
        self.queues(class).by_workspace.is_empty()
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Refuses the request if the queue or the workspace's share of it is full, or if the estimated
    /// wait ends after the latest useful start.
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

    /// Removes and returns the next request of a class for which `free` reports a free slot. Short
    /// requests come first.
    pub fn pop(&mut self, free: impl Fn(RequestClass) -> bool) -> Option<QueueEntry> {
        [RequestClass::Short, RequestClass::Long]
            .into_iter()
            .filter(|&class| free(class))
            .find_map(|class| self.pop_class(class))
    }

    /// Removes and returns a request whose latest useful start has passed, which the host must
    /// answer at once.
    pub fn take_expired(&mut self, now: ClockTime) -> Option<QueueEntry> {
        while let Some(request) = self.deadlines.pop_due(now) {
            // The timer may be left from an earlier wait of the same request.
            if self.entry(request).is_some_and(|entry| entry.start_by <= now) {
                return self.cancel(request);
            }
        }
        None
    }

    /// Returns the time of the next call of [`FairQueue::take_expired`].
    pub fn next_due(&self) -> Option<ClockTime> {
        self.deadlines.next_due()
    }

    /// Removes a waiting request, for example because its client disconnected.
    pub fn cancel(&mut self, request: RequestKey) -> Option<QueueEntry> {
        let &(workspace, class) = self.waiting.get(&request)?;
        let queue = self.queues_mut(class).by_workspace.get_mut(&workspace)?;
        let index = queue.entries.iter().position(|(_, entry)| entry.request == request)?;
        let (_, entry) = queue.entries.remove(index)?;
        self.account_removal(&entry);
        Some(entry)
    }

    /// Estimates the wait of a new entry: the time to complete its workspace's queued work at the
    /// workspace's share of the drain rate.
    pub fn estimated_wait(&self, entry: &QueueEntry) -> Duration {
        let queues = self.queues(entry.class);
        let own = queues.by_workspace.get(&entry.workspace).map_or(0.0, |queue| queue.work_ms);
        let others = queues.by_workspace.iter().filter(|(owner, _)| **owner != entry.workspace);
        // Other workspaces get at most as much service as they have work queued.
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
        let finish_tag =
            queue.last_finish.max(virtual_time) + f64::from(entry.work_ms / entry.weight);
        queue.last_finish = finish_tag;
        queue.weight = entry.weight;
        queue.work_ms += entry.work_ms;
        queue.entries.push_back((finish_tag, entry));
        self.waiting.insert(entry.request, (entry.workspace, entry.class));
        *self.workspace_counts.entry(entry.workspace).or_default() += 1;
        self.deadlines.schedule(entry.start_by, entry.request);
    }

    fn pop_class(&mut self, class: RequestClass) -> Option<QueueEntry> {
        let queues = self.queues_mut(class);
        let heads = queues.by_workspace.iter().filter_map(|(&owner, queue)| {
            queue.entries.front().map(|&(finish_tag, entry)| (finish_tag, entry.request, owner))
        });
        let (finish_tag, _, owner) =
            heads.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)))?;
        let (_, entry) = queues.by_workspace.get_mut(&owner)?.entries.pop_front()?;
        queues.virtual_time = finish_tag;
        self.account_removal(&entry);
        Some(entry)
    }

    /// Updates the totals after `entry` was removed from its queue.
    fn account_removal(&mut self, entry: &QueueEntry) {
        let queues = self.queues_mut(entry.class);
        if let Some(queue) = queues.by_workspace.get_mut(&entry.workspace) {
            queue.work_ms = (queue.work_ms - entry.work_ms).max(0.0);
            if queue.entries.is_empty() {
                queues.by_workspace.remove(&entry.workspace);
            }
        }
        if queues.by_workspace.is_empty() {
            // Resetting keeps virtual times small, so that differences between them stay exact.
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
