//! Runs one stand-in upstream until it is told to stop.

use std::io;
use std::os::unix::net::UnixStream;
use std::process::ExitCode;
use std::time::Duration;

use async_std::io::ReadExt;
use async_std::{future, task};
use miette::{IntoDiagnostic, Result};
use pico_args::Arguments;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

use standin::{Engine, EngineOptions};

const USAGE: &str = "usage: standin-engine --service NAME --entry ADDR [--entry ADDR] \
[--listen ADDR] [--zone Z] [--region R] [--slots N] [--model M] [--token-time-us N] [--plain] \
[--run-for-s N]";

fn main() -> ExitCode {
    match run(Arguments::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:?}\n{USAGE}");
            ExitCode::FAILURE
        }
    }
}

fn run(mut arguments: Arguments) -> Result<()> {
    let run_for_s: Option<u64> = arguments.opt_value_from_str("--run-for-s").into_diagnostic()?;
    let options = parse(&mut arguments).into_diagnostic()?;
    let unknown = arguments.finish();
    if !unknown.is_empty() {
        return Err(miette::miette!("unknown arguments: {unknown:?}"));
    }
    let signals = stop_signals().into_diagnostic()?;
    let engine = Engine::bind(options).into_diagnostic()?;
    println!("{} listens on {}", engine.upstream_id(), engine.address());
    task::block_on(async {
        wait_for_stop(signals, run_for_s).await;
        engine.drain().await;
        engine.close().await;
    });
    Ok(())
}

fn parse(arguments: &mut Arguments) -> Result<EngineOptions, pico_args::Error> {
    let service: String = arguments.value_from_str("--service")?;
    let mut options = if arguments.contains("--plain") {
        EngineOptions::for_plain_service(&service)
    } else {
        let model: Option<String> = arguments.opt_value_from_str("--model")?;
        EngineOptions::for_service(&service, model.as_deref().unwrap_or(&service))
    };
    options.entry_addresses = arguments.values_from_str("--entry")?;
    let listen: Option<String> = arguments.opt_value_from_str("--listen")?;
    options.listen_address = listen.unwrap_or(options.listen_address);
    options.zone = arguments.opt_value_from_str("--zone")?.unwrap_or_default();
    options.region = arguments.opt_value_from_str("--region")?.unwrap_or_default();
    options.slots = arguments.opt_value_from_str("--slots")?.unwrap_or(options.slots);
    let token_time_us = arguments.opt_value_from_str("--token-time-us")?;
    options.token_time_us = token_time_us.unwrap_or(options.token_time_us);
    Ok(options)
}

/// Stream that gets a byte for each SIGTERM and SIGINT.
fn stop_signals() -> io::Result<UnixStream> {
    let (receiver, sender) = UnixStream::pair()?;
    pipe::register(SIGTERM, sender.try_clone()?)?;
    pipe::register(SIGINT, sender)?;
    Ok(receiver)
}

async fn wait_for_stop(signals: UnixStream, run_for_s: Option<u64>) {
    let mut signals = async_std::os::unix::net::UnixStream::from(signals);
    let mut byte = [0];
    let signal = signals.read_exact(&mut byte);
    let Some(run_for_s) = run_for_s else {
        let _ = signal.await;
        return;
    };
    let _ = future::timeout(Duration::from_secs(run_for_s), signal).await;
}
