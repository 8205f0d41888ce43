//! `loadtest`: a load generator with stand-in database hosts on loopback, scale runs and capacity figures.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::{Args, Parser, Subcommand};
use dunemount_loadtest::capacity::commands::{self, CapacityArgs, SlopeArgs};
use dunemount_loadtest::clients::{self, ClientPlan};
use dunemount_loadtest::hosts::{self, HostBehavior, HostGroup};
use serde::Serialize;
use serde_json::json;

/// Plays stand-in hosts and clients around a gateway on this machine.
#[derive(Debug, Parser)]
#[command(name = "loadtest", version)]
struct Cli {
    #[command(subcommand)]
    command: Task,
}

#[derive(Debug, Subcommand)]
enum Task {
    /// One load against one gateway: a table, or JSON.
    Load(Load),
    /// The same load with 1, 2 and 4 workers in turn, several rounds, on the same seeds.
    Cores {
        /// What is played.
        #[command(flatten)]
        load: Load,
        /// Times that all counts are played.
        #[arg(long, default_value_t = 5)]
        rounds: u64,
    },
    /// Hundreds of gateways, what happens to them, and what it costs: docs/operators/scale-run.md.
    Scale {
        /// What is played, as examples/scale.ini.
        file: PathBuf,
        /// Where CSV files and the plot go.
        #[arg(long, default_value = "scale-out")]
        out: PathBuf,
    },
    /// What a size asks of each role, as the tables of the capacity page.
    Capacity(CapacityArgs),
    /// Measures slopes for that.
    Slope(SlopeArgs),
}

#[derive(Args, Clone, Debug)]
struct Load {
    /// The gateway's program.
    #[arg(long, default_value = "target/release/dunemount")]
    gateway: PathBuf,
    /// Worker threads of the gateway.
    #[arg(long, default_value_t = 1)]
    cores: usize,
    /// Families of hosts, of three members each.
    #[arg(long, default_value_t = 8)]
    families: u64,
    /// Client connections.
    #[arg(long, default_value_t = 32)]
    clients: u64,
    /// Requests a second over all clients; 0: each asks again as soon as it is answered.
    #[arg(long, default_value_t = 0.0)]
    rate: f64,
    /// Length of the load.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// For all draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How far replicas are behind, in milliseconds.
    #[arg(long, default_value_t = 20)]
    lag_ms: u64,
    /// Length of a value, in bytes.
    #[arg(long, default_value_t = 100)]
    value: usize,
    /// CPUs for the gateway, as `taskset -c` takes them; everything else stays off them if the loadtest is pinned.
    #[arg(long)]
    gateway_cpus: Option<String>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// Results of one load run. Times are in microseconds.
#[derive(Clone, Debug, Serialize)]
struct Outcome {
    cores: usize,
    seed: u64,
    per_second: f64,
    served: u64,
    refused: u64,
    lost: u64,
    p50: u64,
    p99: u64,
    p999: u64,
    cpu_us_a_request: f64,
    memory_kib: u64,
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Task::Load(load) => run_load(&load).map(|outcome| print_outcomes(&load, &[outcome])),
        Task::Cores { load, rounds } => compare_core_counts(&load, rounds),
        Task::Scale { file, out } => dunemount_loadtest::scale::scale(&file, &out),
        Task::Capacity(args) => commands::run_capacity(&args),
        Task::Slope(args) => commands::run_slope(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("loadtest: {e}");
            ExitCode::FAILURE
        }
    }
}

fn compare_core_counts(load: &Load, rounds: u64) -> Result<(), String> {
    let mut outcomes = Vec::new();
    for round in 0..rounds {
        for cores in [1, 2, 4] {
            outcomes.push(run_load(&Load { cores, seed: load.seed + round, ..load.clone() })?);
        }
    }
    print_outcomes(load, &outcomes);
    Ok(())
}

fn print_outcomes(load: &Load, outcomes: &[Outcome]) {
    if load.json {
        println!(
            "{}",
            json!({ "families": load.families, "clients": load.clients, "rate": load.rate,
            "seconds": load.seconds, "runs": outcomes })
        );
        return;
    }
    println!("cores  seed  served/s  refused  lost  p50 us  p99 us  p99.9 us  CPU us/request  KiB");
    for o in outcomes {
        println!(
            "{:5}  {:4}  {:8.0}  {:7}  {:4}  {:6}  {:6}  {:8}  {:14.1}  {}",
            o.cores,
            o.seed,
            o.per_second,
            o.refused,
            o.lost,
            o.p50,
            o.p99,
            o.p999,
            o.cpu_us_a_request,
            o.memory_kib
        );
    }
}

/// A gateway process that is killed when this value is dropped.
struct GatewayProcess(Child);

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn run_load(load: &Load) -> Result<Outcome, String> {
    let directory = std::env::temp_dir().join(format!("dunemount-loadtest-{}", std::process::id()));
    let error_text = |e: std::io::Error| e.to_string();
    std::fs::create_dir_all(&directory).map_err(error_text)?;
    let behavior = HostBehavior { lag_ms: load.lag_ms, value_bytes: load.value };
    let mut targets = Vec::new();
    for group in 0..load.families {
        let group_state = Arc::new(HostGroup::default());
        for member in 0..3 {
            let address =
                hosts::start_host(group_state.clone(), member == 0, behavior).map_err(error_text)?;
            targets.push(json!({"uid": format!("h-{group}-{member}"), "endpoint": address.to_string(),
                "az": "here", "pod_group": group, "state": "Ready", "capacity_hint": 1.0, "boot_ms": 0,
                "part": if member == 0 { "master" } else { "replica" }}));
        }
    }
    let (mut gateway, address) = start_gateway(load, &directory, &targets)?;
    let result = measure_load(load, address, &mut gateway);
    drop(gateway);
    let _ = std::fs::remove_dir_all(&directory);
    result
}

/// Starts the gateway and waits until it logs that it is listening.
fn start_gateway(
    load: &Load,
    directory: &Path,
    targets: &[serde_json::Value],
) -> Result<(GatewayProcess, SocketAddr), String> {
    let example: serde_json::Value =
        serde_json::from_str(include_str!("../../../examples/config.json")).map_err(|e| e.to_string())?;
    let free_address = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
    let address = free_address.map_err(|e| e.to_string())?;
    let mut config = example;
    config["listen"] = json!(address.to_string());
    config["admin_addr"] = json!("127.0.0.1:0");
    config["discovery"] = json!("127.0.0.1:1");
    config["limits"] = json!({"cores": load.cores, "memory_mb": 512, "sockets": 4096});
    config["known"] = json!({"rev": 1, "all": true, "targets": targets});
    let (file, settings) = (directory.join("config.json"), directory.join("settings.ini"));
    let written = std::fs::write(&file, config.to_string())
        .and_then(|()| std::fs::write(&settings, format!("[cores]\ncount = {}\n", load.cores)));
    written.map_err(|e| e.to_string())?;
    let mut command = match &load.gateway_cpus {
        Some(cpus) => {
            let mut command = Command::new("taskset");
            command.args(["-c", cpus]).arg(&load.gateway);
            command
        }
        None => Command::new(&load.gateway),
    };
    command.arg("serve").arg("--config").arg(&file).arg("--settings").arg(&settings);
    let child = command.env_remove("TMPDIR").stdout(Stdio::piped()).spawn();
    let mut child = child.map_err(|e| format!("{}: {e}", load.gateway.display()))?;
    let lines =
        child.stdout.take().map(BufReader::new).ok_or("the gateway's standard output is not captured")?;
    let mut lines = lines.lines();
    let gateway = GatewayProcess(child);
    if !lines.by_ref().map_while(Result::ok).any(|line| line.contains("listening")) {
        return Err("the gateway closed its output before it logged that it is listening".into());
    }
    // Keep draining the pipe: once it is full, the gateway can write no more log lines.
    std::thread::spawn(move || lines.for_each(drop));
    Ok((gateway, address))
}

fn measure_load(load: &Load, gateway: SocketAddr, process: &mut GatewayProcess) -> Result<Outcome, String> {
    let plan = |client: u64, seconds: f64, seed: u64| ClientPlan {
        gateway,
        rate: load.rate / load.clients as f64,
        duration: Duration::from_secs_f64(seconds),
        groups: load.families,
        seed: seed * 100_000 + client,
    };
    let run_clients = |seconds: f64, seed: u64| -> Result<Vec<clients::ClientResult>, String> {
        let threads: Vec<_> = (0..load.clients)
            .map(|client| plan(client, seconds, seed))
            .map(|plan| std::thread::spawn(move || clients::run(plan)))
            .collect();
        let client_results = threads.into_iter().map(|thread| {
            thread.join().map_err(|_| "a client thread panicked".to_string())?.map_err(|e| e.to_string())
        });
        client_results.collect()
    };
    // Warm up without counting, so that connections are open and log positions are known.
    run_clients(1.0, load.seed + 1_000)?;
    let (cpu_before, start) = (cpu_us(process.0.id()), Instant::now());
    let results = run_clients(load.seconds, load.seed)?;
    let (cpu, elapsed) = (cpu_us(process.0.id()) - cpu_before, start.elapsed().as_secs_f64());
    let mut latency = results[0].latency.clone();
    for other in &results[1..] {
        latency.add(&other.latency).map_err(|e| e.to_string())?;
    }
    let sum = |field: fn(&clients::ClientResult) -> u64| results.iter().map(field).sum::<u64>();
    let (served, refused, lost) = (sum(|s| s.served), sum(|s| s.refused), sum(|s| s.lost));
    let percentile = |quantile: f64| latency.value_at_quantile(quantile);
    let _ = std::io::stdout().flush();
    Ok(Outcome {
        cores: load.cores,
        seed: load.seed,
        per_second: served as f64 / elapsed,
        served,
        refused,
        lost,
        p50: percentile(0.5),
        p99: percentile(0.99),
        p999: percentile(0.999),
        cpu_us_a_request: cpu / (served + refused).max(1) as f64,
        memory_kib: memory_kib(process.0.id()),
    })
}

/// CPU time that a process has used, in microseconds, at the resolution of the kernel's clock ticks (10 ms).
fn cpu_us(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) * 10_000.0
}

/// Peak resident memory of a process, in KiB.
fn memory_kib(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
