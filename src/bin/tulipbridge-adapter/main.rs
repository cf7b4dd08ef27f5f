//! Connects the decision module to a test bench: reads one batch of events per line from standard
//! input, and writes one line with the resulting actions for each batch. The adapter itself makes
//! no decisions.

mod error;
mod instance;
mod json;
mod request_registry;
mod session;
mod vocabulary;

use std::io::{BufRead, Write};
use std::process::ExitCode;

use crate::error::AdapterError;
use crate::session::Session;

/// Exit code after an error.
const EXIT_ERROR: u8 = 2;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tulipbridge-adapter: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

fn run() -> Result<(), AdapterError> {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut session = Session::default();
    let mut line = Vec::new();
    let mut number = 0u64;
    loop {
        line.clear();
        number += 1;
        let length = input.read_until(b'\n', &mut line);
        let length = length.map_err(|source| AdapterError::Read {
            line: number,
            source,
        })?;
        if length == 0 {
            return Ok(());
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let reply = session.process_batch(&mut line);
        let reply = reply.map_err(|source| AdapterError::Line {
            line: number,
            source,
        })?;
        let written = output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush());
        written.map_err(AdapterError::Write)?;
    }
}
