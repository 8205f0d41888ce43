//! The settings object, which the simulator's first message and a gateway's configuration both contain as the same
//! JSON. This module checks it and maps its keys to the fields that both programs use:
//!
//! | key | field |
//! | --- | --- |
//! | `Balancers` | [`Settings::gateways`] |
//! | `Classes[].Name` | [`SiteSettings::class_names`] |
//! | `Classes[].AimMs`, `DeadlineMs` | [`Class::latency_objective`], [`Class::deadline`] |
//! | `Classes[].Value`, `LateWorth` | [`Class::priority_weight`], [`Class::late_weight`] |
//! | `Classes[].Effect`, `Group`, `RepeatWindowMs` | [`Class::idempotency`] |
//! | `Clients.MarksRetry` | [`Settings::clients_mark_retries`] |
//! | `RegistryMode` | [`Settings::watch_required`] |
//! | `Specifics.CountedFromMs` | [`SiteSettings::positions_from`] |
//! | `Specifics.NeedsByClass`, `LagAllowedMs` | [`Class::consistency`] |
//! | `Specifics.ServerChecks` | [`Settings::replica_checks`] |
//! | `Specifics.SessionMarks` | [`Settings::session_tokens`] |
//! | `OverShareWorth` | [`Settings::over_quota_weight`] |
//! | `Permissions.Cancelling`, `Probing` | [`Settings::cancels`], [`Settings::health_checks`] |
//! | `Permissions.Peers` | [`Settings::peers`] |
//! | `Permissions.ParallelTries` | [`Settings::hedging`] |
//! | `Permissions.RetryAfter`, `MaxRetryAfterMs` | [`Settings::retry_after`], [`Settings::max_retry_after`] |
//! | `Permissions.ConnIdleMs` | [`Settings::connection_idle_timeout`] |
//! | `Permissions.ConnectTimeoutMs` | [`SiteSettings::connect_timeout`] |
//! | `Permissions.SendCap` | [`Settings::max_attempts`] |
//! | `Deductions.CrossZone`, `Handshake` | [`Settings::cross_zone_price`], [`Settings::handshake_price`] |
//! | `Deductions.Probe` | [`Settings::health_check_price`] |
//! | `Safety.ColdFrom`, `ColdMs` | [`Settings::slow_start_initial`], [`Settings::slow_start_window`] |
//! | `Safety.TipMultiple`, `FallMs` | [`Settings::overload_multiple`], [`Settings::overload_window`] |
//! | `Safety.StopSendingWithinMs`, `DrainBindsAlone` | [`Settings::drain_grace`], [`Settings::removed_may_serve`] |
//! | `Tenants[].Name` | [`SiteSettings::tenant_names`] |
//! | `Tenants[].QuotaPerS` | [`Tenant::quota_per_s`] |
//! | `TickMs` | [`Settings::tick`] |
//! | `WorthBy` | [`Settings::weight_basis`] |
//! | `Zone` | [`Settings::zone`] |

use serde::{Deserialize, Serialize};

use crate::api::*;

mod document;

use self::document::*;
pub use self::document::{Ms, SettingsDocument};

/// Why settings cannot be used. Each message begins with the key; with the class and the key if the key is a class's.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A key's value is out of its range.
    #[error("{key}: {source}")]
    Key {
        /// The key.
        key: &'static str,
        /// Why its value is out of range.
        source: RangeError,
    },
    /// A key of a class has a value out of its range.
    #[error("{class}: {key}: {source}")]
    Class {
        /// The class's name.
        class: String,
        /// The key.
        key: &'static str,
        /// Why its value is out of range.
        source: RangeError,
    },
    /// Two classes have the same name.
    #[error("{class}: named twice")]
    DuplicateClass {
        /// The name.
        class: String,
    },
    /// `Specifics.NeedsByClass` and `Classes` differ in length.
    #[error("NeedsByClass: not one for each of Classes")]
    NeedsCountMismatch,
    /// A class needs bounded staleness, but `Specifics.LagAllowedMs` has no entry for it.
    #[error("LagAllowedMs: lacks the bound of a class")]
    MissingLagBound,
}

/// Why a value is out of its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RangeError {
    /// A list that must have an entry is empty.
    #[error("empty")]
    Empty,
    /// Zero or less.
    #[error("not positive")]
    NotPositive,
    /// Less than zero.
    #[error("negative")]
    Negative,
    /// Less than zero or more than one.
    #[error("not within 0 to 1")]
    NotAFraction,
}

/// Zone names and the ids assigned to them.
#[derive(Clone, Default, Deserialize, Serialize)]
pub struct Zones(Vec<String>);

impl Zones {
    /// The zone's id; a new name is assigned the next one.
    pub fn id(&mut self, name: String) -> ZoneId {
        let known = self.0.iter().position(|zone| *zone == name);
        ZoneId(known.unwrap_or_else(|| {
            self.0.push(name);
            self.0.len() - 1
        }))
    }
}

/// The settings object after the checks: the router's settings, and the values that only its callers use.
#[derive(Clone)]
pub struct SiteSettings {
    /// The router's settings.
    pub router: Settings,
    /// Names of the classes, in the order of [`ClassId`].
    pub class_names: Vec<String>,
    /// Names of the tenants, in the order of [`TenantId`].
    pub tenant_names: Vec<String>,
    /// Time on the simulator's clock that is the zero of its log positions.
    pub positions_from: Micros,
    /// Time after which a connection that is not established counts as failed.
    pub connect_timeout: Micros,
}

impl SettingsDocument {
    /// Checks the object and maps its keys to the fields of [`SiteSettings`].
    ///
    /// # Errors
    /// A value cannot be used.
    pub fn into_site_settings(self, zones: &mut Zones) -> Result<SiteSettings, SettingsError> {
        self.check()?;
        let classes = self.router_classes()?;
        Ok(SiteSettings {
            class_names: self.classes.iter().map(|class| class.name.clone()).collect(),
            tenant_names: self.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            positions_from: self.specifics.counted_from_ms.into(),
            connect_timeout: self.permissions.connect_timeout_ms.into(),
            router: self.into_router_settings(classes, zones),
        })
    }

    /// Checks all values except those within a class.
    fn check(&self) -> Result<(), SettingsError> {
        let fail = |key, source| Err(SettingsError::Key { key, source });
        if self.classes.is_empty() {
            return fail("Classes", RangeError::Empty);
        }
        if self.specifics.needs_by_class.len() != self.classes.len() {
            return Err(SettingsError::NeedsCountMismatch);
        }
        if self.permissions.send_cap == 0 {
            return fail("SendCap", RangeError::NotPositive);
        }
        if self.balancers == 0 {
            return fail("Balancers", RangeError::NotPositive);
        }
        if !is_fraction(self.safety.cold_from) {
            return fail("Safety.ColdFrom", RangeError::NotAFraction);
        }
        // At zero a cold member would never receive the requests that warm it up.
        if self.safety.tip_multiple <= 0.0 {
            return fail("Safety.TipMultiple", RangeError::NotPositive);
        }
        Ok(())
    }

    fn router_classes(&self) -> Result<Vec<Class>, SettingsError> {
        let mut classes = Vec::new();
        for (index, class) in self.classes.iter().enumerate() {
            class.check()?;
            if self.classes[..index].iter().any(|other| other.name == class.name) {
                return Err(SettingsError::DuplicateClass { class: class.name.clone() });
            }
            classes.push(class.to_router_class(self.specifics.consistency(index)?));
        }
        Ok(classes)
    }

    fn into_router_settings(self, classes: Vec<Class>, zones: &mut Zones) -> Settings {
        Settings {
            classes,
            tenants: self.tenants.iter().map(|tenant| Tenant { quota_per_s: tenant.quota_per_s }).collect(),
            over_quota_weight: self.over_share_worth,
            weight_basis: self.worth_by.into(),
            zone: zones.id(self.zone),
            gateways: self.balancers,
            tick: self.tick_ms.into(),
            watch_required: self.registry_mode == RegistryMode::OnRequest,
            replica_checks: self.specifics.server_checks.into(),
            session_tokens: self.specifics.session_marks.into(),
            health_checks: self.permissions.probing,
            cancels: self.permissions.cancelling,
            peers: self.permissions.peers,
            hedging: self.permissions.parallel_tries,
            retry_after: self.permissions.retry_after,
            clients_mark_retries: self.clients.marks_retry,
            max_retry_after: self.permissions.max_retry_after_ms.into(),
            max_attempts: self.permissions.send_cap,
            health_check_price: self.deductions.probe,
            cross_zone_price: self.deductions.cross_zone,
            handshake_price: self.deductions.handshake,
            drain_grace: self.safety.stop_sending_within_ms.into(),
            removed_may_serve: self.safety.drain_binds_alone,
            connection_idle_timeout: self.permissions.conn_idle_ms.into(),
            slow_start_initial: self.safety.cold_from,
            slow_start_window: self.safety.cold_ms.into(),
            overload_multiple: self.safety.tip_multiple,
            overload_window: self.safety.fall_ms.into(),
        }
    }
}

impl ClassDocument {
    fn check(&self) -> Result<(), SettingsError> {
        let fail = |key, source| Err(SettingsError::Class { class: self.name.clone(), key, source });
        if Micros::from(self.aim_ms) == Micros(0) {
            return fail("AimMs", RangeError::NotPositive);
        }
        if Micros::from(self.deadline_ms) == Micros(0) {
            return fail("DeadlineMs", RangeError::NotPositive);
        }
        if self.value < 0.0 {
            return fail("Value", RangeError::Negative);
        }
        if !is_fraction(self.late_worth) {
            return fail("LateWorth", RangeError::NotAFraction);
        }
        Ok(())
    }

    fn to_router_class(&self, consistency: Consistency) -> Class {
        Class {
            latency_objective: self.aim_ms.into(),
            deadline: self.deadline_ms.into(),
            priority_weight: self.value,
            late_weight: self.late_worth,
            idempotency: self.idempotency(),
            consistency,
        }
    }

    fn idempotency(&self) -> Idempotency {
        match self.effect {
            EffectDocument::ReadLike => Idempotency::Idempotent,
            EffectDocument::NonIdempotent => Idempotency::NonIdempotent,
            EffectDocument::IdempotencyKey => {
                Idempotency::IdempotencyKey { scope: self.group.into(), window: self.repeat_window_ms.into() }
            }
        }
    }
}

impl SpecificsDocument {
    /// The consistency that the class at this index needs.
    fn consistency(&self, index: usize) -> Result<Consistency, SettingsError> {
        Ok(match self.needs_by_class[index] {
            NeedDocument::Update => Consistency::Write,
            NeedDocument::Latest => Consistency::Strong,
            NeedDocument::OwnWrites => Consistency::Session,
            NeedDocument::Loose => Consistency::Eventual,
            NeedDocument::Recent => {
                let bound = self.lag_allowed_ms.get(index).ok_or(SettingsError::MissingLagBound)?;
                Consistency::BoundedStaleness((*bound).into())
            }
        })
    }
}

impl From<ScopeDocument> for DeduplicationScope {
    fn from(scope: ScopeDocument) -> DeduplicationScope {
        match scope {
            ScopeDocument::All => DeduplicationScope::All,
            ScopeDocument::Zone => DeduplicationScope::Zone,
            ScopeDocument::Cell => DeduplicationScope::Group,
        }
    }
}

impl From<WorthByDocument> for WeightBasis {
    fn from(worth_by: WorthByDocument) -> WeightBasis {
        match worth_by {
            WorthByDocument::Request => WeightBasis::Request,
            WorthByDocument::Work => WeightBasis::Work,
        }
    }
}

impl From<ServerChecks> for ReplicaChecks {
    fn from(checks: ServerChecks) -> ReplicaChecks {
        match checks {
            ServerChecks::None => ReplicaChecks::None,
            ServerChecks::Reject | ServerChecks::Hold => ReplicaChecks::Reject,
        }
    }
}

impl From<SessionMarks> for SessionTokens {
    fn from(marks: SessionMarks) -> SessionTokens {
        match marks {
            SessionMarks::Client => SessionTokens::Carried,
            SessionMarks::Router => SessionTokens::Remembered,
        }
    }
}

fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}
