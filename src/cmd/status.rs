use std::time::Duration;

use async_std::task;
use pico_args::Arguments;

use crate::cmd::entries::show;
use crate::cmd::options::{finish, Options};
use crate::cmd::{Console, Failure};

const WATCH_INTERVAL: Duration = Duration::from_secs(2);

pub(super) async fn run(
    mut arguments: Arguments,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let options = Options::take(&mut arguments)?;
    let is_watched = arguments.contains("--watch");
    finish(arguments)?;
    loop {
        show("/v1/admin/status", &options, console).await?;
        if !is_watched {
            return Ok(());
        }
        task::sleep(WATCH_INTERVAL).await;
        console.line("")?;
    }
}
