use crate::admission::{Refusal, RefusalKind, RunOutcome};
use crate::schema::state::{command, outcome, query, query_answer, Command, Query};
use crate::state::{StateClient, StateError};

/// Submits a command to the replicated state. A command that the state refuses is returned as an
/// error.
pub(crate) async fn submit(
    state: &dyn StateClient,
    command_id: String,
    command: command::Command,
) -> Result<outcome::Outcome, Refusal> {
    let command = Command { command_id, proposed_at_unix_ms: 0, command: Some(command) };
    match state.submit(command).await {
        Ok(outcome) => match outcome.outcome {
            Some(outcome::Outcome::Refused(refused)) => Err(Refusal::from(refused)),
            Some(outcome) => Ok(outcome),
            None => Err(control_unavailable(StateError::Unknown("empty outcome".to_owned()))),
        },
        // The command may still be applied later, so the caller must not treat it as refused.
        Err(error @ StateError::Unknown(_)) => {
            Err(control_unavailable(error).with_outcome(RunOutcome::MayHaveRun))
        }
        Err(error) => Err(control_unavailable(error)),
    }
}

/// Queries the replicated state. A query that the state refuses is returned as an error.
pub(crate) async fn read(
    state: &dyn StateClient,
    query: query::Query,
) -> Result<query_answer::Answer, Refusal> {
    let answer = state.query(Query { query: Some(query) }).await.map_err(control_unavailable)?;
    match answer.answer {
        Some(query_answer::Answer::Refused(refused)) => Err(Refusal::from(refused)),
        Some(answer) => Ok(answer),
        None => Err(control_unavailable(StateError::Unknown("empty answer".to_owned()))),
    }
}

/// Creates the refusal of a request that failed at the control hosts, before it reached an
/// upstream.
pub(crate) fn control_unavailable(error: StateError) -> Refusal {
    let message = format!("the control hosts gave no answer: {error}");
    Refusal::not_run(RefusalKind::ControlUnavailable, message)
}
