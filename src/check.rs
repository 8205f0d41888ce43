//! Reads both files as a start would, and says what is wrong with them.

use std::path::Path;
use std::time::{Duration, Instant};

use dunemount_fleet::register::AcceptorSlot;

use crate::cli::Files;
use crate::config::{self, InForce, Taken};
use crate::fault::Fault;
use crate::fleet::file::VoterFile;
use crate::options::Options;
use crate::settings::Zones;
use crate::shortage::{may_pass, retry, START_PATIENCE};

/// Reads the project's own settings; without a file everything has its default.
pub fn options(path: Option<&Path>) -> Result<Options, String> {
    let Some(path) = path else { return Ok(Options::default()) };
    Options::read(&read_within(START_PATIENCE, path)?).map_err(|fault| fault.of(&path.display().to_string()))
}

/// Reads a file whole.
pub fn read(path: &Path) -> Result<String, String> {
    read_once(path).map_err(|fault| fault.what)
}

/// Reads a file whole, and tells whether it may be read later where it cannot be now.
pub fn read_once(path: &Path) -> Result<String, Fault> {
    std::fs::read_to_string(path).map_err(|e| Fault::unread(path, &e))
}

/// Reads a file whole; one that cannot be read at this moment is tried again for so long.
pub fn read_within(patience: Duration, path: &Path) -> Result<String, String> {
    let step = || std::fs::read_to_string(path);
    retry(Instant::now() + patience, may_pass, step).map_err(|e| Fault::unread(path, &e).what)
}

/// Reads both files and changes nothing: one line on what they hold, or on the first fault.
pub fn check(files: &Files) -> Result<String, String> {
    let path = files.config.as_deref().ok_or("--config or GW_CONFIG must name the configuration")?;
    let text = read(path)?;
    let fault = |fault: Fault| fault.of(&path.display().to_string());
    let taken = InForce::default().take(text.clone(), &mut Zones::default()).map_err(fault)?;
    let Taken { file, site, .. } = taken;
    let addresses = [("listen", Some(&file.listen)), ("admin_addr", file.admin_addr.as_ref())];
    for (name, address) in addresses {
        let address = address.map(|text| config::address(name, text)).transpose();
        address.map_err(|what| fault(Fault::at(config::line_of(&text, name), what)))?;
    }
    let options = options(files.settings.as_deref())?;
    options.fleet.voter(&file.name)?;
    follows(&options, files.settings.as_deref())?;
    takes(&options, files.settings.as_deref(), &file.name)?;
    let (classes, hosts) = (site.classes.len(), file.known.len());
    Ok(format!("usable: {classes} classes, {hosts} hosts known, {} cores", options.cores))
}

/// A gateway's zone and file for the configuration's versions, by the settings that were read from this path; none if
/// these name no control machines.
pub fn follows<'a>(options: &'a Options, path: Option<&Path>) -> Result<Option<(&'a str, &'a Path)>, String> {
    options.control.follows().map_err(|fault| of_settings(fault, path))
}

/// Whether the control machines, if the settings of this path name some, take a gateway of this name.
pub fn takes(options: &Options, path: Option<&Path>, name: &str) -> Result<(), String> {
    options.control.takes(name).map_err(|fault| of_settings(fault, path))
}

/// Where a control machine keeps versions, by the settings that were read from this path.
pub fn kept<'a>(options: &'a Options, path: Option<&Path>) -> Result<&'a Path, String> {
    options.control.kept().map_err(|fault| of_settings(fault, path))
}

fn of_settings(fault: Fault, path: Option<&Path>) -> String {
    fault.of(&path.unwrap_or(Path::new("")).display().to_string())
}

/// Lays out the file of a voter of a new fleet, whose name the configuration tells unless it is given.
pub fn found(files: &Files, name: Option<&str>) -> Result<String, String> {
    let name = match name {
        Some(name) => name.to_string(),
        None => configured_name(files)?,
    };
    let fleet = options(files.settings.as_deref())?.fleet;
    let voter = fleet.voter(&name)?;
    let (place, file) = voter.ok_or(format!("{name} is none of the voters that [fleet] names"))?;
    let done = VoterFile::at(file).found(AcceptorSlot(place as u8));
    done.map_err(|e| format!("cannot lay out {}: {e}", file.display()))?;
    Ok(format!("{}: laid out for voter {place} of a new fleet", file.display()))
}

fn configured_name(files: &Files) -> Result<String, String> {
    let path = files.config.as_deref().ok_or("--config or GW_CONFIG must name the configuration")?;
    let fault = |fault: Fault| fault.of(&path.display().to_string());
    let taken = InForce::default().take(read(path)?, &mut Zones::default()).map_err(fault)?;
    Ok(std::env::var("GW_NAME").unwrap_or(taken.file.name))
}
