use std::time::Duration;

use async_std::task;
use pico_args::Arguments;
use serde_json::json;

use crate::cmd::options::{finish, Options};
use crate::cmd::{Call, Console, EntryClient, Failure, FailureKind};
use crate::query::Statement;

const POLL_INTERVAL: Duration = Duration::from_millis(500);

pub(super) async fn run(
    mut arguments: Arguments,
    _console: &mut Console<'_>,
) -> Result<(), Failure> {
    let options = Options::take(&mut arguments)?;
    let host: Option<String> = arguments.opt_value_from_str("--host")?;
    let is_waiting = arguments.contains("--wait");
    finish(arguments)?;
    let mut client = EntryClient::new(&options);
    let mut probe = EntryClient::new(&Options { timeout: POLL_INTERVAL, ..options.clone() });
    if let Some(host) = host {
        if is_waiting {
            let advice = "name the host's own address with --entry instead of --host";
            return Err(Failure::usage("--wait does not go with --host", advice));
        }
        return drain_by_name(&mut client, host).await;
    }
    if options.entries.len() != 1 {
        let advice = "give one --entry address, or --host NAME to send the order through any";
        return Err(Failure::usage("a drain needs one host, but --entry names several", advice));
    }
    client.send(Call::post("/v1/admin/drain", b"{}")).await?;
    while is_waiting && is_answering(&mut probe).await? {
        task::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

async fn drain_by_name(client: &mut EntryClient, host: String) -> Result<(), Failure> {
    let statement = Statement::DrainHost { host };
    let body = json!({ "text": statement.to_string() }).to_string();
    client.send(Call::post("/v1/admin/query", body.as_bytes())).await?;
    Ok(())
}

async fn is_answering(client: &mut EntryClient) -> Result<bool, Failure> {
    match client.send(Call::get("/v1/admin/status")).await {
        Ok(_) => Ok(true),
        Err(failure) if failure.kind == FailureKind::Unreachable => Ok(false),
        // A draining host may refuse, and then it still runs.
        Err(failure) if failure.kind == FailureKind::Refused => Ok(true),
        Err(failure) => Err(failure),
    }
}
