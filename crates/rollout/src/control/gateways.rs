//! The gateways of a control server: the version that each has in force, and offers of the newest version.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{ControlServer, Output};
use crate::connection::ConnectionId;
use crate::frame::encode_frame;
use crate::version::{Document, Version};
use crate::wire::{GatewayStatus, Message, Rejection, MAX_GATEWAYS};

/// Number of report intervals after which a version is sent again to a gateway that has not reported it.
const RESEND_REPORTS: u32 = 3;

/// The state of a gateway's connection.
pub(super) struct Subscription {
    /// The gateway's name.
    gateway: String,
    /// Its last report over this connection.
    report: Option<Report>,
    /// The version that was last sent to it, and when.
    last_sent: Option<(Version, Duration)>,
}

/// A gateway's report.
#[derive(Clone, Copy)]
struct Report {
    in_force: Option<Version>,
    rejected: Option<Version>,
}

impl Subscription {
    pub(super) fn new(gateway: String) -> Subscription {
        Subscription { gateway, report: None, last_sent: None }
    }

    /// Whether the gateway has an older version in force, has not rejected this one, and was not sent it recently.
    fn needs(&self, version: Version, now: Duration, resend_after: Duration) -> bool {
        let Some(report) = self.report else { return false };
        let is_older = report.in_force.is_none_or(|in_force| in_force.number < version.number);
        let was_sent = self.last_sent.is_some_and(|(sent, at)| sent == version && now < at + resend_after);
        is_older && report.rejected != Some(version) && !was_sent
    }
}

/// The last known status of a gateway, connected or not.
struct KnownGateway {
    zone: String,
    in_force: Option<Version>,
    rejected: Option<Rejection>,
    /// When its last hello or report was received.
    last_received: Duration,
}

/// The gateways that have connected since the start.
#[derive(Default)]
pub(super) struct GatewayRegistry {
    /// By name.
    known: BTreeMap<String, KnownGateway>,
    /// Whether the newest version is to be offered to all connected gateways.
    offers_due: bool,
    /// The frame of the newest version, encoded once for all gateways.
    newest_frame: Option<(Version, Arc<[u8]>)>,
}

impl GatewayRegistry {
    /// Adds or updates a gateway. If there are too many, it replaces the one that has been silent for longest.
    pub(super) fn register(&mut self, now: Duration, name: &str, zone: String) {
        if !self.known.contains_key(name) && self.known.len() >= MAX_GATEWAYS {
            let oldest = self.known.iter().min_by_key(|(_, gateway)| gateway.last_received);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.known.remove(&name);
            }
        }
        let new = KnownGateway { zone: String::new(), in_force: None, rejected: None, last_received: now };
        let gateway = self.known.entry(name.to_string()).or_insert(new);
        (gateway.zone, gateway.last_received) = (zone, now);
    }

    pub(super) fn schedule_offers(&mut self) {
        self.offers_due = true;
    }

    pub(super) fn statuses(&self, now: Duration) -> Vec<GatewayStatus> {
        let status = |(name, gateway): (&String, &KnownGateway)| GatewayStatus {
            name: name.clone(),
            zone: gateway.zone.clone(),
            in_force: gateway.in_force,
            rejected: gateway.rejected.clone(),
            silent_ms: now.saturating_sub(gateway.last_received).as_millis() as u64,
        };
        self.known.iter().map(status).collect()
    }

    /// The frame in which a version is sent to gateways.
    fn frame_of(&mut self, document: &Document) -> Arc<[u8]> {
        let version = document.version();
        match &self.newest_frame {
            Some((framed, frame)) if *framed == version => frame.clone(),
            _ => {
                let frame = encode_frame(&Message::Newest(version, document.bytes().clone()));
                self.newest_frame = Some((version, frame.clone()));
                frame
            }
        }
    }
}

impl ControlServer {
    /// Handles a gateway's report.
    pub(super) fn handle_version_report(
        &mut self,
        now: Duration,
        id: ConnectionId,
        in_force: Option<Version>,
        rejected: Option<Rejection>,
    ) {
        let Some(subscription) = self.connections.subscription_mut(id) else { return };
        let rejected_version = rejected.as_ref().map(|rejected| rejected.version);
        subscription.report = Some(Report { in_force, rejected: rejected_version });
        if let Some(known) = self.gateways.known.get_mut(&subscription.gateway) {
            (known.in_force, known.rejected, known.last_received) = (in_force, rejected, now);
        }
        self.offer_newest(now, id);
    }

    /// Sends a gateway the newest version if the gateway needs it. A version is sent only if its document is stored
    /// here and a recent read from a majority of the voters has confirmed that it is the newest.
    fn offer_newest(&mut self, now: Duration, id: ConnectionId) {
        if !self.is_fresh(now) {
            return;
        }
        let Some(document) = self.newest_document().cloned() else { return };
        let version = document.version();
        let resend_after = self.settings.timeouts.report_interval * RESEND_REPORTS;
        let Some(subscription) = self.connections.subscription_mut(id) else { return };
        if !subscription.needs(version, now, resend_after) {
            return;
        }
        subscription.last_sent = Some((version, now));
        let frame = self.gateways.frame_of(&document);
        self.outputs.push_back(Output::Send(id, frame));
    }

    /// Offers the newest version to all connected gateways, if [`GatewayRegistry::schedule_offers`] was called since
    /// the last time.
    pub(super) fn offer_newest_to_all(&mut self, now: Duration) {
        if std::mem::take(&mut self.gateways.offers_due) {
            for id in self.connections.gateways() {
                self.offer_newest(now, id);
            }
        }
    }
}
