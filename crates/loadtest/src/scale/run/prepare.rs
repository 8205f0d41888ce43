//! Preparation of a run: addresses, settings and files of all gateways and control servers. Only discovery and the
//! threads of simulated gateways are started here.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::time::Instant;

use dunemount::fleet::acceptor_file::AcceptorFile;
use dunemount::settings_file::{FleetSettings, NamedAddress};
use dunemount_fleet::register::AcceptorSlot;
use dunemount_rollout::settings::ControlServerInfo;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::super::control::{self, ControlServers, FollowedServers};
use super::super::count;
use super::super::discovery::Discovery;
use super::super::plan::Plan;
use super::super::real::{self, ProcessSpec};
use super::super::simulated::{GatewayIdentity, Report, Shard, SimulationContext};
use super::files::{configuration, fleet_settings, program, Folder};
use super::names::{control_index, control_name, gateway_index, gateway_name, zone_name};
use super::outcome::Outcome;
use super::ports::Addresses;
use super::{Run, FLEET};

/// The resources from which the gateways and control servers of a run are set up.
struct Setup<'a> {
    plan: &'a Plan,
    folder: Folder,
    /// Datagram addresses of the gateways, then of the control servers.
    fleet: Vec<SocketAddr>,
    /// Admin interfaces of the gateways that are processes.
    admin: Vec<SocketAddr>,
    control_servers: ControlServers,
    acceptors: Vec<NamedAddress>,
    discovery: Discovery,
    port_claims: Vec<TcpListener>,
}

fn error_text(error: io::Error) -> String {
    error.to_string()
}

impl<'a> Setup<'a> {
    fn new(plan: &'a Plan) -> Result<Setup<'a>, String> {
        let folder = Folder::new().map_err(error_text)?;
        let discovery = Discovery::start(plan.hosts, plan.group_size, plan.zones, plan.whole_lists)
            .map_err(error_text)?;
        let Addresses { fleet, mut tcp, claims: port_claims } =
            Addresses::draw(plan.gateways() + plan.control_servers, plan.real + plan.control_servers)
                .map_err(error_text)?;
        let listeners = tcp.split_off(plan.real);
        let control_servers =
            ControlServers(Arc::new(listeners.into_iter().enumerate().map(control_server).collect()));
        let acceptors = (0..plan.voters).map(|index| acceptor(plan, &fleet, index)).collect();
        Ok(Setup { plan, folder, fleet, admin: tcp, control_servers, acceptors, discovery, port_claims })
    }

    /// Creates the file of the acceptor with this index; `None` if the index is not that of an acceptor.
    fn acceptor_file(&self, index: usize) -> Result<Option<PathBuf>, String> {
        if index >= self.plan.voters {
            return Ok(None);
        }
        let file = self.folder.join(format!("voter-{index}"));
        AcceptorFile::new(&file).create(AcceptorSlot(index as u8)).map_err(error_text)?;
        Ok(Some(file))
    }

    fn fleet_options(&self, listen: SocketAddr, file: Option<PathBuf>) -> FleetSettings {
        FleetSettings {
            name: Some(FLEET.into()),
            listen: Some(listen),
            voters: self.acceptors.clone(),
            seeds: Vec::new(),
            size: self.fleet.len() as u32,
            lease_ms: self.plan.lease_ms,
            probe_ms: self.plan.probe_ms,
            file,
        }
    }

    fn identities(&self, rng: &mut Pcg64Mcg) -> Result<Vec<GatewayIdentity>, String> {
        let gateways = self.fleet[..self.plan.gateways()].iter().enumerate();
        gateways.map(|(index, address)| self.identity(index, *address, rng.next_u64())).collect()
    }

    fn identity(&self, index: usize, address: SocketAddr, seed: u64) -> Result<GatewayIdentity, String> {
        let acceptor_file =
            if index < self.plan.voting_gateways() { self.acceptor_file(index)? } else { None };
        Ok(GatewayIdentity {
            index,
            name: gateway_name(index),
            region: self.plan.region(index),
            fleet: self.fleet_options(address, acceptor_file.clone()),
            acceptor_file,
            zone: zone_name(self.plan.zone(index)),
            version_file: self.folder.join(format!("kept-{index}")),
            seed,
        })
    }

    /// Writes the files of the control servers and returns what their processes are started with.
    fn control_specs(&self) -> Result<Vec<ProcessSpec>, String> {
        let addresses = &self.fleet[self.plan.gateways()..];
        let servers = addresses.iter().zip(self.control_servers.addresses()).enumerate();
        servers.map(|(index, (address, listen))| self.control_spec(index, *address, listen)).collect()
    }

    fn control_spec(
        &self,
        index: usize,
        address: SocketAddr,
        listen: SocketAddr,
    ) -> Result<ProcessSpec, String> {
        let name = control_name(index);
        let folder = self.folder.join(&name);
        let settings = fleet_settings(&self.fleet_options(address, self.acceptor_file(index)?))
            + &self.control_servers.settings(&zone_name(index), &folder.join("kept"));
        real::write_files(&folder, None, &settings).map_err(error_text)?;
        Ok(ProcessSpec {
            index,
            label: format!("control server {index}"),
            program: program(&self.plan.program)?,
            arguments: ["fleet", "control", "--name", &name].map(str::to_string).to_vec(),
            folder,
            admin: listen,
            index_parsers: [gateway_index, control_index],
        })
    }

    /// Writes the files of the gateways that are processes and returns what these are started with.
    fn gateway_specs(&self, identities: &[GatewayIdentity]) -> Result<BTreeMap<usize, ProcessSpec>, String> {
        let processes = identities[self.plan.simulated..].iter().zip(&self.admin);
        processes
            .map(|(identity, admin)| Ok((identity.index, self.gateway_spec(identity, *admin)?)))
            .collect()
    }

    fn gateway_spec(&self, identity: &GatewayIdentity, admin: SocketAddr) -> Result<ProcessSpec, String> {
        let index = identity.index;
        let folder = self.folder.join(&identity.name);
        let known = self.discovery.known(self.plan.roles);
        let config = configuration(index, self.plan, &admin.to_string(), self.discovery.address, known)?;
        let settings = fleet_settings(&identity.fleet)
            + &self.control_servers.settings(&identity.zone, &folder.join("kept"));
        real::write_files(&folder, Some(&config), &settings).map_err(error_text)?;
        let config = folder.join("config.json").display().to_string();
        Ok(ProcessSpec {
            index,
            label: format!("gateway {index}"),
            program: program(&self.plan.program)?,
            arguments: vec!["serve".to_string(), "--config".to_string(), config],
            folder,
            admin,
            index_parsers: [gateway_index, control_index],
        })
    }

    /// The data that all simulated gateways share.
    fn context(&self) -> Result<SimulationContext, String> {
        let plan = self.plan;
        let addresses = self.fleet[..plan.gateways()].iter().enumerate();
        let groups = plan.hosts.div_ceil(plan.group_size).min(plan.roles);
        let known = self.discovery.known(0);
        Ok(SimulationContext {
            gateways: plan.gateways(),
            regions: addresses.map(|(index, address)| (*address, plan.region(index))).collect(),
            partitioned: AtomicBool::new(false),
            discovery: self.discovery.address,
            configuration: configuration(0, plan, "127.0.0.1:0", self.discovery.address, known)?,
            with_balancer: plan.with_balancer,
            roles: (0..groups).map(|group| format!("survey/{group}")).collect(),
            control_servers: self.control_servers.clone(),
            timeouts: plan.timeouts,
            gateway_index,
        })
    }
}

/// The name, zone and address of a control server.
fn control_server((index, address): (usize, SocketAddr)) -> control::ControlServerAddress {
    let server = ControlServerInfo { name: control_name(index), zone: zone_name(index) };
    control::ControlServerAddress { server, address }
}

/// The name and address of the acceptor with this index. Acceptors are the first control servers, or the first gateways
/// in a run without control servers.
fn acceptor(plan: &Plan, fleet: &[SocketAddr], index: usize) -> NamedAddress {
    match plan.control_servers {
        0 => NamedAddress { name: gateway_name(index), address: fleet[index] },
        _ => NamedAddress { name: control_name(index), address: fleet[plan.gateways() + index] },
    }
}

/// Starts the threads of the simulated gateways. An acceptor waits for its disk, so each has a thread of its own, as in
/// the program.
fn start_shards(
    plan: &Plan,
    context: &Arc<SimulationContext>,
    reports: &Sender<Report>,
) -> Result<Vec<Shard>, String> {
    let count = plan.voting_gateways().min(plan.simulated) + plan.threads.min(plan.simulated);
    (0..count).map(|_| Shard::start(context.clone(), reports.clone()).map_err(error_text)).collect()
}

impl<'a> Run<'a> {
    /// Prepares a run; no gateway or control server is started before [`Run::execute`].
    pub(super) fn prepare(
        plan: &'a Plan,
        stop: &'a AtomicBool,
        progress: &'a mut dyn FnMut(&str),
    ) -> Result<Run<'a>, String> {
        let setup = Setup::new(plan)?;
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let identities = setup.identities(&mut rng)?;
        let control_specs = setup.control_specs()?;
        let specs = setup.gateway_specs(&identities)?;
        let context = Arc::new(setup.context()?);
        let (report_sender, reports) = channel();
        let shards = start_shards(plan, &context, &report_sender)?;
        Ok(Run {
            plan,
            stop,
            progress,
            until: Instant::now() + plan.time_limit,
            rng,
            targets: 0,
            live: BTreeSet::new(),
            frozen: BTreeSet::new(),
            identities,
            specs,
            reports,
            report_sender,
            outcome: Outcome::default(),
            memory_before: count::resident_kib("self").unwrap_or(0),
            shards,
            processes: BTreeMap::new(),
            control_servers: BTreeMap::new(),
            control_specs,
            versions: control::VersionTracker::default(),
            followed: FollowedServers::default(),
            proposed: 0,
            context,
            discovery: setup.discovery,
            _port_claims: setup.port_claims,
            _folder: setup.folder,
        })
    }
}
