//! Maps the names of classes to ids. While a request in flight has an id, the id stands for the same class, even if the
//! settings change.

use std::collections::BTreeMap;

use crate::{Class, ClassId, Micros};

/// How long a removed class is still accepted: clients may have sent requests of it already.
const REMOVAL_GRACE: Micros = Micros::millis(2_000);

/// The classes that requests may name.
#[derive(Default)]
pub struct Classes {
    by_name: BTreeMap<String, NamedClass>,
    /// The classes, indexed by id.
    table: Vec<Class>,
}

struct NamedClass {
    id: ClassId,
    /// Until when it is accepted, if the settings no longer have it.
    accepted_until: Option<Micros>,
}

impl NamedClass {
    fn is_accepted(&self, now: Micros) -> bool {
        self.accepted_until.is_none_or(|until| now < until)
    }
}

impl Classes {
    /// The id of a class; `None` if it does not exist or its grace period after removal is over.
    pub fn id(&self, now: Micros, name: &str) -> Option<ClassId> {
        let class = self.by_name.get(name)?;
        class.is_accepted(now).then_some(class.id)
    }

    /// The name and the id of each class.
    pub fn names(&self) -> impl Iterator<Item = (&String, ClassId)> {
        self.by_name.iter().map(|(name, class)| (name, class.id))
    }

    /// Replaces the classes by those of new settings and returns all, indexed by id. An unchanged class keeps its id; a
    /// new or changed one gets an id that neither a class nor a request in flight has.
    pub fn update(
        &mut self,
        now: Micros,
        new: Vec<(String, Class)>,
        is_in_use: impl Fn(ClassId) -> bool,
    ) -> Vec<Class> {
        self.by_name.retain(|_, class| class.is_accepted(now));
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
            self.by_name.insert(name, NamedClass { id, accepted_until: None });
        }
        self.table.clone()
    }

    /// Starts the grace period of the classes that the new settings do not have.
    fn mark_removed(&mut self, now: Micros, new: &[(String, Class)]) {
        for (name, class) in &mut self.by_name {
            if !new.iter().any(|(kept, _)| kept == name) {
                class.accepted_until.get_or_insert(now + REMOVAL_GRACE);
            }
        }
    }

    /// Stores a class under the first free id.
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
