//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

/// Routes reads and writes over replicated database groups.
///
/// Without a command it serves, with the configuration that GW_CONFIG names: this is how the platform
/// starts it. A configuration that cannot be used is named in one line, and the exit status is not zero.
#[derive(Debug, Parser)]
#[command(name = "dunemount", version, args_conflicts_with_subcommands = true, after_help = SIGNALS)]
pub struct Cli {
    /// What to do; serves if there is none.
    #[command(subcommand)]
    pub command: Option<Command>,
    /// How it is served without a command.
    #[command(flatten)]
    pub serve: ServeArgs,
}

const SIGNALS: &str = "\
Signals while it serves:
  SIGTERM, SIGINT  end in good order: clients are taken for 0.5 s more, what is owed is answered
  SIGHUP           read the configuration anew: all of its settings and discovery count at once, or none";

/// What may be asked for.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve in the foreground, logging to standard output, until a signal ends it.
    Serve(ServeArgs),
    /// Read both files, name the first fault with its file and line, and change nothing.
    Check(FileArgs),
    /// What concerns the fleet of gateways that `[fleet]` in the settings names.
    #[command(subcommand)]
    Fleet(FleetCommand),
}

/// What may be asked for of the fleet.
#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Lay out this gateway's file as a voter of a NEW fleet. Never for a voter that has lost its file: the others let
    /// it in again by themselves.
    #[command(name = "found")]
    CreateVoterFile {
        /// The files that name it and its fleet.
        #[command(flatten)]
        files: FileArgs,
        /// The voter's name, where the configuration does not tell it: a control machine has none.
        #[arg(long, value_name = "NAME")]
        name: Option<String>,
    },
    /// Tell what a gateway knows of its fleet: members, voters, roles with their owners and epochs.
    Status {
        /// The gateway's admin_addr.
        #[arg(long, value_name = "ADDRESS:PORT", env = "GW_ADMIN_ADDR")]
        admin: SocketAddr,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Run a control machine, which takes, keeps and gives out the configuration's versions, until a signal ends it.
    Control {
        /// Its name, one of `[control] machines`.
        #[arg(long, value_name = "NAME")]
        name: String,
        /// The settings that name it, the others and the fleet.
        #[command(flatten)]
        settings: SettingsArgs,
        /// Form of the log's lines.
        #[arg(long, value_enum, value_name = "FORM", env = "GW_LOG_FORM", default_value_t = LogFormat::Text)]
        log: LogFormat,
    },
    /// The configuration's versions at the fleet's control machines.
    #[command(subcommand)]
    Config(ConfigCommand),
}

/// What may be asked for of the configuration's versions.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Check a configuration, and have what all gateways share of it become the next version. Exit status 0: accepted;
    /// 1: not; 3: uncertain, `status` tells.
    Put {
        /// A whole configuration, or the part of it that all gateways share.
        file: PathBuf,
        /// The settings that name the control machines.
        #[command(flatten)]
        settings: SettingsArgs,
    },
    /// Print the newest version, or an older one that is still kept.
    Show {
        /// Its number.
        #[arg(long, value_name = "N")]
        number: Option<u64>,
        /// The settings that name the control machines.
        #[command(flatten)]
        settings: SettingsArgs,
    },
    /// Tell which version is the newest, and which gateways have it in force, lag, have refused it or are silent.
    Status {
        /// As JSON.
        #[arg(long)]
        json: bool,
        /// The settings that name the control machines.
        #[command(flatten)]
        settings: SettingsArgs,
    },
}

/// The project's own settings alone.
#[derive(Args, Debug)]
pub struct SettingsArgs {
    /// The project's own settings, an INI file.
    #[arg(long, value_name = "FILE", env = "GW_SETTINGS")]
    pub settings: Option<PathBuf>,
}

/// How to serve.
#[derive(Args, Debug)]
pub struct ServeArgs {
    /// The files to serve with.
    #[command(flatten)]
    pub files: FileArgs,
    /// Form of the log's lines.
    #[arg(long, value_enum, value_name = "FORM", env = "GW_LOG_FORM", default_value_t = LogFormat::Text)]
    pub log: LogFormat,
}

/// The files that a gateway reads.
#[derive(Args, Debug)]
pub struct FileArgs {
    /// The platform's configuration, a JSON file. GW_NAME, GW_LISTEN, GW_ADMIN_ADDR and GW_DISCOVERY
    /// override what it says.
    #[arg(long, value_name = "FILE", env = "GW_CONFIG")]
    pub config: Option<PathBuf>,
    /// The project's own settings, an INI file; without it everything has its default.
    #[arg(long, value_name = "FILE", env = "GW_SETTINGS")]
    pub settings: Option<PathBuf>,
}

/// Forms of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// A line for people: time, level, message, fields.
    Text,
    /// One JSON object a line.
    Json,
}
