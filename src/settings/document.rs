//! The serialised form of the settings object: the names, types and defaults of its keys.

use serde::{Deserialize, Serialize};

use crate::Micros;

/// The serialised form of a duration, in milliseconds.
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

/// The settings object as JSON has it.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SettingsDocument {
    pub(super) balancers: u32,
    pub(super) classes: Vec<ClassDocument>,
    #[serde(default)]
    pub(super) clients: ClientsDocument,
    pub(super) registry_mode: RegistryMode,
    pub(super) specifics: SpecificsDocument,
    #[serde(default)]
    pub(super) over_share_worth: f64,
    pub(super) permissions: PermissionsDocument,
    #[serde(default)]
    pub(super) deductions: DeductionsDocument,
    pub(super) safety: SafetyDocument,
    #[serde(default)]
    pub(super) tenants: Vec<TenantDocument>,
    pub(super) tick_ms: Ms,
    #[serde(default)]
    pub(super) worth_by: WorthByDocument,
    pub(super) zone: String,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct ClientsDocument {
    pub marks_retry: bool,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum WorthByDocument {
    #[default]
    Request,
    Work,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct ClassDocument {
    pub name: String,
    pub aim_ms: Ms,
    pub deadline_ms: Ms,
    pub value: f64,
    #[serde(default)]
    pub late_worth: f64,
    pub effect: EffectDocument,
    #[serde(default)]
    pub group: ScopeDocument,
    #[serde(default)]
    pub repeat_window_ms: Ms,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum EffectDocument {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ScopeDocument {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Default, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(super) enum RegistryMode {
    #[default]
    Pushed,
    OnRequest,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct SpecificsDocument {
    pub counted_from_ms: Ms,
    pub needs_by_class: Vec<NeedDocument>,
    #[serde(default)]
    pub lag_allowed_ms: Vec<Ms>,
    pub server_checks: ServerChecks,
    pub session_marks: SessionMarks,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum NeedDocument {
    Update,
    Latest,
    OwnWrites,
    Recent,
    Loose,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ServerChecks {
    #[default]
    None,
    Reject,
    Hold,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum SessionMarks {
    #[default]
    Client,
    Router,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct PermissionsDocument {
    #[serde(default)]
    pub cancelling: bool,
    #[serde(default)]
    pub probing: bool,
    #[serde(default)]
    pub peers: bool,
    #[serde(default)]
    pub parallel_tries: bool,
    #[serde(default)]
    pub retry_after: bool,
    #[serde(default)]
    pub max_retry_after_ms: Ms,
    #[serde(default)]
    pub conn_idle_ms: Ms,
    #[serde(default)]
    pub connect_timeout_ms: Ms,
    pub send_cap: u32,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(super) struct DeductionsDocument {
    pub cross_zone: f64,
    pub handshake: f64,
    pub probe: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct SafetyDocument {
    pub cold_from: f64,
    pub cold_ms: Ms,
    pub fall_ms: Ms,
    pub stop_sending_within_ms: Ms,
    pub tip_multiple: f64,
    #[serde(default)]
    pub drain_binds_alone: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct TenantDocument {
    pub name: String,
    pub quota_per_s: f64,
}
