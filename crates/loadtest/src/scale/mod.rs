//! `loadtest scale`: simulated gateways and real ones around one stand-in for discovery, what happens to them, what it costs
//! each and how long it takes until the last has acted, held against budgets. `docs/operators/scale-run.md` tells how.

pub mod control;
pub mod convergence;
pub mod count;
pub mod discovery;
pub mod limits;
pub mod plan;
pub mod real;
pub mod report;
pub mod run;
pub mod simulated;

use std::io::{stderr, IsTerminal, Write};
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use signal_hook::consts::{SIGINT, SIGTERM};

/// Plays a file and writes what it gave into a folder: `gateways.csv`, `control.csv`, `events.csv`, `versions.csv`, `budgets.csv`
/// and `events.svg`.
///
/// # Errors
/// The file cannot be used, the machine would not do, or the run broke off: everything that it started has ended then.
pub fn scale(file: &Path, out: &Path) -> Result<(), String> {
    let plan = plan::Plan::load(file)?;
    limits::admit(&plan, limits::Means::to_be_had()).map_err(|what| format!("refused to begin: {what}"))?;
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, stop.clone())
            .map_err(|e| format!("cannot watch for signals: {e}"))?;
    }
    let on_terminal = stderr().is_terminal();
    let (outcome, played) = run::play(&plan, &stop, &mut |line| {
        if on_terminal {
            let _ = write!(stderr(), "\r\x1b[K{line}");
        }
    });
    if on_terminal {
        let _ = writeln!(stderr());
    }
    if outcome.phases.is_empty() {
        return played;
    }
    report::write(&plan, &outcome, out)?;
    print!("{}", report::text(&plan, &outcome));
    played.map_err(|what| format!("{what}; what stands above and in the tables is partial"))
}
