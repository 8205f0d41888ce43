//! Open requests in the orders in which the router looks at them, so that no step walks what has not
//! fallen due. Nothing is decided here: the router says when something falls due and who comes first.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::*;

/// A request that waits: its place in its family's queue and when it is looked at again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueEntry {
    /// The request.
    pub id: RequestId,
    /// Its family.
    pub group: GroupId,
    /// Its class.
    pub class: ClassId,
    /// After this an answer is worth nothing: looked at a mean latency of its class earlier.
    pub give_up_at: Micros,
    /// When it is looked at whatever the latencies are.
    pub wait_until: Micros,
    /// Its place: the higher, the later it joined.
    pub place: u64,
}

/// All open requests, and of those that wait the queues of their families.
#[derive(Debug, Default)]
pub struct RequestIndex {
    places: u64,
    ends: BTreeSet<(Micros, RequestId)>,
    wait_until: BTreeSet<(Micros, RequestId)>,
    /// Of each class, by when an answer is worth nothing.
    useful_until: Vec<BTreeSet<(Micros, RequestId)>>,
    queues: BTreeMap<GroupId, BTreeSet<(ClassId, u64, RequestId)>>,
}

impl RequestIndex {
    /// Takes a request on that ends then.
    pub fn open(&mut self, id: RequestId, end: Micros) {
        self.ends.insert((end, id));
    }

    /// Forgets a request.
    pub fn close(&mut self, id: RequestId, end: Micros, queue_entry: Option<QueueEntry>) {
        self.ends.remove(&(end, id));
        if let Some(queue_entry) = queue_entry {
            self.leave(queue_entry);
        }
    }

    /// Puts a request into its family's queue, behind all that wait; gives its place.
    pub fn wait(&mut self, mut queue_entry: QueueEntry) -> QueueEntry {
        self.places += 1;
        queue_entry.place = self.places;
        if self.useful_until.len() <= queue_entry.class.0 {
            self.useful_until.resize_with(queue_entry.class.0 + 1, BTreeSet::new);
        }
        self.useful_until[queue_entry.class.0].insert((queue_entry.give_up_at, queue_entry.id));
        self.wait_until.insert((queue_entry.wait_until, queue_entry.id));
        self.queues.entry(queue_entry.group).or_default().insert((
            queue_entry.class,
            queue_entry.place,
            queue_entry.id,
        ));
        queue_entry
    }

    /// Takes a request out of its queue.
    pub fn leave(&mut self, queue_entry: QueueEntry) {
        if let Some(useful_until) = self.useful_until.get_mut(queue_entry.class.0) {
            useful_until.remove(&(queue_entry.give_up_at, queue_entry.id));
        }
        self.wait_until.remove(&(queue_entry.wait_until, queue_entry.id));
        if let Some(queue) = self.queues.get_mut(&queue_entry.group) {
            queue.remove(&(queue_entry.class, queue_entry.place, queue_entry.id));
            if queue.is_empty() {
                self.queues.remove(&queue_entry.group);
            }
        }
    }

    /// Whether any request waits.
    pub fn is_waiting(&self) -> bool {
        !self.queues.is_empty()
    }

    /// Whether requests of this family wait.
    pub fn waits(&self, group: GroupId) -> bool {
        self.queues.contains_key(&group)
    }

    /// At most so many families of which requests wait, in order, those after this one.
    pub fn groups(&self, after: Option<GroupId>, most: usize) -> Vec<GroupId> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = after.map_or(Unbounded, Excluded);
        self.queues.range((from, Unbounded)).take(most).map(|(group, _)| *group).collect()
    }

    /// The classes of a family's waiting requests, each once, in order.
    pub fn classes(&self, group: GroupId) -> Vec<ClassId> {
        let (mut classes, mut from) = (Vec::new(), ClassId(0));
        let Some(queue) = self.queues.get(&group) else { return classes };
        while let Some((class, ..)) = queue.range((from, 0, RequestId(0))..).next() {
            classes.push(*class);
            from = ClassId(class.0 + 1);
        }
        classes
    }

    /// Of a family's waiting requests of a class the latest that joined before this place, at most so many.
    pub fn newest(&self, group: GroupId, class: ClassId, before: u64, most: usize) -> Vec<(u64, RequestId)> {
        let Some(queue) = self.queues.get(&group) else { return Vec::new() };
        let older = queue.range((class, 0, RequestId(0))..(class, before, RequestId(0)));
        older.rev().take(most).map(|(_, place, id)| (*place, *id)).collect()
    }

    /// The requests that something falls due for, in order: those that end, have waited for their time, or
    /// are worth nothing a mean latency of their class (in microseconds) from now.
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
