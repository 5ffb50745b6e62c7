use std::time::Duration;

use async_std::task;
use pico_args::Arguments;

use crate::cmd::json_view::describe;
use crate::cmd::options::{finish, Options, OutputFormat};
use crate::cmd::{Call, Console, EntryClient, Failure};

const WATCH_INTERVAL: Duration = Duration::from_secs(2);

pub(super) async fn run(
    mut arguments: Arguments,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let options = Options::take(&mut arguments)?;
    let is_watched = arguments.contains("--watch");
    let has_counters = arguments.contains("--counters");
    finish(arguments)?;
    let mut client = EntryClient::new(&options);
    loop {
        let mut status = client.json(Call::get("/v1/admin/status")).await?;
        if let (Some(fields), false) = (status.as_object_mut(), has_counters) {
            fields.remove("counters");
        }
        match options.output {
            OutputFormat::Json => console.line(&status.to_string())?,
            OutputFormat::Table => console.line(&describe(&status))?,
        }
        if !is_watched {
            return Ok(());
        }
        task::sleep(WATCH_INTERVAL).await;
        console.line("")?;
    }
}
