use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use event_listener::EventListener;

use crate::schema::ledger::command::Command as Kind;
use crate::schema::ledger::Command;
use crate::signal::Signal;

/// Wakes those that wait for the results of a job, and nobody else. With one signal for all jobs, each
/// result would wake the readers of every job.
#[derive(Debug, Default)]
pub(super) struct JobSignals {
    signals: Mutex<HashMap<String, Signal>>,
}

/// Jobs whose results a command may change.
pub(super) enum AffectedJobs {
    Listed(Vec<String>),
    All,
}

impl AffectedJobs {
    pub(super) fn of(command: &Command) -> Self {
        match &command.command {
            Some(Kind::FinishItems(finish)) => {
                Self::Listed(finish.items.iter().map(|item| item.job_id.clone()).collect())
            }
            Some(Kind::CancelJob(cancel)) => Self::Listed(vec![cancel.job_id.clone()]),
            Some(Kind::Expire(_)) => Self::All,
            _ => Self::Listed(Vec::new()),
        }
    }
}

impl JobSignals {
    /// Creates a listener for later changes of a job.
    pub(super) fn listen(&self, job_id: &str) -> EventListener {
        self.lock().entry(job_id.to_owned()).or_default().listen()
    }

    /// Wakes the listeners of these jobs. A signal is dropped with its notification, so that jobs which
    /// nobody reads any more leave nothing behind.
    pub(super) fn notify(&self, affected: &AffectedJobs) {
        let mut signals = self.lock();
        match affected {
            AffectedJobs::Listed(job_ids) => {
                for signal in job_ids.iter().filter_map(|job_id| signals.remove(job_id)) {
                    signal.notify();
                }
            }
            AffectedJobs::All => signals.drain().for_each(|(_, signal)| signal.notify()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Signal>> {
        self.signals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
