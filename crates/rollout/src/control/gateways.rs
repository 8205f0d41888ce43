//! The gateways of a control server: what each has in force, and who is sent the newest version.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{ControlServer, Output};
use crate::connection::ConnectionId;
use crate::frame::encode_frame;
use crate::version::{Document, Version};
use crate::wire::{GatewayStatus, Message, Rejection, MAX_GATEWAYS};

/// Report intervals after which a version is sent again to a gateway that does not report it.
const RESEND_REPORTS: u32 = 3;

/// A connection of a gateway.
pub(super) struct Subscription {
    gateway: String,
    /// Its last report over this connection.
    report: Option<Report>,
    /// The version that it was sent last, and when.
    last_sent: Option<(Version, Duration)>,
}

/// What a gateway has reported.
#[derive(Clone, Copy)]
struct Report {
    in_force: Option<Version>,
    rejected: Option<Version>,
}

impl Subscription {
    pub(super) fn new(gateway: String) -> Subscription {
        Subscription { gateway, report: None, last_sent: None }
    }

    /// Whether the gateway lacks a version, has not rejected it, and was not sent it recently.
    fn needs(&self, version: Version, now: Duration, resend_after: Duration) -> bool {
        let Some(report) = self.report else { return false };
        let is_older = report.in_force.is_none_or(|in_force| in_force.number < version.number);
        let was_sent = self.last_sent.is_some_and(|(sent, at)| sent == version && now < at + resend_after);
        is_older && report.rejected != Some(version) && !was_sent
    }
}

/// What is known of a gateway, connected or not.
struct KnownGateway {
    zone: String,
    in_force: Option<Version>,
    rejected: Option<Rejection>,
    last_heard: Duration,
}

/// The gateways that have connected, by name.
#[derive(Default)]
pub(super) struct GatewayRegistry {
    known: BTreeMap<String, KnownGateway>,
    /// Each connected gateway is to be examined for whether it needs the newest version.
    offers_due: bool,
    /// The frame of the newest version, encoded once for all gateways.
    newest_frame: Option<(Version, Arc<[u8]>)>,
}

impl GatewayRegistry {
    /// Adds a gateway, in place of the one that has been silent for longest if there are too many.
    pub(super) fn register(&mut self, now: Duration, name: &str, zone: String) {
        if !self.known.contains_key(name) && self.known.len() >= MAX_GATEWAYS {
            let oldest = self.known.iter().min_by_key(|(_, gateway)| gateway.last_heard);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.known.remove(&name);
            }
        }
        let new = KnownGateway { zone: String::new(), in_force: None, rejected: None, last_heard: now };
        let gateway = self.known.entry(name.to_string()).or_insert(new);
        (gateway.zone, gateway.last_heard) = (zone, now);
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
            silent_ms: now.saturating_sub(gateway.last_heard).as_millis() as u64,
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
    /// A gateway reports what it has in force.
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
            (known.in_force, known.rejected, known.last_heard) = (in_force, rejected, now);
        }
        self.offer_newest(now, id);
    }

    /// Sends a gateway the newest version if it needs it. Only a version that is stored, and that a majority of the voters has
    /// recently named as the newest, is sent.
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

    /// Offers the newest version to all connected gateways, if something has changed that they may have waited for.
    pub(super) fn offer_newest_to_all(&mut self, now: Duration) {
        if std::mem::take(&mut self.gateways.offers_due) {
            for id in self.connections.gateways() {
                self.offer_newest(now, id);
            }
        }
    }
}
