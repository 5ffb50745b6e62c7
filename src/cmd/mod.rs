//! The command line of operators and callers: one file per subcommand.
//!
//! Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused by the system, 4 no host reachable.

use std::ffi::OsString;

use async_std::task;
use miette::{GraphicalReportHandler, GraphicalTheme};
use pico_args::Arguments;

mod ask;
mod batch_file;
mod call;
mod check_settings;
mod config;
mod config_edits;
mod console;
mod drain;
mod due_time;
mod entries;
mod entry_client;
mod explain;
mod failure;
mod help;
mod job;
mod job_status;
mod json_lines;
mod json_view;
mod options;
mod placement;
mod progress;
mod query;
mod refusal;
mod reply;
mod results;
mod server_events;
mod span_line;
mod span_tree;
mod status;
mod submit;
mod text_table;
mod trace;
mod watch;

pub use call::Call;
pub use console::Console;
pub use entry_client::EntryClient;
pub use failure::{Failure, FailureKind};
pub use options::{Options, OutputFormat};
pub use refusal::Refusal;
pub use reply::Reply;
pub use text_table::TextTable;

/// Runs the command line without the program's name and returns the exit code.
pub fn run(arguments: Vec<OsString>, console: &mut Console) -> u8 {
    let mut arguments = Arguments::from_vec(arguments);
    let is_help = arguments.contains(["-h", "--help"]);
    let outcome = match arguments.subcommand() {
        Ok(None) => console.line(help::OVERVIEW),
        Ok(Some(name)) if name == "help" => help::run(arguments, console),
        Ok(Some(name)) if is_help => help::show(&name, console),
        Ok(Some(name)) => task::block_on(dispatch(&name, arguments, console)),
        Err(error) => Err(error.into()),
    };
    let Err(failure) = outcome else { return 0 };
    report(&failure, console);
    failure.kind.exit_code()
}

async fn dispatch(
    name: &str,
    arguments: Arguments,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    match name {
        "entries" => entries::run(arguments, console).await,
        "ask" => ask::run(arguments, console).await,
        "submit" => submit::run(arguments, console).await,
        "job" => job::run(arguments, console).await,
        "results" => results::run(arguments, console).await,
        "config" => config::run(arguments, console).await,
        "query" => query::run(arguments, console).await,
        "drain" => drain::run(arguments, console).await,
        "status" => status::run(arguments, console).await,
        "trace" => trace::run(arguments, console),
        "placement" => placement::run(arguments, console).await,
        "explain" => explain::run(arguments, console),
        "check-settings" => check_settings::run(arguments, console),
        other => Err(help::unknown(other)),
    }
}

/// Prints a failure, with colours only on a terminal.
fn report(failure: &Failure, console: &mut Console) {
    let theme = match console.is_terminal {
        true => GraphicalTheme::unicode(),
        false => GraphicalTheme::none(),
    };
    let mut text = String::new();
    let handler = GraphicalReportHandler::new_themed(theme).with_width(100);
    if handler.render_report(&mut text, failure).is_err() {
        text = failure.to_string();
    }
    console.note(text.trim_end());
}
