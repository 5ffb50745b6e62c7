use std::time::Duration;

use pico_args::Arguments;
use serde_json::Value;

use crate::cmd::options::{finish, OutputFormat};
use crate::cmd::{Call, Console, EntryClient, Failure, Options, TextTable};
use crate::schema::explain::{PlacementReport, PlacementVerdict, ServicePlacement};

const DEFAULT_TIMEOUT_S: u64 = 10;

pub(super) async fn run(
    mut arguments: Arguments,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let metrics: String = arguments.value_from_str("--metrics")?;
    let host: String = arguments.value_from_str("--host")?;
    let path: String = arguments.value_from_str("--path")?;
    let team: Option<String> = arguments.opt_value_from_str("--team")?;
    let output = arguments.opt_value_from_str("--output")?.unwrap_or(OutputFormat::Table);
    let timeout_s = arguments.opt_value_from_str("--timeout")?.unwrap_or(DEFAULT_TIMEOUT_S);
    finish(arguments)?;
    let options = Options {
        entries: vec![metrics],
        token: String::new(),
        output,
        timeout: Duration::from_secs(timeout_s),
    };
    let mut client = EntryClient::new(&options);
    let team = team.unwrap_or_default();
    let question = format!("/placement?host={host}&path={path}&team={team}");
    let answer = client.json(Call::get(&question)).await?;
    match options.output {
        OutputFormat::Json => console.line(&answer.to_string()),
        OutputFormat::Table => show(&parse(answer)?, console),
    }
}

fn parse(answer: Value) -> Result<PlacementReport, Failure> {
    serde_json::from_value(answer).map_err(|error| {
        let message = format!("the answer is no report of a placement: {error}");
        Failure::failed(message, "check that --metrics names the metrics address of an entry host")
    })
}

fn show(report: &PlacementReport, console: &mut Console<'_>) -> Result<(), Failure> {
    let verdict = match report.verdict() {
        PlacementVerdict::Sent => "sent at once",
        PlacementVerdict::Rejected => "rejected",
        PlacementVerdict::GivenToLeader => "given to the leader",
        PlacementVerdict::Unspecified => "unknown",
    };
    console.line(&format!("{verdict} by {} in zone {}", report.host_id, report.zone))?;
    if !report.reason.is_empty() {
        console.line(&format!("reason: {}", report.reason))?;
    }
    if report.retry_after_ms > 0 {
        console.line(&format!("to come back after: {} ms", report.retry_after_ms))?;
    }
    let age = |age: Option<u32>| age.map_or("never told".to_owned(), |age| format!("{age} ms old"));
    console.line(&format!(
        "route: {} (version {}, {})",
        if report.route.is_empty() { "none" } else { &report.route },
        report.routes_version,
        age(report.routes_age_ms)
    ))?;
    if let Some(millionths) = report.admitted_millionths {
        let percent = f64::from(millionths) / 10_000.0;
        let quota_age = age(report.quota_age_ms);
        console.line(&format!("team {}: {percent:.1} % admitted ({quota_age})", report.team))?;
    }
    console.line(&format!("load of the upstreams: {}", age(report.load_age_ms)))?;
    for service in &report.services {
        show_service(service, console)?;
    }
    Ok(())
}

fn show_service(service: &ServicePlacement, console: &mut Console<'_>) -> Result<(), Failure> {
    console
        .line(&format!("service {}, {} % of the route", service.service, service.share_percent))?;
    let mut distances = TextTable::new(["distance", "weight", "online", "slots"]);
    for share in &service.distances {
        distances.push(vec![
            share.distance.clone(),
            format!("{:.3}", share.weight),
            share.online.to_string(),
            share.slots.to_string(),
        ]);
    }
    console.write(distances.to_string().as_bytes())?;
    let columns = [
        "upstream",
        "zone",
        "share",
        "online",
        "in use",
        "slots",
        "slowdown",
        "connected",
        "left out",
    ];
    let mut upstreams = TextTable::new(columns);
    for upstream in &service.upstreams {
        upstreams.push(vec![
            upstream.upstream_id.clone(),
            upstream.zone.clone(),
            format!("{:.1} %", upstream.share_percent),
            upstream.online.to_string(),
            upstream.in_use.to_string(),
            upstream.slots.to_string(),
            format!("{} %", upstream.slowdown_percent),
            if upstream.has_connection { "yes" } else { "no" }.to_owned(),
            upstream.excluded.clone(),
        ]);
    }
    console.write(upstreams.to_string().as_bytes())
}
