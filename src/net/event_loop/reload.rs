//! Applies new configurations while the gateway runs: from the file after a signal, and versions from the control
//! servers.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use dunemount_rollout::follower::ApplyError;
use dunemount_rollout::version::Document;
use slog::{info, warn};

use super::mailboxes::WorkerMessage;
use super::start::connect_timeout;
use super::timers::Timer;
use super::Gateway;
use crate::config::{ConfigError, ConfigResult};
use crate::fleet::rollout::version_channel::VersionReceiver;
use crate::settings::SiteSettings;
use crate::text_file::LineError;
use crate::Micros;

/// How long reading a configuration is retried after transient errors, and the time between two attempts: the
/// configuration must be in force 4 s after the signal.
const RELOAD_RETRY_TIMEOUT: Duration = Duration::from_secs(3);
const RELOAD_RETRY_INTERVAL: Micros = Micros::millis(50);

impl Gateway {
    /// Reads the configuration file again and applies all settings in it that may change, or none. Clients, attempts
    /// and the state of the hosts are kept.
    pub(super) fn handle_reload_signal(&mut self) {
        let mut bytes = [0; 16];
        let Some(signals) = &mut self.signals else { return };
        signals.reload_requested.store(false, Ordering::SeqCst);
        let _ = signals.reload.read(&mut bytes);
        self.reload(Instant::now() + RELOAD_RETRY_TIMEOUT);
    }

    /// Reads the configuration file again and applies it. While the file cannot be read because of a transient error,
    /// reading is retried until `until`.
    pub(super) fn reload(&mut self, until: Instant) {
        match self.apply_config(None) {
            Ok(discovery) => self.move_discovery_watch(discovery),
            Err(why) if why.error.is_transient() && Instant::now() < until => {
                self.set_timer(RELOAD_RETRY_INTERVAL, Timer::ReloadRetry(until));
            }
            Err(why) => {
                warn!(self.log, "new configuration rejected, keeping the previous one"; "why" => %why);
            }
        }
    }

    /// Applies a version of the configuration as [`Gateway::reload`] applies the file, and answers with the result. If
    /// discovery's address stays the same, so does the watch: otherwise all gateways would ask for the full list at
    /// each version.
    pub(super) fn handle_config_version(&mut self) {
        let versions = self.signals.as_mut().and_then(|signals| signals.versions.as_mut());
        let Some(offer) = versions.and_then(VersionReceiver::try_receive) else { return };
        match self.apply_config(Some(&offer.document)) {
            Ok(discovery) => {
                if discovery != self.discovery.address {
                    self.move_discovery_watch(discovery);
                }
                offer.answer(Ok(()));
            }
            Err(why) => offer.answer(Err(ApplyError(why.error.to_string()))),
        }
    }

    /// Applies a version, or the file as it is now. Returns the address of discovery from now on.
    fn apply_config(&mut self, version: Option<&Document>) -> ConfigResult<SocketAddr> {
        let mut zones = self.directory.zones().clone();
        let Some(signals) = &mut self.signals else {
            return Err(LineError::without_line(ConfigError::NotFirstWorker));
        };
        let (text, config) = (signals.read_config)(version, &mut zones).inspect_err(|why| {
            self.metrics.config_rejected += u64::from(!why.error.is_transient());
        })?;
        let event =
            if version.is_some() { "configuration version applied" } else { "configuration file reloaded" };
        info!(self.log, "{}", event; "discovery" => %config.discovery, "classes" => config.settings.class_names.len());
        let message = || WorkerMessage::Settings(Box::new(config.settings.clone()), zones.clone());
        self.workers.send_to_others(self.this_worker, message);
        self.directory.set_zones(zones);
        self.config_text = text;
        self.metrics.config_applied += 1;
        self.apply_site(config.settings);
        Ok(config.discovery)
    }

    /// Applies new settings on this worker.
    pub(super) fn apply_site(&mut self, site: SiteSettings) {
        self.connect_timeout = connect_timeout(&site);
        let SiteSettings { router: mut settings, class_names, .. } = site;
        for class in &class_names {
            self.metrics.class_mut(class);
        }
        let named = class_names.into_iter().zip(std::mem::take(&mut settings.classes)).collect();
        settings.classes = self.classes.update(self.now, named, |class| self.balancer.has_requests_of(class));
        self.pool.set_idle_limit(settings.connection_idle_timeout);
        self.discovery.update_settings(&settings);
        self.balancer.update_settings(settings);
    }
}
