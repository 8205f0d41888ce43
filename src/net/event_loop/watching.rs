//! The loop's part that watches discovery, and that follows it to a new address.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use dunemount_rollout::follower::ApplyError;
use dunemount_rollout::version::Document;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slog::{info, warn};

use super::slots::{Key, Link, SHORTAGE_PAUSE};
use super::timers::Timer;
use super::workers::WorkerMessage;
use super::Gateway;
use crate::balance::random::uniform;
use crate::config::{ConfigError, ConfigResult};
use crate::fleet::rollout::version_channel::VersionReceiver;
use crate::net::dial;
use crate::net::discovery::{BadAnswer, Failed, Listing, Watch};
use crate::pg::codec::SendBuffer;
use crate::settings::SiteSettings;
use crate::shortage::is_shortage;
use crate::text_file::AtLine;
use crate::{EndpointState, Micros, Settings};

/// How long a configuration that cannot be read at this moment is tried again, and the time between two tries: it counts
/// as told 4 s after the signal.
const RELOAD_PATIENCE: Duration = Duration::from_secs(3);
const RELOAD_PAUSE: Micros = Micros::millis(50);

/// The watch on discovery: where it is, what is known, and the calls that are out.
pub(super) struct Watching {
    pub(super) address: SocketAddr,
    pub(super) watch: Watch,
    calling: Option<Key>,
    /// A watch that has fallen silent and stays out beside the latest call.
    silent: Option<Key>,
    /// When the latest call began.
    called: Micros,
    /// Number of gateways that call the same discovery.
    pub(super) gateways: u32,
    /// Time after word of a drain in which the last requests may still go there.
    pub(super) drain_grace: Micros,
    rng: Pcg64Mcg,
}

impl Watching {
    /// A watch at this address that goes on from a version.
    pub(super) fn of(address: SocketAddr, rev: u64, settings: &Settings, seed: u64) -> Self {
        let (watch, rng) = (Watch::from(Some(rev)), Pcg64Mcg::seed_from_u64(seed));
        let (gateways, drain_grace) = (settings.gateways, settings.drain_grace);
        Watching {
            address,
            watch,
            calling: None,
            silent: None,
            called: Micros(0),
            gateways,
            drain_grace,
            rng,
        }
    }
}

impl Gateway {
    /// Calls discovery, unless a call is out that has not fallen silent.
    pub(super) fn call_discovery(&mut self) {
        if self.watching.calling.is_some() {
            return;
        }
        self.watching.called = self.now;
        let timeout = self.watching.watch.timeout();
        let call = self.watching.watch.call(&self.watching.address.to_string()).into_bytes();
        let out = SendBuffer::from(call);
        let address = self.watching.address;
        let placed =
            |socket| self.insert(socket, Link::Discovery(out), true).map_err(|unplaced| unplaced.error);
        match dial(address).and_then(placed) {
            Ok(key) => {
                self.watching.calling = Some(key);
                self.set_timer(timeout, Timer::Call(key));
            }
            // Nothing was asked, and nothing is wrong with discovery.
            Err(e) if is_shortage(&e) => self.set_timer(SHORTAGE_PAUSE, Timer::Discovery),
            Err(e) => self.call_again(&e.to_string(), Failed::Empty),
        }
    }

    /// Takes in what discovery says.
    pub(super) fn discovery_says(&mut self, key: Key, bytes: &[u8], ended: bool) {
        let late = self.watching.silent == Some(key);
        let answer = match late {
            true => self.watching.watch.receive_late(bytes, ended),
            false => self.watching.watch.receive(bytes, ended),
        };
        match answer {
            Ok(None) if ended => self.discovery_failed(key, "connection ended"),
            Ok(None) => {}
            Ok(Some(listing)) => {
                self.listed(listing, false);
                self.end_calls();
                self.call_discovery();
            }
            Err(BadAnswer::Status(status)) if !late => {
                self.end_call(key);
                self.call_again(&format!("turned away: {status}"), Failed::Empty)
            }
            Err(bad) => self.discovery_failed(key, &format!("bad answer: {bad:?}")),
        }
    }

    /// The call has failed, and what it was to bring may be lost. One that fell silent before was booked then.
    pub(super) fn discovery_failed(&mut self, key: Key, why: &str) {
        let late = self.watching.silent == Some(key);
        self.end_call(key);
        if !late {
            self.call_again(why, Failed::Lost);
        }
    }

    /// The call has had its time. A watch stays out while the next one goes, in the place of one before it.
    pub(super) fn discovery_overdue(&mut self, key: Key) {
        if self.watching.calling != Some(key) {
            return;
        }
        match self.watching.watch.overdue() {
            Failed::Silent => {
                self.watching.calling = None;
                if let Some(before) = self.watching.silent.replace(key) {
                    self.close(before);
                }
                self.call_again("silent", Failed::Silent);
            }
            _ => self.discovery_failed(key, "no answer"),
        }
    }

    /// Another call follows after a backoff.
    fn call_again(&mut self, why: &str, how: Failed) {
        let spent = self.now - self.watching.called;
        let Watching { watch, gateways, drain_grace, rng, .. } = &mut self.watching;
        let backoff = watch.failed(how, *gateways, *drain_grace, spent, uniform(rng));
        let fails = watch.fails();
        // The first failure and every hundredth after it: one line in ten seconds at the most.
        if fails % 100 == 1 {
            warn!(self.log, "discovery failed"; "why" => why, "in a row" => fails);
        }
        self.set_timer(backoff, Timer::Discovery);
    }

    fn end_call(&mut self, key: Key) {
        let Watching { calling, silent, .. } = &mut self.watching;
        for call in [calling, silent] {
            *call = call.filter(|call| *call != key);
        }
        self.close(key);
    }

    fn end_calls(&mut self) {
        let out = [self.watching.calling.take(), self.watching.silent.take()];
        out.into_iter().flatten().for_each(|key| self.close(key));
    }

    /// Reads the configuration anew and takes all of it that may change, or nothing. Clients, attempts
    /// and all that is known of the hosts stay.
    pub(super) fn on_reload(&mut self) {
        let mut bytes = [0; 16];
        let Some(signals) = &mut self.signals else { return };
        signals.told[1].store(false, Ordering::SeqCst);
        let _ = signals.reload.read(&mut bytes);
        self.reload(Instant::now() + RELOAD_PATIENCE);
    }

    /// Reads the configuration anew, and again until this moment as long as the file cannot be read.
    pub(super) fn reload(&mut self, until: Instant) {
        match self.take_configuration(None) {
            Ok(discovery) => self.follow_discovery(discovery),
            Err(why) if why.error.is_transient() && Instant::now() < until => {
                self.set_timer(RELOAD_PAUSE, Timer::Reload(until));
            }
            Err(why) => {
                warn!(self.log, "new configuration not usable, the old one stays"; "why" => %why);
            }
        }
    }

    /// Takes a version of the configuration as [`Gateway::on_reload`] takes a file, and says what became of it. A watch
    /// on a discovery that stays where it is goes on: at each version of all gateways it would ask for the whole list.
    pub(super) fn on_version(&mut self) {
        let versions = self.signals.as_mut().and_then(|signals| signals.versions.as_mut());
        let Some(offer) = versions.and_then(VersionReceiver::try_receive) else { return };
        match self.take_configuration(Some(&offer.document)) {
            Ok(discovery) => {
                if discovery != self.watching.address {
                    self.follow_discovery(discovery);
                }
                offer.answer(Ok(()));
            }
            Err(why) => offer.answer(Err(ApplyError(why.error.to_string()))),
        }
    }

    /// Takes a version, or the file anew: where discovery is from now on.
    fn take_configuration(&mut self, version: Option<&Document>) -> ConfigResult<SocketAddr> {
        let mut zones = self.directory.zones().clone();
        let Some(signals) = &mut self.signals else { return Err(AtLine::whole(ConfigError::NotFirstWorker)) };
        let (text, taken) = (signals.reread)(version, &mut zones).inspect_err(|why| {
            self.figures.config_rejected += u64::from(!why.error.is_transient());
        })?;
        let what =
            if version.is_some() { "configuration's version taken" } else { "configuration read anew" };
        info!(self.log, "{}", what; "discovery" => %taken.discovery, "classes" => taken.settings.class_names.len());
        let message = || WorkerMessage::Settings(Box::new(taken.settings.clone()), zones.clone());
        self.workers.deliver_others(self.me, message);
        self.directory.know_zones(zones);
        self.config = text;
        self.figures.config_applied += 1;
        self.settle_in(taken.settings);
        Ok(taken.discovery)
    }

    /// Goes on under new settings.
    pub(super) fn settle_in(&mut self, site: SiteSettings) {
        let mut settings = site.router;
        let names = site.class_names.iter().cloned();
        let new = names.zip(std::mem::take(&mut settings.classes)).collect();
        settings.classes = self.classes.adopt(self.now, new, |class| self.balancer.has_requests_of(class));
        for class in &site.class_names {
            self.figures.class_mut(class);
        }
        self.pool.keep_for(settings.connection_idle_timeout);
        (self.watching.gateways, self.watching.drain_grace) = (settings.gateways, settings.drain_grace);
        self.connect_timeout = site.connect_timeout.max(Micros::millis(10));
        self.balancer.update_settings(settings);
    }

    /// Discovery may have moved: the watch goes on there at once, with the whole list, since versions of
    /// the one need mean nothing to the other.
    fn follow_discovery(&mut self, discovery: SocketAddr) {
        self.watching.address = discovery;
        self.watching.watch = Watch::from(None);
        self.end_calls();
        self.call_discovery();
    }

    /// Takes a listing in, on all workers.
    pub(super) fn listed(&mut self, listing: Listing, known: bool) {
        self.workers.deliver_others(self.me, || WorkerMessage::List(Box::new(listing.clone()), known));
        self.take_list(listing, known);
    }

    /// Takes a listing in. Names and addresses are the same on all workers; of the members each takes those
    /// of its own families, and whoever moved from them to another's is gone here.
    pub(super) fn take_list(&mut self, listing: Listing, known: bool) {
        let (rev, all) = (listing.rev, listing.all);
        let (mut entries, unread) = self.directory.take(listing, &self.clock);
        if unread > 0 {
            warn!(self.log, "lines of the list cannot be read"; "rev" => rev, "lines" => unread);
        }
        if self.me == 0 && (!entries.is_empty() || known) {
            info!(self.log, "list"; "rev" => rev, "whole" => all, "hosts" => entries.len());
        }
        let (workers, me, balancer) = (&self.workers, self.me, &self.balancer);
        entries.retain_mut(|entry| {
            let own = workers.home(entry.group) == me;
            if !own {
                entry.state = EndpointState::Removed;
            }
            own || balancer.is_listed(entry.member)
        });
        // Who is missing from a whole list is gone, but not for a line that cannot be read.
        self.balancer.update_endpoints(self.now, (all || known) && unread == 0, entries);
    }
}
