//! The commands `loadtest capacity` and `loadtest slope`.

use std::path::{Path, PathBuf};

use clap::{Args, ValueEnum};
use dunemount::text_file::{self, LineError};

use super::measure::{self, Setup};
use super::page::{self, InputTexts, Inputs};
use super::slopes::{Point, Slopes, SLOPE_KINDS};

/// What a size is worked out from.
#[derive(Args, Clone, Debug)]
pub struct CapacityArgs {
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
pub enum Measurement {
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
pub struct SlopeArgs {
    /// The measurement.
    #[arg(value_enum)]
    what: Measurement,
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

/// Prints the tables, or updates them in a page.
///
/// # Errors
/// The file, the line and the cause of an invalid input, or a file that cannot be read or written.
pub fn run_capacity(args: &CapacityArgs) -> Result<(), String> {
    let names =
        [&args.size, &args.slopes, &args.formulas, &args.budgets].map(|path| path.display().to_string());
    let texts = [read(&args.size)?, read(&args.slopes)?, read(&args.formulas)?, read(&args.budgets)?];
    let file = |index: usize| (names[index].as_str(), texts[index].as_str());
    let inputs =
        Inputs::read(&InputTexts { size: file(0), slopes: file(1), formulas: file(2), budgets: file(3) })?;
    let tables = inputs.tables()?;
    match &args.page {
        Some(path) => {
            let updated = page::update(&read(path)?, &tables);
            write(path, &updated.map_err(|error| error.in_file(path).to_string())?)
        }
        None => {
            for (name, table) in tables {
                println!("{name}\n\n{table}");
            }
            Ok(())
        }
    }
}

/// Runs measurements and rewrites the slopes file after each of them.
///
/// # Errors
/// The measurement or the file that failed, and the cause; the results of earlier measurements are already in the file.
pub fn run_slope(args: &SlopeArgs) -> Result<(), String> {
    let setup = Setup {
        rounds: args.rounds,
        largest: args.largest,
        gateway: args.gateway.clone(),
        disk: args.disk.clone(),
    };
    let measurements =
        Measurement::value_variants().iter().filter(|measurement| **measurement != Measurement::All);
    for measurement in
        measurements.filter(|measurement| args.what == Measurement::All || **measurement == args.what)
    {
        let points = match measurement {
            Measurement::Lists => measure::lists::measure(&setup),
            Measurement::Clients => measure::clients::measure(&setup),
            Measurement::Statements => measure::statements::measure(&setup),
            Measurement::Reconnects => measure::reconnects::measure(&setup),
            Measurement::Voter => measure::voter::measure(&setup),
            Measurement::Members => measure::members::measure(&setup),
            Measurement::Pools => measure::pools::measure(&setup),
            Measurement::Reload => measure::reload::measure(&setup),
            Measurement::All => Ok(Vec::new()),
        }?;
        print_points(&points);
        let existing = if args.slopes.exists() { read(&args.slopes)? } else { String::new() };
        let file_error = |error: LineError<String>| error.in_file(&args.slopes).to_string();
        let mut slopes = Slopes::read(&existing).map_err(file_error)?;
        slopes.replace(points);
        write(&args.slopes, &slopes.write()?)?;
    }
    Ok(())
}

fn read(path: &Path) -> Result<String, String> {
    text_file::read(path).map_err(|error| error.to_string())
}

fn print_points(points: &[Point]) {
    for point in points {
        let unit = SLOPE_KINDS.iter().find(|kind| kind.name == point.slope).map_or("", |kind| kind.unit);
        let [size, least, median, most] =
            [point.size, point.least, point.median, point.most].map(page::format_number);
        println!("{:24} {size:>8}  {least:>12} {median:>12} {most:>12} {unit}", point.slope);
    }
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("cannot write {}: {e}", path.display()))
}
