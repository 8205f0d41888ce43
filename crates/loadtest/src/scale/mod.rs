//! `loadtest scale`: runs simulated gateways and gateway processes against one simulated discovery service, plays the
//! events of a plan, measures what each gateway consumes and how long it takes until the last one has acted, and checks
//! the figures against budgets. `docs/operators/scale-run.md` is the manual.

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

/// Executes the plan in `file` and writes the results into the folder `out`: `gateways.csv`, `control.csv`,
/// `events.csv`, `versions.csv`, `budgets.csv` and `events.svg`.
///
/// # Errors
/// The plan is invalid, the machine lacks resources for it, or the run was aborted; everything that it started has
/// ended by then.
pub fn scale(file: &Path, out: &Path) -> Result<(), String> {
    let plan = plan::Plan::load(file)?;
    limits::check_resources(&plan, limits::Resources::available())
        .map_err(|error| format!("refused to start: {error}"))?;
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register(signal, stop.clone())
            .map_err(|e| format!("cannot watch for signals: {e}"))?;
    }
    let on_terminal = stderr().is_terminal();
    let (outcome, result) = run::execute(&plan, &stop, &mut |line| {
        if on_terminal {
            let _ = write!(stderr(), "\r\x1b[K{line}");
        }
    });
    if on_terminal {
        let _ = writeln!(stderr());
    }
    if outcome.phases.is_empty() {
        return result;
    }
    report::write(&plan, &outcome, out)?;
    print!("{}", report::render_text(&plan, &outcome));
    result.map_err(|error| format!("{error}; the results above and in the tables are partial"))
}
