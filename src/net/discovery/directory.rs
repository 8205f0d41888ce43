//! The names, member ids and addresses of all hosts that any endpoint list has named.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::listing::{EndpointList, Target, TargetState};
use crate::net::clock::Clock;
use crate::settings::Zones;
use crate::{Endpoint, EndpointState, GroupId, MemberId, Micros};

/// Value of an entry's `part` for a primary.
const PRIMARY: &str = "master";

/// The names, member ids and addresses of hosts. The field names are part of the handover message to the next process.
#[derive(Clone, Default, Deserialize, Serialize)]
pub struct Directory {
    numbers: BTreeMap<String, MemberId>,
    hosts: BTreeMap<MemberId, (SocketAddr, String)>,
    zones: Zones,
}

impl Directory {
    /// An empty directory that starts with the zone ids of the settings.
    pub fn new(zones: Zones) -> Self {
        Directory { zones, ..Directory::default() }
    }

    /// The zone ids by zone name.
    pub fn zones(&self) -> &Zones {
        &self.zones
    }

    /// Replaces the zone ids after new zones were added.
    pub fn set_zones(&mut self, zones: Zones) {
        self.zones = zones;
    }

    /// The member id of the host with this name; a new name gets the next free id.
    pub fn assign_id(&mut self, name: &str) -> MemberId {
        let next = MemberId(self.numbers.len() as u64 + 1);
        *self.numbers.entry(name.to_string()).or_insert(next)
    }

    /// The address at which a host listens, if a list has named the host.
    pub fn address(&self, member: MemberId) -> Option<SocketAddr> {
        self.hosts.get(&member).map(|(address, _)| *address)
    }

    /// The member id of the host with this name, if it has one.
    pub fn member(&self, name: &str) -> Option<MemberId> {
        self.numbers.get(name).copied()
    }

    /// The host's name in the endpoint list; `?` if no list has named it.
    pub fn name(&self, member: MemberId) -> &str {
        self.hosts.get(&member).map_or("?", |(_, name)| name)
    }

    /// Updates the directory from an endpoint list. Returns the endpoints, and the number of invalid entries, which are
    /// skipped.
    pub fn update(&mut self, listing: EndpointList, clock: &Clock) -> (Vec<Endpoint>, usize) {
        let count = listing.len();
        let targets = listing.into_targets().flatten();
        let endpoints: Vec<Endpoint> = targets.map(|target| self.endpoint(target, clock)).collect();
        let invalid = count - endpoints.len();
        (endpoints, invalid)
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
