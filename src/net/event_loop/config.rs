//! What a gateway is given at its start, and what reaches it from outside while it runs.

use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use dunemount_rollout::version::Document;

use crate::config::{ConfigResult, LoadedConfig};
use crate::fleet::rollout::version_channel::VersionReceiver;
use crate::fleet::status::SharedStatus;
use crate::hot_restart::handover_socket::HandoverState;
use crate::net::discovery::EndpointList;
use crate::settings::{SiteSettings, Zones};

/// What a gateway is given at its start.
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators connect, if they may.
    pub admin: Option<SocketAddr>,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Most file descriptors.
    pub max_descriptors: usize,
    /// Most memory, in MiB.
    pub memory_mib: usize,
    /// The endpoint list as last known.
    pub endpoints: EndpointList,
    /// The settings.
    pub site: SiteSettings,
    /// The zones that the settings name.
    pub zones: Zones,
    /// The configuration's text, for the next process.
    pub text: String,
    /// Path of the handover socket on which this process waits for the next one.
    pub handover_path: Option<PathBuf>,
    /// What the process before hands over.
    pub predecessor: Option<HandoverState>,
    /// Where the state of the fleet is shown, if the gateway is in one.
    pub fleet: Option<SharedStatus>,
}

/// Takes a version of the configuration, or reads the file again where there is none; with the zones that are known.
pub type ReadConfig =
    Box<dyn FnMut(Option<&Document>, &mut Zones) -> ConfigResult<(String, LoadedConfig)> + Send>;

/// What comes from outside while the gateway runs.
pub struct Signals {
    /// Becomes readable when the gateway is to end.
    pub shutdown: UnixStream,
    /// Becomes readable when the configuration is to be read again.
    pub reload: UnixStream,
    /// Set by the same signal, before `shutdown` becomes readable. That wakes the loop, but its write may fail; this is
    /// looked at in each sweep.
    pub shutdown_requested: Arc<AtomicBool>,
    /// The same for `reload`.
    pub reload_requested: Arc<AtomicBool>,
    /// Where versions of the configuration come from, if they do.
    pub versions: Option<VersionReceiver>,
    /// Reads the configuration again: its text and what it says, or why it cannot be used.
    pub read_config: ReadConfig,
}
