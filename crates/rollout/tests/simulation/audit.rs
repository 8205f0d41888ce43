//! The rules that are checked after each step, and the checks that tests make at the end of a run.

use dunemount_rollout::version::{Digest, Document, Version};
use dunemount_rollout::wire::Message;

use super::{CommandRun, Simulation, State};

impl Simulation {
    fn check_number(&mut self, version: Version, by: &str) {
        let known = *self.digests.entry(version.number).or_insert(version.digest);
        if known != version.digest {
            self.faults.push(format!(
                "number {} has two digests, {known} and {} at {by}",
                version.number, version.digest
            ));
        }
        if !self.chosen.iter().any(|(_, chosen)| *chosen == version) {
            self.faults.push(format!("version {version} at {by} was never chosen by a majority"));
        }
    }

    pub(super) fn audit(&mut self) {
        if !self.faults.is_empty() {
            return;
        }
        for index in 0..self.gateways.len() {
            let gateway = &self.gateways[index];
            let (Some(follower), State::Up) = (&gateway.follower, gateway.state) else { continue };
            let status = follower.status(self.now);
            let reported = status.in_force;
            let running = gateway.running.as_ref().map(Document::version);
            let bad = gateway.running.as_ref().is_some_and(|running| running.bytes().starts_with(b"bad"));
            let number = running.map_or(0, |version| version.number);
            let has_gone_back = number < gateway.highest && gateway.disk.is_some();
            if reported != running || bad {
                self.faults
                    .push(format!("gateway {index} reports {reported:?}, runs with {running:?}, bad {bad}"));
            }
            if has_gone_back {
                let highest = gateway.highest;
                self.faults.push(format!("gateway {index} has gone back from {highest} to {number}"));
            }
            self.gateways[index].highest = number.max(self.gateways[index].highest);
            if let Some(version) = running {
                self.check_number(version, &format!("gateway {index}"));
            }
        }
        for index in 0..self.control_servers.len() {
            let status = self.control_servers[index].control.as_ref().map(|control| control.status(self.now));
            if let Some(newest) = status.and_then(|status| status.newest) {
                self.check_number(newest, &format!("control server {index}"));
            }
        }
    }

    /// Checks the answer to a proposal against what was chosen.
    pub(super) fn check_answer(&mut self, command: usize) {
        let CommandRun { request: Message::Propose(bytes), answer, .. } = &self.commands[command] else {
            return;
        };
        let digest = Digest::of(bytes);
        let chosen = self.chosen.iter().any(|(_, version)| version.digest == digest);
        match answer {
            Some(Message::Accepted(version)) if !self.chosen.iter().any(|(_, known)| known == version) => {
                let fault = format!("command {command} received {version}, which was never chosen");
                self.faults.push(fault);
            }
            Some(Message::Accepted(version)) if version.digest != digest => {
                self.faults.push(format!("command {command} received another document's version, {version}"));
            }
            Some(Message::NotAccepted { reason, uncertain: false }) if chosen => {
                self.faults.push(format!(
                    "command {command} received a certain rejection of a chosen document: {reason}"
                ));
            }
            _ => {}
        }
    }

    /// A proposal that was rejected with certainty but became a version later. To be checked at the end of a run.
    pub fn wrongly_rejected(&self) -> Option<String> {
        self.commands.iter().enumerate().find_map(|(index, command)| match (&command.request, &command.answer) {
            (Message::Propose(bytes), Some(Message::NotAccepted { reason, uncertain: false })) => {
                let digest = Digest::of(bytes);
                let chosen = self.chosen.iter().any(|(_, version)| version.digest == digest);
                chosen.then(|| {
                    format!("command {index} received a certain rejection of a document chosen later: {reason}")
                })
            }
            _ => None,
        })
    }

    /// The version that was chosen last.
    pub fn newest(&self) -> Option<Version> {
        self.chosen.last().map(|(_, version)| *version)
    }

    /// Gateways that neither have the newest version in force nor have rejected it.
    pub fn behind(&self) -> Vec<usize> {
        let newest = self.newest();
        let behind = |index: &usize| {
            let Some(follower) = &self.gateways[*index].follower else { return true };
            let status = follower.status(self.now);
            status.in_force != newest && status.rejected.map(|rejected| rejected.version) != newest
        };
        (0..self.gateways.len()).filter(behind).collect()
    }
}
