//! The register that holds the version history: reads of it, changes of it, and what a control server concludes from its
//! value.

use std::time::Duration;

use super::error::{ProposalError, RegisterFault};
use super::{ControlServer, DocumentStore, Output};
use crate::backoff::unit;
use crate::history::VersionHistory;

/// The register's answer to [`Output::ReadRegister`], [`Output::PrepareChange`] and [`Output::Propose`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegisterEvent {
    /// A majority has answered that the register holds this chosen value.
    Read {
        /// The value.
        value: Option<Vec<u8>>,
        /// When the read began.
        started_at: Duration,
    },
    /// A majority has promised, and waits for [`Output::Propose`] or [`Output::AbandonChange`]. The value need not be chosen.
    Promised(Option<Vec<u8>>),
    /// The proposed value has been chosen.
    Chosen(Vec<u8>),
    /// Another change came between, or no majority answered in time.
    Failed {
        /// A value had been proposed, which may still be chosen.
        proposed: bool,
        /// No majority answered.
        no_majority: bool,
    },
}

/// The operation on the register that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RegisterOperation {
    None,
    Read,
    Prepare,
    Propose { started_at: Duration },
}

/// What a control server knows of the register.
pub(super) struct RegisterState {
    operation: RegisterOperation,
    /// When the next read is due.
    read_at: Duration,
    /// When the last read that was answered began.
    pub(super) last_read: Option<Duration>,
    /// The last answer was that no majority answered.
    pub(super) no_majority: bool,
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

    /// Has the register read at the next tick.
    pub(super) fn schedule_read(&mut self, at: Duration) {
        self.read_at = at;
    }

    /// When the next read is due, unless an operation is under way.
    pub(super) fn next_read(&self) -> Option<Duration> {
        (self.operation == RegisterOperation::None).then_some(self.read_at)
    }

    /// Whether a change can begin; a read under way is given up for it.
    pub(super) fn can_change(&self) -> bool {
        matches!(self.operation, RegisterOperation::None | RegisterOperation::Read)
    }

    /// Ends the operation under way.
    fn take_operation(&mut self) -> RegisterOperation {
        std::mem::replace(&mut self.operation, RegisterOperation::None)
    }
}

impl ControlServer {
    /// The register has answered.
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
        let interval = self.settings.read_interval.mul_f64(0.9 + 0.1 * unit(&mut self.rng));
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
            let pause = self.settings.read_interval.mul_f64(0.25 + 0.25 * unit(&mut self.rng));
            self.register.schedule_read(now + pause);
        } else {
            self.proposals.retry_later(now, &mut self.rng);
        }
    }

    /// Reads the register if that is due.
    pub(super) fn read_register(&mut self, now: Duration) {
        if self.register.next_read().is_some_and(|at| now >= at) {
            self.register.operation = RegisterOperation::Read;
            self.outputs.push_back(Output::ReadRegister);
        }
    }

    /// Begins to change the register once a document is ready for it.
    pub(super) fn begin_change(&mut self, now: Duration) {
        if self.register.can_change() && self.proposals.is_ready(now) {
            self.register.operation = RegisterOperation::Prepare;
            self.outputs.push_back(Output::PrepareChange);
        }
    }

    /// The value to propose after a majority has promised; none to leave the register as it is.
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

    /// The register holds a value, as an operation that began at this time says.
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

    /// Checks that a history agrees with the newest version known. One that was read before that version was known by other
    /// means may be older.
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

    /// Something is wrong with the register: it is logged once, and nothing is sent to gateways or accepted meanwhile.
    pub(super) fn report_fault(&mut self, fault: impl Into<RegisterFault>) {
        let fault = fault.into();
        if self.register.fault.as_ref() != Some(&fault) {
            self.log(format!("config: {fault}"));
            self.register.fault = Some(fault);
        }
    }

    /// Whether it knows what the newest version is: a read that began recently was answered, and its value was right. A
    /// process that was stopped is not fresh, whatever it did before.
    pub(super) fn is_fresh(&self, now: Duration) -> bool {
        let freshness = self.settings.freshness;
        let was_read = self.register.last_read.is_some_and(|last_read| now < last_read + freshness);
        was_read && self.register.fault.is_none()
    }
}
