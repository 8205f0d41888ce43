//! `loadtest capacity` and `loadtest slope`.

use std::path::{Path, PathBuf};

use clap::{Args, ValueEnum};
use dunemount::text_file::{self, LineError};

use super::measure::{self, Setup};
use super::page::{self, Inputs, Texts};
use super::slopes::{Point, Slopes, KINDS};

/// What a size is worked out from.
#[derive(Args, Clone, Debug)]
pub struct Capacity {
    /// The size.
    #[arg(default_value = "docs/capacity/size.ini")]
    size: PathBuf,
    /// The slopes as they were measured.
    #[arg(long, default_value = "docs/capacity/slopes.csv")]
    slopes: PathBuf,
    /// The formulas.
    #[arg(long, default_value = "docs/capacity/formulas.csv")]
    formulas: PathBuf,
    /// The budgets.
    #[arg(long, default_value = "docs/capacity/budgets.csv")]
    budgets: PathBuf,
    /// Put the tables between their marks in this page, and print nothing.
    #[arg(long)]
    page: Option<PathBuf>,
}

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum What {
    /// A whole list and changes of it, positions, an idle router's survey.
    Lists,
    /// A gateway's idle clients, and clients that connect at once.
    Clients,
    /// Processor time at rates of statements.
    Statements,
    /// How often clients find their connection closed.
    Reconnects,
    /// A voter's file.
    Voter,
    /// Membership in virtual time.
    Members,
    /// Connections to hosts, probes and subsets, with a router in virtual time.
    Pools,
    /// A gateway's SIGHUP, and its memory against hosts.
    Reload,
    /// All of them, one after the other.
    All,
}

/// What to measure, and where to.
#[derive(Args, Clone, Debug)]
pub struct Slope {
    /// The measurement.
    #[arg(value_enum)]
    what: What,
    /// The file whose slopes of the same names are replaced.
    #[arg(long, default_value = "docs/capacity/slopes.csv")]
    slopes: PathBuf,
    /// Rounds at each size.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u32).range(1..=100))]
    rounds: u32,
    /// Leave out sizes of membership above this: the largest takes minutes.
    #[arg(long, default_value_t = usize::MAX)]
    largest: usize,
    /// The gateway's program.
    #[arg(long, default_value = "target/release/dunemount")]
    gateway: PathBuf,
    /// A folder on the disk that a voter's file would have.
    #[arg(long, default_value = "target")]
    disk: PathBuf,
}

/// Prints the tables, or renews a page.
///
/// # Errors
/// File, place and cause of what is wrong.
pub fn capacity(given: &Capacity) -> Result<(), String> {
    let names =
        [&given.size, &given.slopes, &given.formulas, &given.budgets].map(|path| path.display().to_string());
    let texts = [read(&given.size)?, read(&given.slopes)?, read(&given.formulas)?, read(&given.budgets)?];
    let text = |at: usize| (names[at].as_str(), texts[at].as_str());
    let inputs =
        Inputs::read(&Texts { size: text(0), slopes: text(1), formulas: text(2), budgets: text(3) })?;
    let tables = inputs.tables()?;
    match &given.page {
        Some(path) => {
            let renewed = page::renew(&read(path)?, &tables);
            write(path, &renewed.map_err(|fault| fault.in_file(path).to_string())?)
        }
        None => {
            for (name, table) in tables {
                println!("{name}\n\n{table}");
            }
            Ok(())
        }
    }
}

/// Measures and writes the slopes file anew after each measurement.
///
/// # Errors
/// Place and cause of what went wrong; what was measured before is written.
pub fn slope(given: &Slope) -> Result<(), String> {
    let setup = Setup {
        rounds: given.rounds,
        largest: given.largest,
        gateway: given.gateway.clone(),
        disk: given.disk.clone(),
    };
    let each = What::value_variants().iter().filter(|what| **what != What::All);
    for what in each.filter(|what| given.what == What::All || **what == given.what) {
        let points = match what {
            What::Lists => measure::lists::measure(&setup),
            What::Clients => measure::clients::measure(&setup),
            What::Statements => measure::statements::measure(&setup),
            What::Reconnects => measure::reconnects::measure(&setup),
            What::Voter => measure::voter::measure(&setup),
            What::Members => measure::members::measure(&setup),
            What::Pools => measure::pools::measure(&setup),
            What::Reload => measure::reload::measure(&setup),
            What::All => Ok(Vec::new()),
        }?;
        print(&points);
        let known = if given.slopes.exists() { read(&given.slopes)? } else { String::new() };
        let fault = |fault: LineError<String>| fault.in_file(&given.slopes).to_string();
        let mut slopes = Slopes::read(&known).map_err(fault)?;
        slopes.renew(points);
        write(&given.slopes, &slopes.write()?)?;
    }
    Ok(())
}

fn read(path: &Path) -> Result<String, String> {
    text_file::read(path).map_err(|error| error.to_string())
}

fn print(points: &[Point]) {
    for point in points {
        let unit = KINDS.iter().find(|kind| kind.name == point.slope).map_or("", |kind| kind.unit);
        let [size, least, median, most] =
            [point.size, point.least, point.median, point.most].map(page::number);
        println!("{:24} {size:>8}  {least:>12} {median:>12} {most:>12} {unit}", point.slope);
    }
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("cannot write {}: {e}", path.display()))
}
