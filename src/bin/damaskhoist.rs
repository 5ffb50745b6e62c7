//! The command-line tool for operators and callers.

use std::env;
use std::process::ExitCode;

use damaskhoist::cmd::{self, Console};

fn main() -> ExitCode {
    let arguments = env::args_os().skip(1).collect();
    ExitCode::from(Console::with_process(|console| cmd::run(arguments, console)))
}
