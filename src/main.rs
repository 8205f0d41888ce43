//! The dunemount gateway.

use std::process::ExitCode;

fn main() -> ExitCode {
    eprintln!("dunemount: the gateway does not serve yet");
    ExitCode::FAILURE
}
