//! The dunemount program: reads the command line, runs a command and sets the exit status.

use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;

use clap::Parser;
use dunemount::cli::{Cli, Command, ConfigCommand, FleetCommand, LogFormat};
use dunemount::fleet::rollout::config_command::{CommandError, ConfigClient};
use dunemount::fleet::rollout::control_server;
use dunemount::fleet::status::NodeStatus;
use dunemount::settings_file::SettingsFile;
use dunemount::startup::{self, signals};
use dunemount::{logging, validation};
use serde::Serialize;
use slog::Level;

/// Exit status of what may or may not have been done.
const UNCERTAIN: u8 = 3;

/// Why the program ends without success.
struct Failed {
    /// In words for the operator.
    why: String,
    /// The command may still take effect.
    uncertain: bool,
}

impl From<CommandError> for Failed {
    fn from(error: CommandError) -> Failed {
        Failed { why: error.to_string(), uncertain: error.is_uncertain() }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failed { why, uncertain }) => {
            eprintln!("dunemount: {why}");
            if uncertain {
                eprintln!("dunemount: uncertain: it may still become a version, `fleet config status` tells");
                return ExitCode::from(UNCERTAIN);
            }
            ExitCode::FAILURE
        }
    }
}

fn run(cli: Cli) -> Result<(), Failed> {
    match cli.command {
        None => startup::serve(cli.serve).map_err(failed),
        Some(Command::Serve(args)) => startup::serve(args).map_err(failed),
        Some(Command::Check(files)) => {
            println!("{}", validation::validate(&files).map_err(failed)?);
            Ok(())
        }
        Some(Command::Fleet(command)) => run_fleet_command(command),
    }
}

fn run_fleet_command(command: FleetCommand) -> Result<(), Failed> {
    match command {
        FleetCommand::Found { files, name } => {
            println!("{}", validation::create_voter_file(&files, name.as_deref()).map_err(failed)?);
        }
        FleetCommand::Status { admin, json } => print_as(&NodeStatus::fetch(admin).map_err(failed)?, json),
        FleetCommand::Control { name, settings, log } => {
            run_control_server(name, settings.settings.as_deref(), log)?;
        }
        FleetCommand::Config(command) => run_config_command(command)?,
    }
    Ok(())
}

fn run_config_command(command: ConfigCommand) -> Result<(), Failed> {
    match command {
        ConfigCommand::Put { file, settings } => {
            let version = ConfigClient::from_settings(settings.settings.as_deref())?.put(&file)?;
            println!("version {}, digest {}", version.number, version.digest);
        }
        ConfigCommand::Show { number, settings } => {
            let document = ConfigClient::from_settings(settings.settings.as_deref())?.show(number)?;
            let version = document.version();
            eprintln!("version {}, digest {}", version.number, version.digest);
            println!("{}", String::from_utf8_lossy(document.bytes()));
        }
        ConfigCommand::Status { json, settings } => {
            print_as(&ConfigClient::from_settings(settings.settings.as_deref())?.status()?, json);
        }
    }
    Ok(())
}

fn failed(error: impl Display) -> Failed {
    Failed { why: error.to_string(), uncertain: false }
}

/// Prints for people, or as JSON.
fn print_as(value: &(impl Serialize + Display), json: bool) {
    match json {
        true => println!("{}", serde_json::to_string_pretty(value).unwrap_or_default()),
        false => print!("{value}"),
    }
}

/// Runs a control server until a signal ends it.
fn run_control_server(name: String, settings: Option<&Path>, format: LogFormat) -> Result<(), Failed> {
    let settings_file = SettingsFile::load(settings).map_err(failed)?;
    let start = control_server::Start {
        name: name.clone(),
        file: settings_file.version_file().map_err(failed)?.to_path_buf(),
        start: startup::start_number(),
        seed: startup::random_seed(),
        shutdown: signals::termination().map_err(|e| failed(format!("cannot watch for signals: {e}")))?,
    };
    let (log, _flushed_at_end) = logging::open(name, format, Level::Info);
    control_server::run(&settings_file.settings, start, &log).map_err(failed)
}
