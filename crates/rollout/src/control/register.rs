//! The register that holds the version history: its reads and changes, and the check of its value against the versions
//! that are known.

use std::time::Duration;

use super::error::{ProposalError, RegisterFault};
use super::{ControlServer, DocumentStore, Output};
use crate::backoff::random_fraction;
use crate::history::VersionHistory;

/// The outcome of [`Output::ReadRegister`], [`Output::PrepareChange`] or [`Output::Propose`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterEvent {
    /// A majority of the voters has confirmed that this is the chosen value.
    Read {
        /// The value; `None` if none was ever chosen.
        value: Option<Vec<u8>>,
        /// When the read began.
        started_at: Duration,
    },
    /// A majority of the voters has promised; [`Output::Propose`] or [`Output::AbandonChange`] follows. The value that
    /// they report need not have been chosen.
    Promised(Option<Vec<u8>>),
    /// The proposed value has been chosen.
    Chosen(Vec<u8>),
    /// Another proposer's change took precedence, or no majority answered in time.
    Failed {
        /// Whether a value had been proposed, which may still be chosen.
        proposed: bool,
        /// Whether no majority answered in time.
        no_majority: bool,
    },
}

/// The operation on the register in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RegisterOperation {
    None,
    Read,
    Prepare,
    Propose { started_at: Duration },
}

/// The state of a control server's access to the register.
pub(super) struct RegisterState {
    operation: RegisterOperation,
    /// When the next read is due.
    read_at: Duration,
    /// When the latest operation that returned a valid history began.
    pub(super) last_read: Option<Duration>,
    /// Whether the last read or change failed because no majority answered.
    pub(super) no_majority: bool,
    /// The last fault that was found, until a valid value is read.
    pub(super) fault: Option<RegisterFault>,
}

impl RegisterState {
    pub(super) fn new(now: Duration) -> RegisterState {
        RegisterState {
            operation: RegisterOperation::None,
            read_at: now,
            last_read: None,
            no_majority: false,
            fault: None,
        }
    }

    /// Schedules the next read.
    pub(super) fn schedule_read(&mut self, at: Duration) {
        self.read_at = at;
    }

    /// When the next read is due, unless an operation is in progress.
    pub(super) fn next_read(&self) -> Option<Duration> {
        (self.operation == RegisterOperation::None).then_some(self.read_at)
    }

    /// Whether a change can begin; it cancels a read in progress.
    pub(super) fn can_change(&self) -> bool {
        matches!(self.operation, RegisterOperation::None | RegisterOperation::Read)
    }

    /// Ends the operation in progress, and returns it.
    fn take_operation(&mut self) -> RegisterOperation {
        std::mem::replace(&mut self.operation, RegisterOperation::None)
    }
}

impl ControlServer {
    /// Handles the outcome of an operation on the register.
    pub fn handle_register_event(
        &mut self,
        now: Duration,
        event: RegisterEvent,
        store: &mut impl DocumentStore,
    ) {
        match event {
            RegisterEvent::Read { value, started_at } => {
                self.handle_read(now, value.as_deref(), started_at);
            }
            RegisterEvent::Promised(value) => self.handle_promised(now, value.as_deref()),
            RegisterEvent::Chosen(value) => self.handle_chosen(now, &value, store),
            RegisterEvent::Failed { no_majority, .. } => self.handle_register_failure(now, no_majority),
        }
        self.make_progress(now, store);
    }

    fn handle_read(&mut self, now: Duration, value: Option<&[u8]>, started_at: Duration) {
        self.register.no_majority = false;
        if self.register.operation == RegisterOperation::Read {
            self.register.operation = RegisterOperation::None;
        }
        let interval = self.settings.read_interval.mul_f64(0.9 + 0.1 * random_fraction(&mut self.rng));
        self.register.schedule_read(now + interval);
        self.learn_history(now, value, started_at);
        self.proposals.handle_read();
    }

    fn handle_promised(&mut self, now: Duration, value: Option<&[u8]>) {
        let is_expected = self.register.take_operation() == RegisterOperation::Prepare;
        let proposed = if is_expected { self.choose_value(now, value) } else { None };
        match proposed {
            Some(value) => {
                self.register.operation = RegisterOperation::Propose { started_at: now };
                self.outputs.push_back(Output::Propose(value));
            }
            None => self.outputs.push_back(Output::AbandonChange),
        }
    }

    fn handle_chosen(&mut self, now: Duration, value: &[u8], store: &mut impl DocumentStore) {
        self.register.no_majority = false;
        if let RegisterOperation::Propose { started_at } = self.register.take_operation() {
            self.register.schedule_read(now + self.settings.read_interval);
            self.learn_history(now, Some(value), started_at);
            self.complete_proposal(now, value, store);
        }
    }

    fn handle_register_failure(&mut self, now: Duration, no_majority: bool) {
        self.register.no_majority = no_majority;
        if self.register.take_operation() == RegisterOperation::Read {
            let pause = self.settings.read_interval.mul_f64(0.25 + 0.25 * random_fraction(&mut self.rng));
            self.register.schedule_read(now + pause);
        } else {
            self.proposals.retry_later(now, &mut self.rng);
        }
    }

    /// Reads the register if a read is due.
    pub(super) fn read_register(&mut self, now: Duration) {
        if self.register.next_read().is_some_and(|at| now >= at) {
            self.register.operation = RegisterOperation::Read;
            self.outputs.push_back(Output::ReadRegister);
        }
    }

    /// Begins a change of the register if the current proposal is ready for it.
    pub(super) fn begin_change(&mut self, now: Duration) {
        if self.register.can_change() && self.proposals.is_ready(now) {
            self.register.operation = RegisterOperation::Prepare;
            self.outputs.push_back(Output::PrepareChange);
        }
    }

    /// The value to propose after a majority has promised; `None` to abandon the change.
    fn choose_value(&mut self, now: Duration, value: Option<&[u8]>) -> Option<Vec<u8>> {
        if !self.proposals.is_committing() {
            return None;
        }
        match VersionHistory::decode(value) {
            Ok(history) => self.choose_history(now, &history).map(|history| history.encode()),
            Err(unreadable) => {
                self.report_fault(unreadable);
                self.reject_proposal(ProposalError::UnreadableRegister);
                None
            }
        }
    }

    /// Handles a chosen value of the register, returned by an operation that began at `started_at`.
    fn learn_history(&mut self, now: Duration, value: Option<&[u8]>, started_at: Duration) {
        let history = match VersionHistory::decode(value) {
            Ok(history) => history,
            Err(unreadable) => return self.report_fault(unreadable),
        };
        if let Err(fault) = self.check_history(&history, started_at) {
            return self.report_fault(fault);
        }
        self.register.fault = None;
        self.register.last_read = self.register.last_read.max(Some(started_at));
        self.gateways.schedule_offers();
        for version in history.versions() {
            self.learn_version(now, version, None);
        }
    }

    /// Checks that a history is consistent with the newest known version. A history from a read that began before that
    /// version became known may be older.
    fn check_history(&self, history: &VersionHistory, started_at: Duration) -> Result<(), RegisterFault> {
        let newest = history.newest();
        if let Some(known) = self.versions.newest_at(started_at) {
            if newest.is_none_or(|newest| newest.number < known.number) {
                return Err(RegisterFault::WentBack { newest, known });
            }
        }
        match newest.filter(|newest| self.versions.conflicts_with(*newest)) {
            Some(newest) => Err(RegisterFault::OtherDigest(newest)),
            None => Ok(()),
        }
    }

    /// Records that the value of the register is invalid, and logs it once. Until it is valid again, no version is sent
    /// to gateways and no proposal is accepted.
    pub(super) fn report_fault(&mut self, fault: impl Into<RegisterFault>) {
        let fault = fault.into();
        if self.register.fault.as_ref() != Some(&fault) {
            self.log(format!("config: {fault}"));
            self.register.fault = Some(fault);
        }
    }

    /// Whether the newest known version is up to date: a read that began within [`super::Settings::freshness`] has
    /// returned a valid history. A process that was stopped for longer than that is not fresh until its next read.
    pub(super) fn is_fresh(&self, now: Duration) -> bool {
        let freshness = self.settings.freshness;
        let was_read = self.register.last_read.is_some_and(|last_read| now < last_read + freshness);
        was_read && self.register.fault.is_none()
    }
}
