//! The daemon of a host.

use std::path::PathBuf;
use std::process::ExitCode;

use async_std::channel::{bounded, Receiver};
use async_std::task;
use damaskhoist::settings::HostSettings;
use damaskhoist::{telemetry, Host};
use miette::{miette, IntoDiagnostic, Result};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

const HELP: &str = "\
damaskhoistd: the daemon of a host

usage: damaskhoistd --settings FILE

SIGTERM drains the host: it leaves the entries, ends its requests and stops.
A second SIGTERM stops it at once.

example: damaskhoistd --settings examples/settings/santander-1.json
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let file: PathBuf = arguments
        .value_from_str("--settings")
        .map_err(|error| miette!(help = "run damaskhoistd --help", "{error}"))?;
    let settings = HostSettings::read(&file)?;
    telemetry::logs::open(&settings.telemetry.log_level, settings.telemetry.log_format)
        .into_diagnostic()?;
    task::block_on(serve(settings))
}

async fn serve(settings: HostSettings) -> Result<()> {
    let stops = subscribe_stop_signals()?;
    let host = Host::open(settings).await?;
    if let Some(address) = host.caller_address() {
        log::info!("serving callers on {address}");
    }
    log::info!("serving peers on {}", host.peer_address());
    futures::future::select(Box::pin(stops.recv()), Box::pin(host.drain_requested())).await;
    let drain = Box::pin(host.drain());
    let second_stop = Box::pin(stops.recv());
    futures::future::select(drain, second_stop).await;
    log::info!("stopped");
    Ok(())
}

/// Returns a channel that receives one message per SIGTERM or SIGINT.
fn subscribe_stop_signals() -> Result<Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).into_diagnostic()?;
    let (sender, receiver) = bounded(2);
    std::thread::spawn(move || {
        for _ in signals.forever() {
            let _ = sender.send_blocking(());
        }
    });
    Ok(receiver)
}
