use std::fmt;
use std::time::Duration;

use async_trait::async_trait;

use crate::schema::peer::{ChangeReplicas, ConfigurationNotice};
use crate::schema::state::{Command, Outcome, Query, QueryAnswer};

/// Client for the replicated state, usable on any host.
#[async_trait]
pub trait StateClient: Send + Sync {
    /// Submits a command and waits until it is committed and applied.
    ///
    /// A command with a `command_id` may be submitted again after [`StateError::Unknown`]; it takes
    /// effect only once.
    async fn submit(&self, command: Command) -> Result<Outcome, StateError>;

    /// Reads a state that includes every command acknowledged before the call.
    async fn query(&self, query: Query) -> Result<QueryAnswer, StateError>;

    /// Waits up to `wait` for a configuration newer than `known_version`.
    async fn watch_configuration(
        &self,
        known_version: u64,
        wait: Duration,
    ) -> Result<ConfigurationNotice, StateError>;

    /// Adds, promotes or removes one replica. Returns once the change is committed.
    async fn change_replicas(&self, change: ChangeReplicas) -> Result<(), StateError>;
}

/// Error of a call to the replicated state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateError {
    /// The command was not proposed and never will be, so a retry is safe.
    NotSubmitted(String),
    /// The command may or may not take effect.
    Unknown(String),
}

impl fmt::Display for StateError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSubmitted(reason) => write!(formatter, "not submitted: {reason}"),
            Self::Unknown(reason) => write!(formatter, "outcome unknown: {reason}"),
        }
    }
}

impl std::error::Error for StateError {}
