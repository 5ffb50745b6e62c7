use std::io::{self, BufRead, IsTerminal, Write};

use crate::cmd::Failure;

/// Where a command reads and writes; tests put buffers in its place.
pub struct Console<'a> {
    /// Results.
    pub out: &'a mut dyn Write,
    /// Progress and errors.
    pub err: &'a mut dyn Write,
    /// Standard input.
    pub input: &'a mut dyn BufRead,
    /// Progress is redrawn in place.
    pub is_terminal: bool,
}

impl Console<'_> {
    /// Runs `work` with the console of the process.
    pub fn with_process<T>(work: impl FnOnce(&mut Console) -> T) -> T {
        let mut input = io::stdin().lock();
        let (mut out, mut err) = (io::stdout(), io::stderr());
        let is_terminal = err.is_terminal() && input.is_terminal();
        work(&mut Console { out: &mut out, err: &mut err, input: &mut input, is_terminal })
    }

    /// Writes a line of the result.
    pub fn line(&mut self, text: &str) -> Result<(), Failure> {
        self.write(text.as_bytes())?;
        self.write(b"\n")
    }

    /// Writes a part of the result and shows it at once.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), Failure> {
        self.out.write_all(bytes).and_then(|()| self.out.flush()).map_err(output_failure)
    }

    /// Writes a line of progress; nobody waits for it, so a failure is left aside.
    pub fn note(&mut self, text: &str) {
        let _ = writeln!(self.err, "{text}");
    }

    /// Replaces the line of progress on a terminal.
    pub fn redraw(&mut self, text: &str) {
        let _ = write!(self.err, "\r\x1b[2K{text}").and_then(|()| self.err.flush());
    }
}

fn output_failure(error: io::Error) -> Failure {
    Failure::failed(format!("cannot write the result: {error}"), "check where the output goes")
}
