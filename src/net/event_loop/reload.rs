//! New configurations while the gateway runs: at a signal from the file, and from the control machines as versions.

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

/// How long a configuration that cannot be read at this moment is read again, and the time between two attempts: it must be
/// in force 4 s after the signal.
const RELOAD_PATIENCE: Duration = Duration::from_secs(3);
const RELOAD_RETRY_INTERVAL: Micros = Micros::millis(50);

impl Gateway {
    /// Reads the configuration again and takes all of it that may change, or nothing. Clients, attempts and all that is
    /// known of the hosts stay.
    pub(super) fn handle_reload_signal(&mut self) {
        let mut bytes = [0; 16];
        let Some(signals) = &mut self.signals else { return };
        signals.reload_requested.store(false, Ordering::SeqCst);
        let _ = signals.reload.read(&mut bytes);
        self.reload(Instant::now() + RELOAD_PATIENCE);
    }

    /// Reads the configuration again, and once more until this moment as long as the file cannot be read.
    pub(super) fn reload(&mut self, until: Instant) {
        match self.apply_config(None) {
            Ok(discovery) => self.move_discovery_watch(discovery),
            Err(why) if why.error.is_transient() && Instant::now() < until => {
                self.set_timer(RELOAD_RETRY_INTERVAL, Timer::ReloadRetry(until));
            }
            Err(why) => {
                warn!(self.log, "new configuration not usable, the old one stays"; "why" => %why);
            }
        }
    }

    /// Takes a version of the configuration as [`Gateway::reload`] takes a file, and answers what became of it. A watch on
    /// a discovery that stays where it is goes on: at each version of all gateways it would ask for the full list.
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

    /// Puts a version, or the file as it is now, in force. Returns where discovery is from now on.
    fn apply_config(&mut self, version: Option<&Document>) -> ConfigResult<SocketAddr> {
        let mut zones = self.directory.zones().clone();
        let Some(signals) = &mut self.signals else {
            return Err(LineError::without_line(ConfigError::NotFirstWorker));
        };
        let (text, config) = (signals.read_config)(version, &mut zones).inspect_err(|why| {
            self.metrics.config_rejected += u64::from(!why.error.is_transient());
        })?;
        let what =
            if version.is_some() { "configuration's version taken" } else { "configuration read anew" };
        info!(self.log, "{}", what; "discovery" => %config.discovery, "classes" => config.settings.class_names.len());
        let message = || WorkerMessage::Settings(Box::new(config.settings.clone()), zones.clone());
        self.workers.send_to_others(self.this_worker, message);
        self.directory.set_zones(zones);
        self.config_text = text;
        self.metrics.config_applied += 1;
        self.apply_site(config.settings);
        Ok(config.discovery)
    }

    /// Goes on under new settings.
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
