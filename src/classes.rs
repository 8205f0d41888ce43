//! Names of the classes and the numbers that stand for them. A number keeps its meaning for as long as a request in flight
//! has it, however often the settings change.

use std::collections::BTreeMap;

use crate::{Class, ClassId, Micros};

/// How long a removed class is still known: requests of it may be on their way.
const REMOVAL_GRACE: Micros = Micros::millis(2_000);

/// The classes that requests may name.
#[derive(Default)]
pub struct Classes {
    by_name: BTreeMap<String, NamedClass>,
    /// The classes by their numbers.
    table: Vec<Class>,
}

struct NamedClass {
    id: ClassId,
    /// Until when it is known, if the settings have removed it.
    known_until: Option<Micros>,
}

impl NamedClass {
    fn is_known(&self, now: Micros) -> bool {
        self.known_until.is_none_or(|until| now < until)
    }
}

impl Classes {
    /// The number of a class; none for one that has been removed for good.
    pub fn id(&self, now: Micros, name: &str) -> Option<ClassId> {
        let class = self.by_name.get(name)?;
        class.is_known(now).then_some(class.id)
    }

    /// The names with their numbers.
    pub fn names(&self) -> impl Iterator<Item = (&String, ClassId)> {
        self.by_name.iter().map(|(name, class)| (name, class.id))
    }

    /// Takes new settings' classes on and returns all by their numbers. A class that stays as it is keeps
    /// its number; any other gets one that neither a class nor a request in flight has.
    pub fn update(
        &mut self,
        now: Micros,
        new: Vec<(String, Class)>,
        is_in_use: impl Fn(ClassId) -> bool,
    ) -> Vec<Class> {
        self.by_name.retain(|_, class| class.is_known(now));
        self.mark_removed(now, &new);
        for (name, class) in new {
            let known = self.by_name.get(&name).map(|known| known.id);
            let id = match known.filter(|id| self.table[id.0] == class) {
                Some(unchanged) => unchanged,
                None => {
                    self.by_name.remove(&name);
                    self.insert(class, &is_in_use)
                }
            };
            self.by_name.insert(name, NamedClass { id, known_until: None });
        }
        self.table.clone()
    }

    /// Classes that the new settings do not have are known for a while.
    fn mark_removed(&mut self, now: Micros, new: &[(String, Class)]) {
        for (name, class) in &mut self.by_name {
            if !new.iter().any(|(kept, _)| kept == name) {
                class.known_until.get_or_insert(now + REMOVAL_GRACE);
            }
        }
    }

    /// Puts a class at the first number that is free.
    fn insert(&mut self, class: Class, is_in_use: impl Fn(ClassId) -> bool) -> ClassId {
        let is_free = |id: &ClassId| !is_in_use(*id) && self.by_name.values().all(|known| known.id != *id);
        let end = ClassId(self.table.len());
        let id = (0..self.table.len()).map(ClassId).find(is_free).unwrap_or(end);
        match self.table.get_mut(id.0) {
            Some(entry) => *entry = class,
            None => self.table.push(class),
        }
        id
    }
}
