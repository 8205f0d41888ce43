//! Names of the classes and the numbers that they go by. A number keeps its meaning for as long as an
//! open request bears it, however often the settings change.

use std::collections::BTreeMap;

use crate::{Class, ClassId, Micros};

/// How long a dropped class is still known: requests of it may be on their way.
const FAREWELL: Micros = Micros::millis(2_000);

/// The classes that requests may name.
#[derive(Default)]
pub struct Classes {
    known: BTreeMap<String, (ClassId, Option<Micros>)>,
    table: Vec<Class>,
}

impl Classes {
    /// The number of a class; none for one that has been dropped for good.
    pub fn id(&self, now: Micros, name: &str) -> Option<ClassId> {
        let (id, until) = self.known.get(name)?;
        until.is_none_or(|until| now < until).then_some(*id)
    }

    /// The names with their numbers.
    pub fn names(&self) -> impl Iterator<Item = (&String, ClassId)> {
        self.known.iter().map(|(name, (id, _))| (name, *id))
    }

    /// Takes new settings' classes on and returns all by their numbers. A class that stays as it is keeps
    /// its number; any other gets one that neither a class nor an open request bears.
    pub fn adopt(
        &mut self,
        now: Micros,
        new: Vec<(String, Class)>,
        borne: impl Fn(ClassId) -> bool,
    ) -> Vec<Class> {
        self.known.retain(|_, (_, until)| until.is_none_or(|until| now < until));
        for (name, (_, until)) in &mut self.known {
            if !new.iter().any(|(stays, _)| stays == name) {
                until.get_or_insert(now + FAREWELL);
            }
        }
        for (name, class) in new {
            let same = self.known.get(&name).map(|(id, _)| *id).filter(|id| self.table[id.0] == class);
            let id = same.unwrap_or_else(|| {
                self.known.remove(&name);
                let free = |id: &ClassId| !borne(*id) && self.known.values().all(|(known, _)| known != id);
                let id = (0..self.table.len()).map(ClassId).find(free).unwrap_or(ClassId(self.table.len()));
                match self.table.get_mut(id.0) {
                    Some(place) => *place = class,
                    None => self.table.push(class),
                }
                id
            });
            self.known.insert(name, (id, None));
        }
        self.table.clone()
    }
}
