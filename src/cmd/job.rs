use pico_args::Arguments;

use crate::cmd::entries::{show, with_parameters};
use crate::cmd::options::{finish, identifier, Options, OutputFormat};
use crate::cmd::watch::Watch;
use crate::cmd::{Call, Console, EntryClient, Failure, TextTable};

pub(super) async fn run(
    mut arguments: Arguments,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let action = arguments.subcommand()?.unwrap_or_default();
    let options = Options::take(&mut arguments)?;
    let mut client = EntryClient::new(&options);
    match action.as_str() {
        "show" => {
            let id = identifier(&mut arguments, "ID")?;
            finish(arguments)?;
            show(&format!("/v1/batches/{id}"), &options, console).await
        }
        "watch" => {
            let watch = Watch::take(&mut arguments)?;
            let id = identifier(&mut arguments, "ID")?;
            finish(arguments)?;
            watch.follow(&mut client, &id, console).await?.require_success()
        }
        "cancel" => {
            let id = identifier(&mut arguments, "ID")?;
            finish(arguments)?;
            // A second cancel of a job has no effect, so it may be sent again.
            let path = format!("/v1/batches/{id}/cancel");
            client.send(Call { is_idempotent: true, ..Call::post(&path, b"{}") }).await?;
            Ok(())
        }
        "list" => list(arguments, &options, &mut client, console).await,
        other => Err(Failure::usage(
            format!("'{other}' is not an action on jobs"),
            "use show, watch, cancel or list",
        )),
    }
}

async fn list(
    mut arguments: Arguments,
    options: &Options,
    client: &mut EntryClient,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let after = arguments.opt_value_from_str("--after")?;
    let limit: Option<u32> = arguments.opt_value_from_str("--limit")?;
    finish(arguments)?;
    let limit = limit.map(|limit| limit.to_string());
    let path = with_parameters("/v1/batches", &[("after", after), ("limit", limit)]);
    let page = client.json(Call::get(&path)).await?;
    if options.output == OutputFormat::Json {
        return console.line(&page.to_string());
    }
    let mut table = TextTable::new(["id", "status", "total", "completed", "failed"]);
    let jobs = page["data"].as_array().map_or(&[][..], Vec::as_slice);
    for job in jobs {
        let counts = &job["request_counts"];
        let cells = [&job["id"], &job["status"], &counts["total"], &counts["completed"]];
        let cells = cells.into_iter().chain([&counts["failed"]]);
        table.push(cells.map(super::text_table::cell).collect());
    }
    console.write(table.to_string().as_bytes())?;
    if let (Some(true), Some(last)) = (page["has_more"].as_bool(), jobs.last()) {
        let last = last["id"].as_str().unwrap_or_default();
        console.note(&format!("there are more: add --after {last}"));
    }
    Ok(())
}
