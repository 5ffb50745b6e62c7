//! Counters, timers and trace spans.

use std::collections::HashMap;
use std::thread;

use damaskhoist::telemetry::{Counters, Tracer};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::Value;

/// Guards against updates that are lost while other threads insert new names into the map.
#[test]
fn concurrent_updates_are_not_lost() {
    const NAMES: [&str; 4] = ["a", "b", "c", "d"];
    let counters = Counters::open("h", None);
    thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                for n in 0..4_000 {
                    counters.count(NAMES[n % 4]);
                    counters.time_us("t", 2);
                }
            });
        }
    });
    counters.gauge("g", 7);
    let snapshot = counters.snapshot();
    for name in NAMES {
        assert_eq!(snapshot[name], 8_000);
    }
    assert_eq!(
        (snapshot["t.count"], snapshot["t.total_us"], snapshot["t.max_us"]),
        (32_000, 64_000, 2)
    );
    assert_eq!(snapshot["g"], 7);
}

proptest! {
    /// Guards against durations that are counted in the wrong histogram bucket or in none.
    #[test]
    fn percentiles_overestimate_by_at_most_a_quarter(
        mut times in prop::collection::vec((0u64..1 << 40, 0u32..40), 1..200)
    ) {
        let counters = Counters::open("h", None);
        for (time, shift) in &mut times {
            *time >>= *shift;
            counters.time_us("t", *time);
        }
        times.sort_unstable();
        for (percent, name) in [(50, "t.p50_us"), (99, "t.p99_us")] {
            let exact = times[(times.len() * percent).div_ceil(100) - 1].0;
            let bound = counters.snapshot()[name];
            prop_assert!(bound >= exact && bound <= exact + exact / 4, "{} for {}", bound, exact);
        }
    }
}

/// Guards against a wrong prefix, type or host tag in the StatsD packets.
#[test]
fn counters_are_sent_to_the_statsd_server() {
    let server = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    server.set_read_timeout(Some(std::time::Duration::from_secs(5))).unwrap();
    let counters = Counters::open("h-1", Some(server.local_addr().unwrap()));
    // The sink sends a packet only when its buffer is full.
    for _ in 0..100 {
        counters.add("requests", 2);
    }
    let mut packet = [0; 2_048];
    let length = server.recv(&mut packet).unwrap();
    let text = std::str::from_utf8(&packet[..length]).unwrap();
    assert!(text.starts_with("damaskhoist.requests:2|c|#host:h-1"), "{text}");
}

/// Guards against spans that lose their parent, attributes or host ID in the span file.
#[test]
fn exported_spans_keep_parents_and_attributes() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("spans.jsonl");
    let tracer = Tracer::open("h-1", Some(&file), 1.0).unwrap();
    let parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let mut request = tracer.start("request", Some(parent));
    request.set_text("service", "engraver-llm");
    request.set_number("status", 200);
    let attempt = request.child("attempt");
    assert_eq!(attempt.trace_id(), "0af7651916cd43dd8448eb211c80319c");
    attempt.close();
    request.close();
    tracer.close();

    let text = std::fs::read_to_string(&file).unwrap();
    let lines = text.lines().map(|line| serde_json::from_str::<Value>(line).unwrap());
    let spans: HashMap<_, _> =
        lines.map(|span| (span["name"].as_str().unwrap().to_owned(), span)).collect();
    assert_eq!(spans["request"]["parent_span_id"], "b7ad6b7169203331");
    assert_eq!(spans["attempt"]["parent_span_id"], spans["request"]["span_id"]);
    assert_eq!(spans["request"]["attributes"]["service"], "engraver-llm");
    assert_eq!(spans["request"]["attributes"]["status"], 200);
    assert_eq!(spans["request"]["host_id"], "h-1");
}

/// Guards against an invalid `traceparent` header whose trace ID is adopted.
#[rstest]
#[case::empty("")]
#[case::zero_trace("00-00000000000000000000000000000000-b7ad6b7169203331-01")]
#[case::version_ff("ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")]
#[case::extra_field("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x")]
#[case::upper_case("00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01")]
#[case::not_ascii("00-äaf7651916cd43dd8448eb211c80319-b7ad6b7169203331-01")]
fn an_invalid_traceparent_starts_a_new_trace(#[case] header: &str) {
    let tracer = Tracer::open("h-1", None, 1.0).unwrap();
    let span = tracer.start("request", Some(header));
    assert_eq!(span.trace_id().len(), 32);
    assert!(!header.to_lowercase().contains(&span.trace_id()));
    let next = tracer.start("next", Some(&span.traceparent()));
    assert_eq!(next.trace_id(), span.trace_id());
}

/// Guards against a host that does not propagate a trace because it exports no spans itself.
#[rstest]
#[case::sampled("01")]
#[case::not_sampled("00")]
fn a_host_without_a_span_file_propagates_the_trace(#[case] flags: &str) {
    let trace = "00-0af7651916cd43dd8448eb211c80319c";
    let header = format!("{trace}-b7ad6b7169203331-{flags}");
    let tracer = Tracer::open("h-1", None, 1.0).unwrap();
    let span = tracer.start("request", Some(&header));
    for next in [span.traceparent(), span.child("attempt").traceparent()] {
        assert!(next.starts_with(trace) && next.ends_with(&format!("-{flags}")), "{next}");
        assert_ne!(next, header);
    }
}

/// Guards against traces of which only some spans are exported, and against a wrong sampling ratio.
#[rstest]
#[case::none(0.0, 0, 0)]
#[case::half(0.5, 800, 1_200)]
#[case::all(1.0, 2_000, 2_000)]
fn sampling_applies_to_whole_traces(#[case] ratio: f64, #[case] min: usize, #[case] max: usize) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("spans.jsonl");
    let tracer = Tracer::open("h-1", Some(&file), ratio).unwrap();
    for _ in 0..2_000 {
        tracer.start("request", None).child("attempt").close();
    }
    tracer.close();
    let text = std::fs::read_to_string(&file).unwrap();
    let count = |name: &str| text.lines().filter(|line| line.contains(name)).count();
    assert_eq!(count("\"request\""), count("\"attempt\""));
    assert!((min..=max).contains(&count("\"request\"")), "{}", count("\"request\""));
}
