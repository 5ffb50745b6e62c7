use std::time::{Duration, Instant};

use async_std::task;

use crate::cmd::job_status::JobStatus;
use crate::cmd::progress::Progress;
use crate::cmd::{Call, Console, EntryClient, Failure, FailureKind};

const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between lines of progress that is not shown on a terminal.
const LINE_INTERVAL: Duration = Duration::from_secs(5);
const DEFAULT_PATIENCE_S: u64 = 300;

/// Follows a job until it is over.
pub(super) struct Watch {
    /// Time to go on without any host answering; the job goes on meanwhile.
    pub(super) patience: Duration,
}

impl Watch {
    pub(super) fn take(arguments: &mut pico_args::Arguments) -> Result<Self, Failure> {
        let patience_s = arguments.opt_value_from_str("--patience")?.unwrap_or(DEFAULT_PATIENCE_S);
        Ok(Self { patience: Duration::from_secs(patience_s) })
    }

    /// Shows progress on standard error until the job is over.
    pub(super) async fn follow(
        &self,
        client: &mut EntryClient,
        job_id: &str,
        console: &mut Console<'_>,
    ) -> Result<JobStatus, Failure> {
        let path = format!("/v1/batches/{job_id}");
        let mut progress = Progress::new();
        let mut answered_at = Instant::now();
        let mut shown: Option<(Instant, String)> = None;
        loop {
            match client.json(Call::get(&path)).await {
                Ok(batch) => {
                    answered_at = Instant::now();
                    let job = JobStatus::from_json(&batch)?;
                    show(&progress.line(&job, answered_at), job.is_over(), &mut shown, console);
                    if job.is_over() {
                        return Ok(job);
                    }
                }
                Err(failure) => self.wait_out(failure, answered_at, job_id, console)?,
            }
            task::sleep(POLL_INTERVAL).await;
        }
    }

    /// Lets a failure pass that may be over soon.
    fn wait_out(
        &self,
        failure: Failure,
        answered_at: Instant,
        job_id: &str,
        console: &mut Console<'_>,
    ) -> Result<(), Failure> {
        let is_passing = match (&failure.kind, &failure.refusal) {
            (FailureKind::Unreachable, _) => true,
            (_, Some(refusal)) => refusal.retryable,
            _ => false,
        };
        if !is_passing || answered_at.elapsed() >= self.patience {
            let advice = format!(
                "an accepted job goes on without this command: run 'damaskhoist job watch {job_id}'"
            );
            return Err(failure.with_advice(advice));
        }
        console.note(&format!("{failure}; trying again"));
        Ok(())
    }
}

fn show(
    line: &str,
    is_last: bool,
    shown: &mut Option<(Instant, String)>,
    console: &mut Console<'_>,
) {
    if console.is_terminal {
        console.redraw(line);
        if is_last {
            console.note("");
        }
        return;
    }
    let is_due = shown
        .as_ref()
        .is_none_or(|(at, last)| last != line && (is_last || at.elapsed() >= LINE_INTERVAL));
    if is_due {
        console.note(line);
        *shown = Some((Instant::now(), line.to_owned()));
    }
}
