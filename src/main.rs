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

/// Exit status of a command that may or may not take effect.
const EXIT_UNCERTAIN: u8 = 3;

/// Why a command failed.
struct Failure {
    /// The message for the operator.
    message: String,
    /// The command may still take effect.
    uncertain: bool,
}

impl From<CommandError> for Failure {
    fn from(error: CommandError) -> Failure {
        Failure { message: error.to_string(), uncertain: error.is_uncertain() }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure { message, uncertain }) => {
            eprintln!("dunemount: {message}");
            if uncertain {
                eprintln!(
                    "dunemount: uncertain: it may still become a version; check with `fleet config status`"
                );
                return ExitCode::from(EXIT_UNCERTAIN);
            }
            ExitCode::FAILURE
        }
    }
}

fn run(cli: Cli) -> Result<(), Failure> {
    match cli.command {
        None => startup::serve(cli.serve).map_err(failure),
        Some(Command::Serve(args)) => startup::serve(args).map_err(failure),
        Some(Command::Check(files)) => {
            println!("{}", validation::validate(&files).map_err(failure)?);
            Ok(())
        }
        Some(Command::Fleet(command)) => run_fleet_command(command),
    }
}

fn run_fleet_command(command: FleetCommand) -> Result<(), Failure> {
    match command {
        FleetCommand::CreateVoterFile { files, name } => {
            println!("{}", validation::create_voter_file(&files, name.as_deref()).map_err(failure)?);
        }
        FleetCommand::Status { admin, json } => print_as(&NodeStatus::fetch(admin).map_err(failure)?, json),
        FleetCommand::Control { name, settings, log } => {
            run_control_server(name, settings.settings.as_deref(), log)?;
        }
        FleetCommand::Config(command) => run_config_command(command)?,
    }
    Ok(())
}

fn run_config_command(command: ConfigCommand) -> Result<(), Failure> {
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

fn failure(error: impl Display) -> Failure {
    Failure { message: error.to_string(), uncertain: false }
}

/// Prints a value as text, or as JSON.
fn print_as(value: &(impl Serialize + Display), json: bool) {
    match json {
        true => println!("{}", serde_json::to_string_pretty(value).unwrap_or_default()),
        false => print!("{value}"),
    }
}

/// Runs a control server until a signal ends it.
fn run_control_server(name: String, settings: Option<&Path>, format: LogFormat) -> Result<(), Failure> {
    let settings_file = SettingsFile::load(settings).map_err(failure)?;
    let start = control_server::Start {
        name: name.clone(),
        file: settings_file.version_file().map_err(failure)?.to_path_buf(),
        start: startup::start_number(),
        seed: startup::random_seed(),
        shutdown: signals::termination().map_err(|e| failure(format!("cannot watch for signals: {e}")))?,
    };
    let (log, _flushed_at_end) = logging::open(name, format, Level::Info);
    control_server::run(&settings_file.settings, start, &log).map_err(failure)
}
