//! The inputs of a gateway: its configuration at the start, and the signals that it receives while it runs.

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

/// The configuration of a gateway at its start.
pub struct Config {
    /// The address on which the gateway listens for clients.
    pub listen: SocketAddr,
    /// The address on which the gateway listens for operators. None: there is no admin interface.
    pub admin: Option<SocketAddr>,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The seed of the random numbers; worker `n` uses the seed plus `n` for its decisions.
    pub seed: u64,
    /// Largest number of file descriptors that the process may use.
    pub max_descriptors: usize,
    /// Memory that the process may use, in MiB; limits the length of a client's message.
    pub memory_mib: usize,
    /// The endpoint list that was last known, used until discovery sends one.
    pub endpoints: EndpointList,
    /// The settings of the site.
    pub site: SiteSettings,
    /// The zones that the settings name, with their numbers.
    pub zones: Zones,
    /// The text of the configuration, which is handed over to the next process.
    pub text: String,
    /// Path of the handover socket on which this process waits for the next one. None: there is no hot restart.
    pub handover_path: Option<PathBuf>,
    /// The state that the previous process hands over. None: this process starts without one.
    pub predecessor: Option<HandoverState>,
    /// The status of the fleet for the admin interface, if the gateway is in a fleet.
    pub fleet: Option<SharedStatus>,
}

/// Parses a version of the configuration, or reads the file if there is none. Zones that are new are added to the known
/// ones. Returns the text and the parsed configuration.
pub type ReadConfig =
    Box<dyn FnMut(Option<&Document>, &mut Zones) -> ConfigResult<(String, LoadedConfig)> + Send>;

/// The signals and configuration versions that the gateway receives while it runs.
pub struct Signals {
    /// Becomes readable when the gateway is to shut down.
    pub shutdown: UnixStream,
    /// Becomes readable when the configuration is to be read again.
    pub reload: UnixStream,
    /// Set by the same signal, before `shutdown` becomes readable. The write that makes it readable and wakes the loop
    /// may fail, so each sweep checks this flag too.
    pub shutdown_requested: Arc<AtomicBool>,
    /// The flag for `reload`, set and checked in the same way as `shutdown_requested`.
    pub reload_requested: Arc<AtomicBool>,
    /// Delivers versions of the configuration, if the gateway receives them from control servers.
    pub versions: Option<VersionReceiver>,
    /// Reads a new configuration. Fails if it cannot be read or is invalid.
    pub read_config: ReadConfig,
}
