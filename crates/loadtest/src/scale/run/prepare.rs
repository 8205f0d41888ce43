//! Preparation of a run: addresses, settings and files of everybody, before anything is started but discovery.

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

use super::super::control::{self, Followed, Machines};
use super::super::count;
use super::super::discovery::Discovery;
use super::super::plan::Plan;
use super::super::real::{self, Spec};
use super::super::simulated::{Common, Identity, Report, Shard};
use super::files::{configuration, fleet_settings, program, Folder};
use super::names::{control_index, control_name, gateway_index, gateway_name, zone_name};
use super::outcome::Outcome;
use super::ports::Addresses;
use super::{Run, FLEET};

/// What the gateways and control servers of a run are set up from.
struct Setup<'a> {
    plan: &'a Plan,
    folder: Folder,
    /// Datagram addresses of the gateways, then of the control servers.
    fleet: Vec<SocketAddr>,
    /// Admin interfaces of the gateways that are processes.
    admin: Vec<SocketAddr>,
    machines: Machines,
    acceptors: Vec<NamedAddress>,
    discovery: Discovery,
    port_claims: Vec<TcpListener>,
}

fn text(error: io::Error) -> String {
    error.to_string()
}

impl<'a> Setup<'a> {
    fn new(plan: &'a Plan) -> Result<Setup<'a>, String> {
        let folder = Folder::new().map_err(text)?;
        let discovery =
            Discovery::start(plan.hosts, plan.group_size, plan.zones, plan.whole).map_err(text)?;
        let Addresses { fleet, mut tcp, claims: port_claims } =
            Addresses::draw(plan.gateways() + plan.control, plan.real + plan.control).map_err(text)?;
        let listeners = tcp.split_off(plan.real);
        let machines = Machines(Arc::new(listeners.into_iter().enumerate().map(control_server).collect()));
        let acceptors = (0..plan.voters).map(|index| acceptor(plan, &fleet, index)).collect();
        Ok(Setup { plan, folder, fleet, admin: tcp, machines, acceptors, discovery, port_claims })
    }

    /// The file of the acceptor with this index, founded; none for whoever is no acceptor.
    fn acceptor_file(&self, index: usize) -> Result<Option<PathBuf>, String> {
        if index >= self.plan.voters {
            return Ok(None);
        }
        let file = self.folder.join(format!("voter-{index}"));
        AcceptorFile::new(&file).create(AcceptorSlot(index as u8)).map_err(text)?;
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

    fn identities(&self, rng: &mut Pcg64Mcg) -> Result<Vec<Identity>, String> {
        let gateways = self.fleet[..self.plan.gateways()].iter().enumerate();
        gateways.map(|(index, address)| self.identity(index, *address, rng.next_u64())).collect()
    }

    fn identity(&self, index: usize, address: SocketAddr, seed: u64) -> Result<Identity, String> {
        let file = if index < self.plan.voting_gateways() { self.acceptor_file(index)? } else { None };
        Ok(Identity {
            index,
            name: gateway_name(index),
            region: self.plan.region(index),
            fleet: self.fleet_options(address, file.clone()),
            file,
            zone: zone_name(self.plan.zone(index)),
            kept: self.folder.join(format!("kept-{index}")),
            seed,
        })
    }

    /// The control servers' processes, with their files written.
    fn control_specs(&self) -> Result<Vec<Spec>, String> {
        let addresses = &self.fleet[self.plan.gateways()..];
        let servers = addresses.iter().zip(self.machines.addresses()).enumerate();
        servers.map(|(index, (address, listen))| self.control_spec(index, *address, listen)).collect()
    }

    fn control_spec(&self, index: usize, address: SocketAddr, listen: SocketAddr) -> Result<Spec, String> {
        let name = control_name(index);
        let folder = self.folder.join(&name);
        let settings = fleet_settings(&self.fleet_options(address, self.acceptor_file(index)?))
            + &self.machines.settings(&zone_name(index), &folder.join("kept"));
        real::lay_out(&folder, None, &settings).map_err(text)?;
        Ok(Spec {
            index,
            who: format!("control machine {index}"),
            program: program(&self.plan.program)?,
            arguments: ["fleet", "control", "--name", &name].map(str::to_string).to_vec(),
            folder,
            admin: listen,
            numbers: [gateway_index, control_index],
        })
    }

    /// The gateways that are processes, with their files written.
    fn gateway_specs(&self, identities: &[Identity]) -> Result<BTreeMap<usize, Spec>, String> {
        let processes = identities[self.plan.simulated..].iter().zip(&self.admin);
        processes
            .map(|(identity, admin)| Ok((identity.index, self.gateway_spec(identity, *admin)?)))
            .collect()
    }

    fn gateway_spec(&self, identity: &Identity, admin: SocketAddr) -> Result<Spec, String> {
        let index = identity.index;
        let folder = self.folder.join(&identity.name);
        let known = self.discovery.known(self.plan.roles);
        let config = configuration(index, self.plan, &admin.to_string(), self.discovery.address, known)?;
        let settings =
            fleet_settings(&identity.fleet) + &self.machines.settings(&identity.zone, &folder.join("kept"));
        real::lay_out(&folder, Some(&config), &settings).map_err(text)?;
        let config = folder.join("config.json").display().to_string();
        Ok(Spec {
            index,
            who: format!("gateway {index}"),
            program: program(&self.plan.program)?,
            arguments: vec!["serve".to_string(), "--config".to_string(), config],
            folder,
            admin,
            numbers: [gateway_index, control_index],
        })
    }

    /// What all simulated gateways share.
    fn common(&self) -> Result<Common, String> {
        let plan = self.plan;
        let addresses = self.fleet[..plan.gateways()].iter().enumerate();
        let groups = plan.hosts.div_ceil(plan.group_size).min(plan.roles);
        let known = self.discovery.known(0);
        Ok(Common {
            gateways: plan.gateways(),
            regions: addresses.map(|(index, address)| (*address, plan.region(index))).collect(),
            apart: AtomicBool::new(false),
            discovery: self.discovery.address,
            configuration: configuration(0, plan, "127.0.0.1:0", self.discovery.address, known)?,
            router: plan.router,
            roles: (0..groups).map(|group| format!("survey/{group}")).collect(),
            machines: self.machines.clone(),
            timeouts: plan.timeouts,
            number: gateway_index,
        })
    }
}

/// The control server with this index, listening there.
fn control_server((index, address): (usize, SocketAddr)) -> control::Place {
    let machine = ControlServerInfo { name: control_name(index), zone: zone_name(index) };
    control::Place { machine, address }
}

/// Acceptors are the first control servers, or the first gateways where there are none.
fn acceptor(plan: &Plan, fleet: &[SocketAddr], index: usize) -> NamedAddress {
    match plan.control {
        0 => NamedAddress { name: gateway_name(index), address: fleet[index] },
        _ => NamedAddress { name: control_name(index), address: fleet[plan.gateways() + index] },
    }
}

/// The threads that simulated gateways run on. An acceptor waits for its disk: each has a thread of its own, as in the
/// program.
fn start_shards(plan: &Plan, common: &Arc<Common>, reports: &Sender<Report>) -> Result<Vec<Shard>, String> {
    let count = plan.voting_gateways().min(plan.simulated) + plan.threads.min(plan.simulated);
    (0..count).map(|_| Shard::start(common.clone(), reports.clone()).map_err(text)).collect()
}

impl<'a> Run<'a> {
    /// Prepares a run; nothing of it acts before [`Run::play`].
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
        let common = Arc::new(setup.common()?);
        let (report_sender, reports) = channel();
        let shards = start_shards(plan, &common, &report_sender)?;
        Ok(Run {
            plan,
            stop,
            progress,
            until: Instant::now() + plan.longest,
            rng,
            targets: 0,
            live: BTreeSet::new(),
            stopped: BTreeSet::new(),
            identities,
            specs,
            reports,
            report_sender,
            outcome: Outcome::default(),
            memory_before: count::resident("self").unwrap_or(0),
            shards,
            processes: BTreeMap::new(),
            control: BTreeMap::new(),
            control_specs,
            versions: control::VersionTracker::default(),
            followed: Followed::default(),
            proposed: 0,
            common,
            discovery: setup.discovery,
            _port_claims: setup.port_claims,
            _folder: setup.folder,
        })
    }
}
