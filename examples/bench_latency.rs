//! Latency that a host adds to a request, against calling the stand-in engine directly: time to
//! the first byte of the answer and time of a whole short answer, one request at a time and at
//! half of the highest rate, and the highest rate through one host.
//!
//! All parts share one process and its cores. Run with `--release`; `--seconds N` sets the length
//! of each of the runs.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use damaskhoist::settings::HostSettings;
use damaskhoist::Host;
use futures::AsyncReadExt;
use hdrhistogram::Histogram;
use miette::{ensure, miette, IntoDiagnostic, Result};
use serde_json::json;
use standin::{Caller, Engine, EngineOptions};

const MODEL: &str = "engraver-llm";
const PATH: &str = "/v1/completions";
const TOKENS: u32 = 4;
/// Callers that together find the highest rate.
const SATURATING_CALLERS: usize = 64;
/// Slots of the engine, so that no request waits for one.
const SLOTS: u32 = 4_096;
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Microseconds of many requests.
struct Times {
    first_byte: Histogram<u64>,
    whole: Histogram<u64>,
}

fn main() -> Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let seconds = arguments.opt_value_from_str("--seconds").into_diagnostic()?.unwrap_or(5);
    task::block_on(run(Duration::from_secs(seconds)))
}

async fn run(length: Duration) -> Result<()> {
    let folder = tempfile::tempdir().into_diagnostic()?;
    let mut settings = HostSettings::loopback("bench-1", "santander", "cantabria");
    settings.control.data_folder = folder.path().to_path_buf();
    let host = Host::open(settings).await?;
    let address = host.caller_address().ok_or_else(|| miette!("no entry role"))?;
    let mut options = EngineOptions::for_service("engraving", MODEL);
    options.entry_addresses = vec![address.to_string()];
    (options.token_time_us, options.prefill_time_us_per_token) = (0, 0);
    options.slots = SLOTS;
    let engine = Engine::bind(options).into_diagnostic()?;
    wait_until_ready(address).await?;
    let direct = engine.address();

    for (name, target) in [("direct", direct), ("host", address)] {
        // Warms up connections and averages.
        at_rate(target, 50.0, Duration::from_secs(1)).await?;
        print(name, "one at a time", &one_at_a_time(target, length).await?);
    }
    let highest = highest_rate(address, length).await?;
    println!("host: {highest:.0} requests/s with {SATURATING_CALLERS} callers");
    for (name, target) in [("direct", direct), ("host", address)] {
        let times = at_rate(target, highest / 2.0, length).await?;
        print(name, &format!("at {:.0} requests/s", highest / 2.0), &times);
    }
    engine.close().await;
    host.close().await;
    Ok(())
}

async fn wait_until_ready(address: SocketAddr) -> Result<()> {
    let started = Instant::now();
    while request(address).await.is_err() {
        ensure!(started.elapsed() < READY_TIMEOUT, "the host does not serve the model");
        task::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

/// One streamed request; gives the times to its first byte and to its end.
async fn request(address: SocketAddr) -> Result<(Duration, Duration)> {
    let body = json!({"model": MODEL, "prompt": "a bell", "max_tokens": TOKENS, "stream": true});
    let started = Instant::now();
    let call = Caller::open(address);
    let call = call.open_call("POST", PATH, &[], body.to_string().as_bytes()).await;
    let mut response = call.into_diagnostic()?;
    let mut bytes = vec![0; 1];
    response.read_exact(&mut bytes).await.into_diagnostic()?;
    let first_byte = started.elapsed();
    response.read_to_end(&mut bytes).await.into_diagnostic()?;
    let text = String::from_utf8_lossy(&bytes);
    ensure!(text.trim_end().ends_with("[DONE]"), "the answer is not whole: {text}");
    Ok((first_byte, started.elapsed()))
}

async fn one_at_a_time(address: SocketAddr, length: Duration) -> Result<Times> {
    let mut times = Times::new();
    let started = Instant::now();
    while started.elapsed() < length {
        times.record(request(address).await?);
    }
    Ok(times)
}

/// Starts requests at a steady rate, however long they take.
async fn at_rate(address: SocketAddr, per_s: f64, length: Duration) -> Result<Times> {
    let times = Arc::new(Mutex::new(Times::new()));
    let failed = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let mut calls = Vec::new();
    let count = (per_s * length.as_secs_f64()) as u32;
    for index in 0..count {
        let due = Duration::from_secs_f64(f64::from(index) / per_s);
        task::sleep(due.saturating_sub(started.elapsed())).await;
        let (times, failed) = (times.clone(), failed.clone());
        calls.push(task::spawn(async move {
            match request(address).await {
                Ok(time) => times.lock().expect("no holder panics").record(time),
                Err(error) if failed.fetch_add(1, Ordering::Relaxed) == 0 => {
                    eprintln!("first failure: {error}");
                }
                Err(_) => {}
            }
        }));
    }
    for call in calls {
        call.await;
    }
    let failed = failed.load(Ordering::Relaxed);
    ensure!(failed == 0, "{failed} of {count} requests failed");
    let times = Arc::into_inner(times).ok_or_else(|| miette!("a request still runs"))?;
    times.into_inner().into_diagnostic()
}

async fn highest_rate(address: SocketAddr, length: Duration) -> Result<f64> {
    let started = Instant::now();
    let callers = (0..SATURATING_CALLERS).map(|_| {
        task::spawn(async move {
            let mut count = 0;
            while started.elapsed() < length {
                request(address).await?;
                count += 1;
            }
            Ok::<_, miette::Report>(count)
        })
    });
    let counts = futures::future::try_join_all(callers).await?;
    Ok(f64::from(counts.iter().sum::<u32>()) / started.elapsed().as_secs_f64())
}

impl Times {
    fn new() -> Self {
        let empty = || Histogram::new(3).expect("three digits are allowed");
        Self { first_byte: empty(), whole: empty() }
    }

    fn record(&mut self, (first_byte, whole): (Duration, Duration)) {
        for (times, time) in [(&mut self.first_byte, first_byte), (&mut self.whole, whole)] {
            times.record(time.as_micros() as u64).expect("the histogram grows as needed");
        }
    }
}

fn print(name: &str, load: &str, times: &Times) {
    let at = |times: &Histogram<u64>, quantile| times.value_at_quantile(quantile);
    println!(
        "{name}, {load}: first byte p50 {} us, p99 {} us; whole p50 {} us, p99 {} us; {} requests",
        at(&times.first_byte, 0.5),
        at(&times.first_byte, 0.99),
        at(&times.whole, 0.5),
        at(&times.whole, 0.99),
        times.whole.len()
    );
}
