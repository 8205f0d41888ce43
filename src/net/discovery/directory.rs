//! Names, numbers and addresses of the hosts that endpoint lists have named.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::listing::{Listing, Target, TargetState};
use crate::net::clock::Clock;
use crate::settings::Zones;
use crate::{Endpoint, EndpointState, GroupId, MemberId, Micros};

/// What the list calls the role of a primary.
const PRIMARY: &str = "master";

/// Names, numbers and addresses of the hosts. Its fields are named as in the message to the next process.
#[derive(Clone, Default, Deserialize, Serialize)]
pub struct Directory {
    numbers: BTreeMap<String, MemberId>,
    hosts: BTreeMap<MemberId, (SocketAddr, String)>,
    zones: Zones,
}

impl Directory {
    /// A directory that shares the settings' zone names.
    pub fn new(zones: Zones) -> Self {
        Directory { zones, ..Directory::default() }
    }

    /// The names of the zones.
    pub fn zones(&self) -> &Zones {
        &self.zones
    }

    /// Takes on the numbers of more zones.
    pub fn set_zones(&mut self, zones: Zones) {
        self.zones = zones;
    }

    /// The host of this name; a name not met before gets the next number.
    pub fn assign_id(&mut self, name: &str) -> MemberId {
        let next = MemberId(self.numbers.len() as u64 + 1);
        *self.numbers.entry(name.to_string()).or_insert(next)
    }

    /// Where a host listens.
    pub fn address(&self, member: MemberId) -> Option<SocketAddr> {
        self.hosts.get(&member).map(|(address, _)| *address)
    }

    /// The host of this name, if a list has ever named it.
    pub fn member(&self, name: &str) -> Option<MemberId> {
        self.numbers.get(name).copied()
    }

    /// The host's name in the list.
    pub fn name(&self, member: MemberId) -> &str {
        self.hosts.get(&member).map_or("?", |(_, name)| name)
    }

    /// Takes an endpoint list in. Returns its endpoints, and the number of entries that cannot be read and are passed over.
    pub fn update(&mut self, listing: Listing, clock: &Clock) -> (Vec<Endpoint>, usize) {
        let count = listing.len();
        let targets = listing.into_targets().flatten();
        let endpoints: Vec<Endpoint> = targets.map(|target| self.endpoint(target, clock)).collect();
        let unreadable = count - endpoints.len();
        (endpoints, unreadable)
    }

    fn endpoint(&mut self, target: Target, clock: &Clock) -> Endpoint {
        let member = self.assign_id(&target.uid);
        self.hosts.insert(member, (target.endpoint, target.uid));
        Endpoint {
            member,
            group: GroupId(target.pod_group),
            zone: self.zones.id(target.az),
            state: match target.state {
                TargetState::Ready => EndpointState::Ready,
                TargetState::Terminating => EndpointState::Draining,
                TargetState::Gone => EndpointState::Removed,
            },
            weight: target.capacity_hint.unwrap_or(1.0),
            started: if target.boot_ms > 0.0 { clock.at_unix_ms(target.boot_ms) } else { Micros(0) },
            primary: target.part == PRIMARY,
        }
    }
}
