//! The book of open requests against a list that is walked.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

/// The obviously right version: every question walks all that wait.
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
            let spent = |s: &QueueEntry| {
                s.wait_until <= now || s.give_up_at <= now + Micros(mean_latencies[s.class.0] as u64)
            };
            *end <= now || queue_entry.as_ref().is_some_and(spent)
        };
        let mut due: Vec<_> = self.open.iter().filter(due).map(|(id, ..)| *id).collect();
        due.sort();
        due
    }

    fn newest(&self, group: GroupId, class: ClassId, before: u64, most: usize) -> Vec<(u64, RequestId)> {
        let older = |s: &&QueueEntry| s.group == group && s.class == class && s.place < before;
        let mut older: Vec<_> = self.waiting().filter(older).map(|s| (s.place, s.id)).collect();
        older.sort_by(|a, b| b.cmp(a));
        older.truncate(most);
        older
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(9), cases: 200, ..ProptestConfig::default() })]

    /// Guards the orders: whatever is opened, waits, leaves and closes, the book answers like a list that
    /// is walked, and nothing of a closed request is left behind.
    #[test]
    fn the_book_answers_like_a_list(steps in prop::collection::vec((0..5u8, 0..40u64, 0..3usize, 0..200u64), 1..120)) {
        let (mut book, mut model) = (RequestIndex::default(), Model::default());
        let mean_latencies = [3.0, 40.0, 15.5];
        for (step, number, class, time) in steps {
            let (id, group, class) = (RequestId(number), GroupId(number % 4), ClassId(class));
            let at = model.open.iter().position(|(known, ..)| *known == id);
            match (step, at) {
                (0, None) => {
                    book.open(id, Micros(time));
                    model.open.push((id, Micros(time), None));
                }
                (1 | 2, Some(at)) if model.open[at].2.is_none() => {
                    let (give_up_at, wait_until) = (Micros(time + 20), Micros(time));
                    let queue_entry = book.wait(QueueEntry { id, group, class, give_up_at, wait_until, place: 0 });
                    prop_assert!(model.waiting().all(|other| other.place < queue_entry.place));
                    model.open[at].2 = Some(queue_entry);
                }
                (3, Some(at)) => {
                    model.open[at].2.take().into_iter().for_each(|queue_entry| book.leave(queue_entry));
                }
                (4, Some(at)) => {
                    let (id, end, queue_entry) = model.open.swap_remove(at);
                    book.close(id, end, queue_entry);
                }
                _ => {}
            }
            prop_assert_eq!(book.due(Micros(time), &mean_latencies), model.due(Micros(time), &mean_latencies));
            prop_assert_eq!(book.next_end(), model.open.iter().map(|(_, end, _)| *end).min());
            for group in (0..4).map(GroupId) {
                let mut classes: Vec<_> =
                    model.waiting().filter(|s| s.group == group).map(|s| s.class).collect();
                classes.sort();
                classes.dedup();
                prop_assert_eq!(book.classes(group), classes.clone());
                prop_assert_eq!(book.waits(group), !classes.is_empty());
                for class in classes {
                    let newest = model.newest(group, class, u64::MAX, 2);
                    prop_assert_eq!(&book.newest(group, class, u64::MAX, 2), &newest);
                    let before = newest.last().map_or(0, |(place, _)| *place);
                    let rest = model.newest(group, class, before, usize::MAX);
                    prop_assert_eq!(book.newest(group, class, before, usize::MAX), rest);
                }
            }
        }
        for (id, end, queue_entry) in model.open.drain(..) {
            book.close(id, end, queue_entry);
        }
        prop_assert!(book.ends.is_empty() && book.wait_until.is_empty() && !book.is_waiting());
        prop_assert!(book.useful_until.iter().all(BTreeSet::is_empty));
    }
}
