//! dunemount routes reads and writes over replicated database groups.
//!
//! The [`Router`] makes the decisions. The gateway drives it through [`balancer`]; [`net`] handles the
//! sockets, [`pg`] the protocol of clients and hosts, and [`request`] tracks the requests in flight.
//!
//! A [`Router`] does no input or output and reads no clock. The driver passes it each [`Event`]
//! with the current time and carries out the [`Action`]s that it returns. The same seed and the
//! same events always produce the same actions.
//!
//! ```
//! use dunemount::*;
//!
//! let settings = Settings {
//!     classes: vec![Class {
//!         latency_objective: Micros::millis(200),
//!         deadline: Micros::millis(800),
//!         priority_weight: 1.0,
//!         late_weight: 0.0,
//!         idempotency: Idempotency::Idempotent,
//!         consistency: Consistency::BoundedStaleness(Micros::millis(3000)),
//!     }],
//!     tenants: vec![],
//!     over_quota_weight: 1.0,
//!     weight_basis: Default::default(),
//!     zone: ZoneId(0),
//!     gateways: 1,
//!     tick: Micros::millis(1),
//!     watch_required: false,
//!     replica_checks: ReplicaChecks::None,
//!     session_tokens: SessionTokens::Carried,
//!     health_checks: true,
//!     cancels: true,
//!     peers: false,
//!     hedging: true,
//!     retry_after: false,
//!     clients_mark_retries: false,
//!     max_retry_after: Micros(0),
//!     max_attempts: 4,
//!     health_check_price: 0.01,
//!     cross_zone_price: 0.0,
//!     handshake_price: 0.0,
//!     drain_grace: Micros::millis(1000),
//!     removed_may_serve: false,
//!     connection_idle_timeout: Micros::millis(30_000),
//!     slow_start_initial: 0.2,
//!     slow_start_window: Micros::millis(10_000),
//!     overload_multiple: 2.0,
//!     overload_window: Micros::millis(2000),
//! };
//! let mut router = Router::new(settings, 7);
//! let mut actions = Vec::new();
//! let entry = |id, primary| Endpoint {
//!     member: MemberId(id),
//!     group: GroupId(1),
//!     zone: ZoneId(0),
//!     state: EndpointState::Ready,
//!     weight: 1.0,
//!     started: Micros(0),
//!     primary,
//! };
//! let now = Micros::millis(60_000);
//! let endpoints = vec![entry(10, true), entry(11, false)];
//! router.handle(now, Event::Endpoints { update: EndpointUpdate::Full, endpoints }, &mut actions);
//! let request = Request {
//!     id: RequestId(1),
//!     class: ClassId(0),
//!     group: GroupId(1),
//!     session: None,
//!     committed: None,
//!     tenant: None,
//!     repeat: false,
//!     time_left: Micros::millis(800),
//! };
//! router.handle(now, Event::Request(request), &mut actions);
//! // No replica's position is known yet, so the bounded read goes to the primary.
//! assert!(actions.iter().any(|a| matches!(
//!     a,
//!     Action::Send { request: RequestId(1), member: MemberId(10), .. }
//! )));
//! ```

pub mod admin;
mod api;
pub mod attempt;
mod balance;
pub mod balancer;
pub mod classes;
pub mod cli;
pub mod config;
pub mod fleet;
pub mod hot_restart;
pub mod http;
pub mod logging;
pub mod memory;
pub mod net;
pub mod notice;
pub mod pg;
pub mod request;
pub mod settings;
pub mod settings_file;
pub mod shortage;
pub mod startup;
pub mod text_file;
pub mod validation;

pub use api::*;
pub use balance::Router;
