//! Indexes of open requests by the times at which they fall due and by queue, so that no step walks requests
//! that are not due. It makes no decisions: the router sets the due times and the order.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::*;

/// A waiting request: its place in its group's queue and the times at which it falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueEntry {
    /// The waiting request.
    pub id: RequestId,
    /// The group whose queue it waits in.
    pub group: GroupId,
    /// Its class: the queue of a group is ordered by class first.
    pub class: ClassId,
    /// An answer after this time has no value: the request falls due one mean latency of its class earlier.
    pub give_up_at: Micros,
    /// When its queue time ends, whatever the latencies are.
    pub wait_until: Micros,
    /// Its place in the queue, set by [`RequestIndex::enqueue`]: the later it joined, the higher.
    pub place: u64,
}

/// All open requests, and the queues of those that wait.
#[derive(Debug, Default)]
pub struct RequestIndex {
    last_place: u64,
    ends: BTreeSet<(Micros, RequestId)>,
    wait_until: BTreeSet<(Micros, RequestId)>,
    /// For each class, its waiting requests by the time after which an answer has no value.
    useful_until: Vec<BTreeSet<(Micros, RequestId)>>,
    queues: BTreeMap<GroupId, BTreeSet<(ClassId, u64, RequestId)>>,
}

impl RequestIndex {
    /// Adds a request that ends at this time at the latest.
    pub fn open(&mut self, id: RequestId, end: Micros) {
        self.ends.insert((end, id));
    }

    /// Removes a request.
    pub fn close(&mut self, id: RequestId, end: Micros, entry: Option<QueueEntry>) {
        self.ends.remove(&(end, id));
        if let Some(entry) = entry {
            self.dequeue(entry);
        }
    }

    /// Appends a request to its group's queue and sets its place.
    pub fn enqueue(&mut self, mut entry: QueueEntry) -> QueueEntry {
        self.last_place += 1;
        entry.place = self.last_place;
        if self.useful_until.len() <= entry.class.0 {
            self.useful_until.resize_with(entry.class.0 + 1, BTreeSet::new);
        }
        self.useful_until[entry.class.0].insert((entry.give_up_at, entry.id));
        self.wait_until.insert((entry.wait_until, entry.id));
        self.queues.entry(entry.group).or_default().insert((entry.class, entry.place, entry.id));
        entry
    }

    /// Removes a request from its queue.
    pub fn dequeue(&mut self, entry: QueueEntry) {
        if let Some(useful_until) = self.useful_until.get_mut(entry.class.0) {
            useful_until.remove(&(entry.give_up_at, entry.id));
        }
        self.wait_until.remove(&(entry.wait_until, entry.id));
        if let Some(queue) = self.queues.get_mut(&entry.group) {
            queue.remove(&(entry.class, entry.place, entry.id));
            if queue.is_empty() {
                self.queues.remove(&entry.group);
            }
        }
    }

    /// Whether any request waits.
    pub fn any_waiting(&self) -> bool {
        !self.queues.is_empty()
    }

    /// Whether requests of this group wait.
    pub fn has_waiting(&self, group: GroupId) -> bool {
        self.queues.contains_key(&group)
    }

    /// The groups with waiting requests, in order, from the one after `after` on, at most `max_count`.
    pub fn groups(&self, after: Option<GroupId>, max_count: usize) -> Vec<GroupId> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = after.map_or(Unbounded, Excluded);
        self.queues.range((from, Unbounded)).take(max_count).map(|(group, _)| *group).collect()
    }

    /// The classes of a group's waiting requests, each once, in order.
    pub fn classes(&self, group: GroupId) -> Vec<ClassId> {
        let (mut classes, mut from) = (Vec::new(), ClassId(0));
        let Some(queue) = self.queues.get(&group) else { return classes };
        while let Some((class, ..)) = queue.range((from, 0, RequestId(0))..).next() {
            classes.push(*class);
            from = ClassId(class.0 + 1);
        }
        classes
    }

    /// The requests of a class in a group's queue with a place lower than `before`, with their places: the
    /// newest first, at most `max_count`.
    pub fn newest(
        &self,
        group: GroupId,
        class: ClassId,
        before: u64,
        max_count: usize,
    ) -> Vec<(u64, RequestId)> {
        let Some(queue) = self.queues.get(&group) else { return Vec::new() };
        let older = queue.range((class, 0, RequestId(0))..(class, before, RequestId(0)));
        older.rev().take(max_count).map(|(_, place, id)| (*place, *id)).collect()
    }

    /// The requests that are due, in order: those that end, those whose queue time is over, and waiting ones
    /// whose answer would have no value one mean latency of their class (in microseconds) from now.
    pub fn due(&self, now: Micros, mean_latencies: &[f64]) -> Vec<RequestId> {
        let mut due = Vec::new();
        let mut take = |set: &BTreeSet<(Micros, RequestId)>, until: Micros| {
            due.extend(set.range(..=(until, RequestId(u64::MAX))).map(|(_, id)| *id));
        };
        take(&self.ends, now);
        take(&self.wait_until, now);
        for (useful_until, mean) in self.useful_until.iter().zip(mean_latencies) {
            take(useful_until, now + Micros(*mean as u64));
        }
        due.sort_unstable();
        due.dedup();
        due
    }

    /// When the next request ends.
    pub fn next_end(&self) -> Option<Micros> {
        self.ends.first().map(|(end, _)| *end)
    }
}

#[cfg(test)]
mod tests;
