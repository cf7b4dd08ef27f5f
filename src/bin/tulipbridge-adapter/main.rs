//! Carries the bench's wire to the library and back. No decision is made here.

mod wire;

use std::io::{BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("tulipbridge-adapter: {why}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut link = wire::Link::default();
    let mut line = Vec::new();
    let mut number = 0u64;
    loop {
        line.clear();
        number += 1;
        let got =
            input.read_until(b'\n', &mut line).map_err(|e| format!("line {number}: cannot read: {e}"))?;
        if got == 0 {
            return Ok(());
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let reply = link.batch(&mut line).map_err(|e| format!("line {number}: {e}"))?;
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|e| format!("cannot write: {e}"))?;
    }
}
