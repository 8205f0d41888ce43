//! The register. Its answers may be lost, and proposals may reach only a minority of the voters.

use std::time::Duration;

use dunemount_rollout::control::{PersistentState, RegisterEvent};
use dunemount_rollout::history::VersionHistory;

use super::Process::ControlServer as Server;
use super::{ControlServerRun, Simulation, State, Variant, REGISTER_TIMEOUT};

pub(super) enum RegisterRequest {
    Read(Duration),
    Prepare,
    Propose(Vec<u8>),
}

#[derive(Default)]
pub(super) struct Register {
    pub(super) value: Option<Vec<u8>>,
    /// A value that only a minority of the voters has accepted: later operations may or may not find it.
    pub(super) pending: Option<Vec<u8>>,
    pub(super) ballot: u64,
    pub(super) requests: Vec<(Duration, usize, u64, RegisterRequest)>,
    pub(super) answers: Vec<(Duration, usize, u64, bool, RegisterEvent)>,
}

impl Simulation {
    pub(super) fn request(&mut self, server: usize, request: RegisterRequest) {
        let incarnation = self.control_servers[server].incarnation;
        if matches!(request, RegisterRequest::Prepare) {
            // The change replaces a read in progress.
            self.register
                .requests
                .retain(|(_, by, _, request)| *by != server || !matches!(request, RegisterRequest::Read(_)));
            self.register.answers.retain(|(_, by, _, is_read, _)| *by != server || !is_read);
        }
        let at = self.now + self.conditions.delay.mul_f64(self.random_fraction());
        self.register.requests.push((at, server, incarnation, request));
    }

    /// The wrong answer of the register under this variant; `None` if the variant does not affect the request.
    fn answer_of_variant(&mut self, server: usize, request: RegisterRequest) -> Option<RegisterEvent> {
        let is_promised_value = match &request {
            RegisterRequest::Propose(value) => self.control_servers[server].promised.as_ref() == Some(value),
            _ => false,
        };
        let answers_without_majority = match self.variant {
            Variant::TrustsPromise => is_promised_value,
            Variant::OwnRegister => true,
            Variant::NumbersAlone => self.without_majority.contains(&server),
            Variant::SkipsRead => {
                matches!(request, RegisterRequest::Read(_))
                    && self.control_servers[server].last_value.is_some()
            }
            _ => false,
        };
        if !answers_without_majority {
            return None;
        }
        let last_value = self.control_servers[server].last_value.clone();
        Some(match request {
            RegisterRequest::Read(_) => RegisterEvent::Read { value: last_value, started_at: self.now },
            RegisterRequest::Prepare => RegisterEvent::Promised(last_value),
            RegisterRequest::Propose(value) => {
                self.control_servers[server].last_value = Some(value.clone());
                RegisterEvent::Chosen(value)
            }
        })
    }

    fn choose(&mut self, value: Vec<u8>) {
        let newest = VersionHistory::decode(Some(&value)).ok().and_then(|history| history.newest());
        self.register.value = Some(value);
        self.register.pending = None;
        let Some(newest) = newest else { return };
        if self.chosen.last().is_some_and(|(_, last)| *last == newest) {
            return;
        }
        self.chosen.push((self.now, newest));
        let has_stored = |server: &&ControlServerRun| {
            let stored = PersistentState::from_file(&server.store.file).unwrap_or_default();
            stored.pending.iter().any(|(digest, _)| *digest == newest.digest)
                || stored.versions.iter().any(|document| document.version().digest == newest.digest)
        };
        let disks = self.control_servers.iter().filter(has_stored).count();
        if disks < 2 {
            self.faults.push(format!("version {newest} is on {disks} disks as it is chosen"));
        }
    }

    pub(super) fn run_register(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.register.requests).into_iter().partition(|(at, ..)| *at <= now);
        self.register.requests = later;
        for (_, server, incarnation, request) in due {
            let is_read = matches!(request, RegisterRequest::Read(_));
            let (answer, is_timeout) = self.answer_of_register(server, request);
            let at = now
                + if is_timeout {
                    REGISTER_TIMEOUT
                } else {
                    self.conditions.delay.mul_f64(self.random_fraction())
                };
            self.register.answers.push((at, server, incarnation, is_read, answer));
        }
        let ready = |(at, server, _, _, _): &(Duration, usize, u64, bool, RegisterEvent)| {
            *at <= now && self.control_servers[*server].state != State::Stopped
        };
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.register.answers).into_iter().partition(ready);
        self.register.answers = later;
        for (_, index, incarnation, _, event) in due {
            let server = &mut self.control_servers[index];
            if server.incarnation != incarnation {
                continue;
            }
            if let RegisterEvent::Read { value, .. } = &event {
                server.last_value = value.clone();
            }
            if let RegisterEvent::Chosen(value) = &event {
                server.last_value = Some(value.clone());
            }
            if let Some(control) = &mut server.control {
                control.handle_register_event(now, event, &mut server.store);
            }
            self.carry_out(Server(index));
        }
    }

    /// The answer of the register, and whether the caller's timeout passes first.
    fn answer_of_register(&mut self, server: usize, request: RegisterRequest) -> (RegisterEvent, bool) {
        let proposed = matches!(request, RegisterRequest::Propose(_));
        let failed = |no_majority| RegisterEvent::Failed { proposed, no_majority };
        if !matches!(self.variant, Variant::Nothing) {
            let copy = match &request {
                RegisterRequest::Read(started_at) => RegisterRequest::Read(*started_at),
                RegisterRequest::Prepare => RegisterRequest::Prepare,
                RegisterRequest::Propose(value) => RegisterRequest::Propose(value.clone()),
            };
            if let Some(event) = self.answer_of_variant(server, copy) {
                return (event, false);
            }
        }
        let without_majority = self.without_majority.contains(&server);
        let (lost, minority, meets) = (
            self.random_fraction() < self.conditions.lost,
            self.random_fraction() < self.conditions.minority,
            self.random_fraction() < 0.5,
        );
        let register = &mut self.register;
        match request {
            _ if without_majority && !proposed => (failed(true), true),
            RegisterRequest::Read(started_at) => {
                if let Some(value) = register.pending.take_if(|_| meets) {
                    // A read that finds an unchosen value completes its choice before it returns the value.
                    register.ballot += 1;
                    self.choose(value);
                }
                match lost {
                    true => (failed(true), true),
                    false => (RegisterEvent::Read { value: self.register.value.clone(), started_at }, false),
                }
            }
            RegisterRequest::Prepare => {
                register.ballot += 1;
                self.control_servers[server].ballot = register.ballot;
                let latest = register.pending.clone().filter(|_| meets).or(register.value.clone());
                self.control_servers[server].promised = latest.clone();
                match lost {
                    true => (failed(true), true),
                    false => (RegisterEvent::Promised(latest), false),
                }
            }
            RegisterRequest::Propose(value) => {
                let ballot = self.control_servers[server].ballot;
                if ballot != register.ballot {
                    return (failed(false), false);
                }
                if without_majority || minority {
                    if minority || meets {
                        register.pending = Some(value);
                    }
                    return (failed(true), true);
                }
                self.choose(value.clone());
                match lost {
                    true => (failed(true), true),
                    false => (RegisterEvent::Chosen(value), false),
                }
            }
        }
    }
}
