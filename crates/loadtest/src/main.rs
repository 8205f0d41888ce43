//! `loadtest`: a small model of what dunemount balances, on loopback, with a load generator.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::{Args, Parser, Subcommand};
use dunemount_loadtest::capacity::commands::{self, Capacity, Slope};
use dunemount_loadtest::clients::{self, Plan};
use dunemount_loadtest::hosts::{self, Family, Manner};
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
    Capacity(Capacity),
    /// Measures slopes for that.
    Slope(Slope),
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

/// What a load came to. Times in microseconds.
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
    let done = match Cli::parse().command {
        Task::Load(load) => play(&load).map(|outcome| print(&load, &[outcome])),
        Task::Cores { load, rounds } => compare(&load, rounds),
        Task::Scale { file, out } => dunemount_loadtest::scale::scale(&file, &out),
        Task::Capacity(given) => commands::capacity(&given),
        Task::Slope(given) => commands::slope(&given),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("loadtest: {e}");
            ExitCode::FAILURE
        }
    }
}

fn compare(load: &Load, rounds: u64) -> Result<(), String> {
    let mut outcomes = Vec::new();
    for round in 0..rounds {
        for cores in [1, 2, 4] {
            outcomes.push(play(&Load { cores, seed: load.seed + round, ..load.clone() })?);
        }
    }
    print(load, &outcomes);
    Ok(())
}

fn print(load: &Load, outcomes: &[Outcome]) {
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

/// A gateway that ends with the loadtest.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn play(load: &Load) -> Result<Outcome, String> {
    let folder = std::env::temp_dir().join(format!("dunemount-loadtest-{}", std::process::id()));
    let said = |e: std::io::Error| e.to_string();
    std::fs::create_dir_all(&folder).map_err(said)?;
    let manner = Manner { lag_ms: load.lag_ms, value: load.value };
    let mut targets = Vec::new();
    for family in 0..load.families {
        let shared = Arc::new(Family::default());
        for member in 0..3 {
            let address = hosts::start(shared.clone(), member == 0, manner).map_err(said)?;
            targets.push(json!({"uid": format!("h-{family}-{member}"), "endpoint": address.to_string(),
                "az": "here", "pod_group": family, "state": "Ready", "capacity_hint": 1.0, "boot_ms": 0,
                "part": if member == 0 { "master" } else { "replica" }}));
        }
    }
    let (mut gateway, address) = start(load, &folder, &targets)?;
    let result = drive(load, address, &mut gateway);
    drop(gateway);
    let _ = std::fs::remove_dir_all(&folder);
    result
}

/// Starts the gateway and waits until it listens.
fn start(load: &Load, folder: &Path, targets: &[serde_json::Value]) -> Result<(Running, SocketAddr), String> {
    let example: serde_json::Value =
        serde_json::from_str(include_str!("../../../examples/config.json")).map_err(|e| e.to_string())?;
    let free = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
    let address = free.map_err(|e| e.to_string())?;
    let mut config = example;
    config["listen"] = json!(address.to_string());
    config["admin_addr"] = json!("127.0.0.1:0");
    config["discovery"] = json!("127.0.0.1:1");
    config["limits"] = json!({"cores": load.cores, "memory_mb": 512, "sockets": 4096});
    config["known"] = json!({"rev": 1, "all": true, "targets": targets});
    let (file, settings) = (folder.join("config.json"), folder.join("settings.ini"));
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
    let lines = child.stdout.take().map(BufReader::new).ok_or("no output")?;
    let mut lines = lines.lines();
    let running = Running(child);
    if !lines.by_ref().map_while(Result::ok).any(|line| line.contains("listening")) {
        return Err("the gateway did not start".into());
    }
    // What it says later is read away, or it would stop saying it.
    std::thread::spawn(move || lines.for_each(drop));
    Ok((running, address))
}

fn drive(load: &Load, gateway: SocketAddr, running: &mut Running) -> Result<Outcome, String> {
    let plan = |client: u64, seconds: f64, seed: u64| Plan {
        gateway,
        rate: load.rate / load.clients as f64,
        time: Duration::from_secs_f64(seconds),
        families: load.families,
        seed: seed * 100_000 + client,
    };
    let all = |seconds: f64, seed: u64| -> Result<Vec<clients::Seen>, String> {
        let threads: Vec<_> = (0..load.clients)
            .map(|client| plan(client, seconds, seed))
            .map(|plan| std::thread::spawn(move || clients::play(plan)))
            .collect();
        let ended = threads.into_iter().map(|thread| {
            thread.join().map_err(|_| "a client panicked".to_string())?.map_err(|e| e.to_string())
        });
        ended.collect()
    };
    // Connections come up and positions are learned before anything counts.
    all(1.0, load.seed + 1_000)?;
    let (cpu, from) = (cpu_us(running.0.id()), Instant::now());
    let seen = all(load.seconds, load.seed)?;
    let (cpu, took) = (cpu_us(running.0.id()) - cpu, from.elapsed().as_secs_f64());
    let mut latency = seen[0].latency.clone();
    for other in &seen[1..] {
        latency.add(&other.latency).map_err(|e| e.to_string())?;
    }
    let sum = |of: fn(&clients::Seen) -> u64| seen.iter().map(of).sum::<u64>();
    let (served, refused, lost) = (sum(|s| s.served), sum(|s| s.refused), sum(|s| s.lost));
    let at = |quantile: f64| latency.value_at_quantile(quantile);
    let _ = std::io::stdout().flush();
    Ok(Outcome {
        cores: load.cores,
        seed: load.seed,
        per_second: served as f64 / took,
        served,
        refused,
        lost,
        p50: at(0.5),
        p99: at(0.99),
        p999: at(0.999),
        cpu_us_a_request: cpu / (served + refused).max(1) as f64,
        memory_kib: memory_kib(running.0.id()),
    })
}

/// CPU time of a process so far, in microseconds, at the resolution of the kernel's clock ticks (10 ms).
fn cpu_us(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) * 10_000.0
}

fn memory_kib(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
