use std::fs::{self, File};
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

use pico_args::Arguments;
use serde_json::Value;

use crate::cmd::job_status::JobStatus;
use crate::cmd::options::{finish, identifier, Options};
use crate::cmd::{Call, Console, EntryClient, Failure};

/// Items asked for at a time.
const PAGE_ITEMS: u64 = 500;

struct Selection {
    job_id: String,
    from: u64,
    limit: u64,
    only_failed: bool,
}

pub(super) async fn run(
    mut arguments: Arguments,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let options = Options::take(&mut arguments)?;
    let out: Option<PathBuf> = arguments.opt_value_from_str("--out")?;
    let selection = Selection {
        from: arguments.opt_value_from_str("--from")?.unwrap_or(0),
        limit: arguments.opt_value_from_str("--limit")?.unwrap_or(u64::MAX),
        only_failed: arguments.contains("--failed"),
        job_id: identifier(&mut arguments, "ID")?,
    };
    finish(arguments)?;
    let mut client = EntryClient::new(&options);
    selection.warn_unless_over(&mut client, console).await?;
    let Some(out) = out else {
        return selection.copy(&mut client, console.out).await;
    };
    // The file appears under its name only once it is complete.
    let part = PathBuf::from(format!("{}.part", out.display()));
    let mut file = BufWriter::new(File::create(&part).map_err(|error| broken(&part, &error))?);
    selection.copy(&mut client, &mut file).await?;
    let file = file.into_inner().map_err(|error| broken(&part, error.error()))?;
    file.sync_all().map_err(|error| broken(&part, &error))?;
    fs::rename(&part, &out).map_err(|error| broken(&out, &error))
}

impl Selection {
    async fn warn_unless_over(
        &self,
        client: &mut EntryClient,
        console: &mut Console<'_>,
    ) -> Result<(), Failure> {
        let path = format!("/v1/batches/{}", self.job_id);
        let job = JobStatus::from_json(&client.json(Call::get(&path)).await?)?;
        if !job.is_over() {
            let (id, status) = (&job.id, &job.status);
            console.note(&format!("job {id} is {status}: results of running items are missing"));
        }
        Ok(())
    }

    /// Copies the pages of results to `out`.
    async fn copy(&self, client: &mut EntryClient, out: &mut dyn Write) -> Result<(), Failure> {
        let mut from = self.from;
        let end = self.from.saturating_add(self.limit);
        while from < end {
            let limit = PAGE_ITEMS.min(end - from);
            let path = format!("/v1/batches/{}/results?from={from}&limit={limit}", self.job_id);
            let page = client.send(Call::get(&path)).await?;
            self.copy_page(&page.body, out).map_err(|error| broken(Path::new("output"), &error))?;
            match page.next_item {
                None => break,
                Some(next) if next <= from => {
                    let message = format!("the page after item {from} does not go on");
                    return Err(Failure::failed(message, "report this as a fault of the system"));
                }
                Some(next) => from = next,
            }
        }
        out.flush().map_err(|error| broken(Path::new("output"), &error))
    }

    fn copy_page(&self, page: &[u8], out: &mut dyn Write) -> io::Result<()> {
        for line in page.split(|byte| *byte == b'\n') {
            if line.is_empty() || (self.only_failed && !is_failed(line)) {
                continue;
            }
            out.write_all(line)?;
            out.write_all(b"\n")?;
        }
        Ok(())
    }
}

fn is_failed(line: &[u8]) -> bool {
    let Ok(result) = serde_json::from_slice::<Value>(line) else { return true };
    !result["error"].is_null()
        || result["response"]["status_code"].as_u64().is_none_or(|s| s >= 400)
}

fn broken(path: &Path, error: &io::Error) -> Failure {
    let message = format!("cannot write {}: {error}", path.display());
    Failure::failed(message, "check the folder and the space left, then run the command again")
}
