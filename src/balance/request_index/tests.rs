//! Compares the request index with a list that is searched linearly.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

/// Reference implementation: every query searches all open requests.
#[derive(Default)]
struct Model {
    open: Vec<(RequestId, Micros, Option<QueueEntry>)>,
}

impl Model {
    fn waiting(&self) -> impl Iterator<Item = &QueueEntry> {
        self.open.iter().filter_map(|(_, _, queue_entry)| queue_entry.as_ref())
    }

    fn due(&self, now: Micros, mean_latencies: &[f64]) -> Vec<RequestId> {
        let due = |(_, end, queue_entry): &&(RequestId, Micros, Option<QueueEntry>)| {
            let is_due = |entry: &QueueEntry| {
                entry.wait_until <= now
                    || entry.give_up_at <= now + Micros(mean_latencies[entry.class.0] as u64)
            };
            *end <= now || queue_entry.as_ref().is_some_and(is_due)
        };
        let mut due: Vec<_> = self.open.iter().filter(due).map(|(id, ..)| *id).collect();
        due.sort();
        due
    }

    fn newest(&self, group: GroupId, class: ClassId, before: u64, max_count: usize) -> Vec<(u64, RequestId)> {
        let older =
            |entry: &&QueueEntry| entry.group == group && entry.class == class && entry.place < before;
        let mut older: Vec<_> = self.waiting().filter(older).map(|entry| (entry.place, entry.id)).collect();
        older.sort_by(|a, b| b.cmp(a));
        older.truncate(max_count);
        older
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(9), cases: 200, ..ProptestConfig::default() })]

    /// Guards against an index that disagrees with the open requests: after any sequence of opening, queuing,
    /// dequeuing and closing, it answers like the linear model, and no entry of a closed request remains.
    #[test]
    fn index_matches_linear_model(steps in prop::collection::vec((0..5u8, 0..40u64, 0..3usize, 0..200u64), 1..120)) {
        let (mut index, mut model) = (RequestIndex::default(), Model::default());
        let mean_latencies = [3.0, 40.0, 15.5];
        for (step, number, class, time) in steps {
            let (id, group, class) = (RequestId(number), GroupId(number % 4), ClassId(class));
            let at = model.open.iter().position(|(known, ..)| *known == id);
            match (step, at) {
                (0, None) => {
                    index.open(id, Micros(time));
                    model.open.push((id, Micros(time), None));
                }
                (1 | 2, Some(at)) if model.open[at].2.is_none() => {
                    let (give_up_at, wait_until) = (Micros(time + 20), Micros(time));
                    let queue_entry = index.enqueue(QueueEntry { id, group, class, give_up_at, wait_until, place: 0 });
                    prop_assert!(model.waiting().all(|other| other.place < queue_entry.place));
                    model.open[at].2 = Some(queue_entry);
                }
                (3, Some(at)) => {
                    model.open[at].2.take().into_iter().for_each(|queue_entry| index.dequeue(queue_entry));
                }
                (4, Some(at)) => {
                    let (id, end, queue_entry) = model.open.swap_remove(at);
                    index.close(id, end, queue_entry);
                }
                _ => {}
            }
            prop_assert_eq!(index.due(Micros(time), &mean_latencies), model.due(Micros(time), &mean_latencies));
            prop_assert_eq!(index.next_end(), model.open.iter().map(|(_, end, _)| *end).min());
            for group in (0..4).map(GroupId) {
                let mut classes: Vec<_> =
                    model.waiting().filter(|entry| entry.group == group).map(|entry| entry.class).collect();
                classes.sort();
                classes.dedup();
                prop_assert_eq!(index.classes(group), classes.clone());
                prop_assert_eq!(index.has_waiting(group), !classes.is_empty());
                for class in classes {
                    let newest = model.newest(group, class, u64::MAX, 2);
                    prop_assert_eq!(&index.newest(group, class, u64::MAX, 2), &newest);
                    let before = newest.last().map_or(0, |(place, _)| *place);
                    let rest = model.newest(group, class, before, usize::MAX);
                    prop_assert_eq!(index.newest(group, class, before, usize::MAX), rest);
                }
            }
        }
        for (id, end, queue_entry) in model.open.drain(..) {
            index.close(id, end, queue_entry);
        }
        prop_assert!(index.ends.is_empty() && index.wait_until.is_empty() && !index.any_waiting());
        prop_assert!(index.useful_until.iter().all(BTreeSet::is_empty));
    }
}
