//! The settings object: the same JSON in the simulator's first message and in a gateway's
//! configuration, read here once for both programs.

use serde::Deserialize;
use serde::Serialize;

use crate::api::*;

/// A length of time on the wire, in milliseconds.
#[derive(Clone, Copy, Default, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Ms(pub f64);

impl From<Ms> for Micros {
    fn from(ms: Ms) -> Micros {
        Micros((ms.0 * 1000.0).round().max(0.0) as u64)
    }
}

impl From<Micros> for Ms {
    fn from(micros: Micros) -> Ms {
        Ms(micros.0 as f64 / 1000.0)
    }
}

/// The settings object as it stands in JSON.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Params {
    balancers: u32,
    classes: Vec<WireClass>,
    #[serde(default)]
    clients: Clients,
    registry_mode: RegistryMode,
    specifics: Specifics,
    #[serde(default)]
    over_share_worth: f64,
    permissions: Permissions,
    #[serde(default)]
    deductions: Deductions,
    safety: Safety,
    #[serde(default)]
    tenants: Vec<WireTenant>,
    tick_ms: Ms,
    #[serde(default)]
    worth_by: WireWorthBy,
    zone: String,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct Clients {
    marks_retry: bool,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireWorthBy {
    #[default]
    Request,
    Work,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireClass {
    name: String,
    aim_ms: Ms,
    deadline_ms: Ms,
    value: f64,
    #[serde(default)]
    late_worth: f64,
    effect: WireEffect,
    #[serde(default)]
    group: WireScope,
    #[serde(default)]
    repeat_window_ms: Ms,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireEffect {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireScope {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Default, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum RegistryMode {
    #[default]
    Pushed,
    OnRequest,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Specifics {
    counted_from_ms: Ms,
    needs_by_class: Vec<WireNeed>,
    #[serde(default)]
    lag_allowed_ms: Vec<Ms>,
    server_checks: ServerChecks,
    session_marks: SessionMarks,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireNeed {
    Update,
    Latest,
    OwnWrites,
    Recent,
    Loose,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ServerChecks {
    #[default]
    None,
    Reject,
    Hold,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum SessionMarks {
    #[default]
    Client,
    Router,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Permissions {
    #[serde(default)]
    cancelling: bool,
    #[serde(default)]
    probing: bool,
    #[serde(default)]
    peers: bool,
    #[serde(default)]
    parallel_tries: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_ms: Ms,
    #[serde(default)]
    conn_idle_ms: Ms,
    #[serde(default)]
    connect_timeout_ms: Ms,
    send_cap: u32,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct Deductions {
    cross_zone: f64,
    handshake: f64,
    probe: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Safety {
    cold_from: f64,
    cold_ms: Ms,
    fall_ms: Ms,
    stop_sending_within_ms: Ms,
    tip_multiple: f64,
    #[serde(default)]
    drain_binds_alone: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireTenant {
    name: String,
    quota_per_s: f64,
}

/// Zone names and the numbers given to them.
#[derive(Clone, Default, Deserialize, Serialize)]
pub struct Zones(Vec<String>);

impl Zones {
    /// The zone's number; a name not met before gets the next one.
    pub fn id(&mut self, name: String) -> ZoneId {
        let known = self.0.iter().position(|zone| *zone == name);
        ZoneId(known.unwrap_or_else(|| {
            self.0.push(name);
            self.0.len() - 1
        }))
    }
}

/// What the settings object says, in the module's terms, and the names that it gives.
#[derive(Clone)]
pub struct Site {
    /// For the module.
    pub settings: Settings,
    /// Names of the classes, in the order of [`ClassId`].
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of [`TenantId`].
    pub tenants: Vec<String>,
    /// Point on the simulator's clock from which its positions count.
    pub counted_from: Micros,
    /// A connection that has not come up by then counts as failed.
    pub connect_timeout: Micros,
}

impl Params {
    /// Translates the object; an error names the field at fault.
    pub fn site(self, zones: &mut Zones) -> Result<Site, String> {
        let needs = &self.specifics.needs_by_class;
        if self.classes.is_empty() {
            return Err("Classes: empty".into());
        }
        if needs.len() != self.classes.len() {
            return Err("NeedsByClass: not one for each of Classes".into());
        }
        if self.permissions.send_cap == 0 {
            return Err("SendCap: not positive".into());
        }
        if self.balancers == 0 {
            return Err("Balancers: not positive".into());
        }
        if !(0.0..=1.0).contains(&self.safety.cold_from) {
            return Err("Safety.ColdFrom: not within 0 to 1".into());
        }
        // At nothing a cold member would never be sent what warms it.
        if self.safety.tip_multiple <= 0.0 {
            return Err("Safety.TipMultiple: not positive".into());
        }
        let mut classes = Vec::new();
        for (index, class) in self.classes.iter().enumerate() {
            let need = &needs[index];
            for (key, time) in [("AimMs", class.aim_ms), ("DeadlineMs", class.deadline_ms)] {
                if Micros::from(time) == Micros(0) {
                    return Err(format!("{}: {key}: not positive", class.name));
                }
            }
            if class.value < 0.0 {
                return Err(format!("{}: Value: negative", class.name));
            }
            if !(0.0..=1.0).contains(&class.late_worth) {
                return Err(format!("{}: LateWorth: not within 0 to 1", class.name));
            }
            if self.classes[..index].iter().any(|other| other.name == class.name) {
                return Err(format!("{}: named twice", class.name));
            }
            let bound = self.specifics.lag_allowed_ms.get(index);
            classes.push(Class {
                latency_objective: class.aim_ms.into(),
                deadline: class.deadline_ms.into(),
                priority_weight: class.value,
                late_weight: class.late_worth,
                idempotency: match class.effect {
                    WireEffect::ReadLike => Idempotency::Idempotent,
                    WireEffect::NonIdempotent => Idempotency::NonIdempotent,
                    WireEffect::IdempotencyKey => Idempotency::IdempotencyKey {
                        scope: match class.group {
                            WireScope::All => DeduplicationScope::All,
                            WireScope::Zone => DeduplicationScope::Zone,
                            WireScope::Cell => DeduplicationScope::Group,
                        },
                        window: class.repeat_window_ms.into(),
                    },
                },
                consistency: match need {
                    WireNeed::Update => Consistency::Write,
                    WireNeed::Latest => Consistency::Strong,
                    WireNeed::OwnWrites => Consistency::Session,
                    WireNeed::Loose => Consistency::Eventual,
                    WireNeed::Recent => Consistency::BoundedStaleness(
                        (*bound.ok_or("LagAllowedMs: lacks the bound of a class")?).into(),
                    ),
                },
            });
        }
        let settings = Settings {
            classes,
            tenants: self.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s }).collect(),
            over_quota_weight: self.over_share_worth,
            weight_basis: match self.worth_by {
                WireWorthBy::Request => WeightBasis::Request,
                WireWorthBy::Work => WeightBasis::Work,
            },
            zone: zones.id(self.zone),
            gateways: self.balancers,
            tick: self.tick_ms.into(),
            watch_required: self.registry_mode == RegistryMode::OnRequest,
            replica_checks: match self.specifics.server_checks {
                ServerChecks::None => ReplicaChecks::None,
                ServerChecks::Reject | ServerChecks::Hold => ReplicaChecks::Reject,
            },
            session_tokens: match self.specifics.session_marks {
                SessionMarks::Client => SessionTokens::Carried,
                SessionMarks::Router => SessionTokens::Remembered,
            },
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
        };
        Ok(Site {
            settings,
            classes: self.classes.into_iter().map(|c| c.name).collect(),
            tenants: self.tenants.into_iter().map(|t| t.name).collect(),
            counted_from: self.specifics.counted_from_ms.into(),
            connect_timeout: self.permissions.connect_timeout_ms.into(),
        })
    }
}
