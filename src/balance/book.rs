//! Open requests in the orders in which the router looks at them, so that no step walks what has not
//! fallen due. Nothing is decided here: the router says when something falls due and who comes first.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::*;

/// A request that waits: its place in its family's queue and when it is looked at again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spot {
    /// The request.
    pub id: RequestId,
    /// Its family.
    pub group: GroupId,
    /// Its class.
    pub class: ClassId,
    /// After this an answer is worth nothing: looked at a mean latency of its class earlier.
    pub give_up: Micros,
    /// When it is looked at whatever the latencies are.
    pub patience: Micros,
    /// Its place: the higher, the later it joined.
    pub place: u64,
}

/// All open requests, and of those that wait the queues of their families.
#[derive(Debug, Default)]
pub struct Book {
    places: u64,
    ends: BTreeSet<(Micros, RequestId)>,
    patience: BTreeSet<(Micros, RequestId)>,
    /// Of each class, by when an answer is worth nothing.
    hopes: Vec<BTreeSet<(Micros, RequestId)>>,
    queues: BTreeMap<GroupId, BTreeSet<(ClassId, u64, RequestId)>>,
}

impl Book {
    /// Takes a request on that ends then.
    pub fn open(&mut self, id: RequestId, end: Micros) {
        self.ends.insert((end, id));
    }

    /// Forgets a request.
    pub fn close(&mut self, id: RequestId, end: Micros, spot: Option<Spot>) {
        self.ends.remove(&(end, id));
        if let Some(spot) = spot {
            self.leave(spot);
        }
    }

    /// Puts a request into its family's queue, behind all that wait; gives its place.
    pub fn wait(&mut self, mut spot: Spot) -> Spot {
        self.places += 1;
        spot.place = self.places;
        if self.hopes.len() <= spot.class.0 {
            self.hopes.resize_with(spot.class.0 + 1, BTreeSet::new);
        }
        self.hopes[spot.class.0].insert((spot.give_up, spot.id));
        self.patience.insert((spot.patience, spot.id));
        self.queues.entry(spot.group).or_default().insert((spot.class, spot.place, spot.id));
        spot
    }

    /// Takes a request out of its queue.
    pub fn leave(&mut self, spot: Spot) {
        if let Some(hopes) = self.hopes.get_mut(spot.class.0) {
            hopes.remove(&(spot.give_up, spot.id));
        }
        self.patience.remove(&(spot.patience, spot.id));
        if let Some(queue) = self.queues.get_mut(&spot.group) {
            queue.remove(&(spot.class, spot.place, spot.id));
            if queue.is_empty() {
                self.queues.remove(&spot.group);
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
    pub fn families(&self, after: Option<GroupId>, most: usize) -> Vec<GroupId> {
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
    pub fn due(&self, now: Micros, means: &[f64]) -> Vec<RequestId> {
        let mut due = Vec::new();
        let mut take = |set: &BTreeSet<(Micros, RequestId)>, until: Micros| {
            due.extend(set.range(..=(until, RequestId(u64::MAX))).map(|(_, id)| *id));
        };
        take(&self.ends, now);
        take(&self.patience, now);
        for (hopes, mean) in self.hopes.iter().zip(means) {
            take(hopes, now + Micros(*mean as u64));
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
mod tests {
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    use super::*;

    /// The obviously right version: every question walks all that wait.
    #[derive(Default)]
    struct Model {
        open: Vec<(RequestId, Micros, Option<Spot>)>,
    }

    impl Model {
        fn waiting(&self) -> impl Iterator<Item = &Spot> {
            self.open.iter().filter_map(|(_, _, spot)| spot.as_ref())
        }

        fn due(&self, now: Micros, means: &[f64]) -> Vec<RequestId> {
            let due = |(_, end, spot): &&(RequestId, Micros, Option<Spot>)| {
                let spent =
                    |s: &Spot| s.patience <= now || s.give_up <= now + Micros(means[s.class.0] as u64);
                *end <= now || spot.as_ref().is_some_and(spent)
            };
            let mut due: Vec<_> = self.open.iter().filter(due).map(|(id, ..)| *id).collect();
            due.sort();
            due
        }

        fn newest(&self, group: GroupId, class: ClassId, before: u64, most: usize) -> Vec<(u64, RequestId)> {
            let older = |s: &&Spot| s.group == group && s.class == class && s.place < before;
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
            let (mut book, mut model) = (Book::default(), Model::default());
            let means = [3.0, 40.0, 15.5];
            for (step, number, class, time) in steps {
                let (id, group, class) = (RequestId(number), GroupId(number % 4), ClassId(class));
                let at = model.open.iter().position(|(known, ..)| *known == id);
                match (step, at) {
                    (0, None) => {
                        book.open(id, Micros(time));
                        model.open.push((id, Micros(time), None));
                    }
                    (1 | 2, Some(at)) if model.open[at].2.is_none() => {
                        let (give_up, patience) = (Micros(time + 20), Micros(time));
                        let spot = book.wait(Spot { id, group, class, give_up, patience, place: 0 });
                        prop_assert!(model.waiting().all(|other| other.place < spot.place));
                        model.open[at].2 = Some(spot);
                    }
                    (3, Some(at)) => {
                        model.open[at].2.take().into_iter().for_each(|spot| book.leave(spot));
                    }
                    (4, Some(at)) => {
                        let (id, end, spot) = model.open.swap_remove(at);
                        book.close(id, end, spot);
                    }
                    _ => {}
                }
                prop_assert_eq!(book.due(Micros(time), &means), model.due(Micros(time), &means));
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
            for (id, end, spot) in model.open.drain(..) {
                book.close(id, end, spot);
            }
            prop_assert!(book.ends.is_empty() && book.patience.is_empty() && !book.is_waiting());
            prop_assert!(book.hopes.iter().all(BTreeSet::is_empty));
        }
    }
}
