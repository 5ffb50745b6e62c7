//! Cost of telemetry for one request: spans off, sampled and on, and counters.
//!
//! `cargo run --release --example bench_span [REQUESTS_PER_THREAD] [REQUESTS_PER_S]`
//!
//! A request has a root span that continues a trace, one child, two attributes and a header for the
//! next hop. With a rate, requests are paced, which shows whether spans are lost at that rate.

use std::fs;
use std::hint::black_box;
use std::net::UdpSocket;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use damaskhoist::telemetry::{Counters, Tracer};

const SAMPLED: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const THREADS: [usize; 2] = [1, 4];

fn main() {
    let mut arguments = std::env::args().skip(1).filter_map(|text| text.parse::<u64>().ok());
    let requests = arguments.next().unwrap_or(200_000);
    let rate = arguments.next();
    println!("{:<28} {:>7} {:>10} {:>9}", "case", "threads", "ns/request", "lost");
    for threads in THREADS {
        span_case("span off", None, None, threads, requests, rate);
        span_case("span on, sampled 1 in 100", Some(0.01), None, threads, requests, rate);
        span_case("span on, new traces", Some(1.0), None, threads, requests, rate);
        span_case("span on, traces continued", Some(1.0), Some(SAMPLED), threads, requests, rate);
        counter_case("3 counters, 1 timer", false, threads, requests);
        counter_case("the same with StatsD", true, threads, requests);
    }
}

/// A case without a ratio has no span file.
fn span_case(
    name: &str,
    ratio: Option<f64>,
    traceparent: Option<&str>,
    threads: usize,
    requests: u64,
    rate: Option<u64>,
) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("spans.jsonl");
    let span_file: Option<&Path> = ratio.map(|_| file.as_path());
    let tracer = Tracer::open("bench", span_file, ratio.unwrap_or(1.0)).expect("a span file");
    let ns = run(threads, requests, rate, || traced_request(&tracer, traceparent));
    tracer.close();
    let written = fs::read_to_string(&file).map_or(0, |text| text.lines().count() as u64);
    let made = 2 * requests * threads as u64;
    let lost = match ratio {
        Some(1.0) => (made - written).to_string(),
        _ => "-".to_owned(),
    };
    println!("{name:<28} {threads:>7} {ns:>10.0} {lost:>9}");
}

fn traced_request(tracer: &Tracer, traceparent: Option<&str>) {
    let mut request = tracer.start("request", traceparent);
    request.set_text("service", "engraver-llm");
    let attempt = request.child("attempt");
    black_box(attempt.traceparent());
    attempt.close();
    request.set_number("status", 200);
    request.close();
}

fn counter_case(name: &str, is_sent: bool, threads: usize, requests: u64) {
    let server = UdpSocket::bind("127.0.0.1:0").expect("a UDP socket");
    let address = is_sent.then(|| server.local_addr().expect("an address"));
    let counters = Counters::open("bench", address);
    let ns = run(threads, requests, None, || {
        counters.count("requests");
        counters.count("attempts");
        counters.add("bytes", 2_000);
        counters.time_us("request_us", 1_500);
    });
    println!("{name:<28} {threads:>7} {ns:>10.0} {:>9}", "-");
}

/// Mean time of one request on each thread, without the pauses.
fn run(threads: usize, requests: u64, rate: Option<u64>, request: impl Fn() + Sync) -> f64 {
    let batch = 100;
    let pause =
        rate.map(|rate| Duration::from_secs_f64((batch * threads as u64) as f64 / rate as f64));
    let total: Duration = thread::scope(|scope| {
        let work = || {
            let mut busy = Duration::ZERO;
            for _ in 0..requests / batch {
                let start = Instant::now();
                for _ in 0..batch {
                    request();
                }
                busy += start.elapsed();
                if let Some(pause) = pause {
                    thread::sleep(pause.saturating_sub(start.elapsed()));
                }
            }
            busy
        };
        let handles: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        handles.into_iter().map(|handle| handle.join().expect("a thread panicked")).sum()
    });
    total.as_nanos() as f64 / (requests / batch * batch * threads as u64) as f64
}
