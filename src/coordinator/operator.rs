use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::coordinator::{Coordinator, LeaderError};
use crate::ledger::{check_routes, command};
use crate::schema::ledger::{
    answer, outcome, query, Answer, InstallRoutes, Query, ReadRetirement, ReadRoutes,
};
use crate::schema::peer::{call, reply, FailureKind, RetireHost};
use crate::schema::routes::RouteTable;

/// Time in which an operator's call is answered; operators wait a second.
const OPERATOR_BUDGET: Duration = Duration::from_millis(850);

/// What became of a route table.
#[derive(Clone, Debug, PartialEq)]
pub enum InstallOutcome {
    /// A quorum has it, or a higher version.
    Acknowledged {
        /// Version in force.
        version: u64,
    },
    /// It breaks these rules, and nothing of it is in force.
    Invalid(Vec<String>),
    /// No quorum answered in time.
    Unknown(LeaderError),
}

/// What became of the order to empty a control host.
#[derive(Clone, Debug, PartialEq)]
pub enum RetireOutcome {
    /// It is being emptied.
    Accepted,
    /// No such control host is known.
    UnknownHost,
    /// Too few control hosts would remain.
    TooFew,
    /// No quorum answered in time.
    Unknown(LeaderError),
}

/// Orders of operators, which any control host takes and the leader carries out.
impl Coordinator {
    /// Installs a route table; `document` is given back to readers unchanged.
    pub async fn install_routes(&self, table: RouteTable, document: Bytes) -> InstallOutcome {
        if let Err(faults) = check_routes(&table) {
            log::warn!(event = "routes_refused", version = table.version; "{}", faults.join("; "));
            return InstallOutcome::Invalid(faults);
        }
        let version = table.version;
        let install = InstallRoutes { table: Some(table), document };
        let command = command(crate::schema::ledger::command::Command::InstallRoutes(install));
        let outcome = self.leader().submit(command, OPERATOR_BUDGET).await;
        match outcome.map(|outcome| outcome.outcome) {
            Ok(Some(outcome::Outcome::RoutesInstalled(installed))) => {
                log::info!(event = "routes_acknowledged", version = version,
                    in_force = installed.version; "acknowledged");
                InstallOutcome::Acknowledged { version: installed.version }
            }
            Ok(_) => InstallOutcome::Unknown(LeaderError::Unknown("unexpected outcome".into())),
            Err(error) => {
                log::warn!(event = "routes_not_acknowledged", version = version; "{error}");
                InstallOutcome::Unknown(error)
            }
        }
    }

    /// The document in force, confirmed by a quorum; `None` before the first.
    ///
    /// # Errors
    /// If no quorum answered in time.
    pub async fn read_document(&self) -> Result<Option<Bytes>, LeaderError> {
        let query = Query { query: Some(query::Query::ReadRoutes(ReadRoutes {})) };
        let answer = self.leader().query(query, Duration::ZERO, OPERATOR_BUDGET).await?;
        Ok(match answer.answer {
            Some(answer::Answer::Document(document)) => Some(document),
            _ => None,
        })
    }

    /// Starts to empty a control host.
    pub async fn retire(&self, host_id: &str) -> RetireOutcome {
        let call = call::Call::RetireHost(RetireHost { host_id: host_id.to_owned() });
        match self.leader().call(call, OPERATOR_BUDGET, OPERATOR_BUDGET).await {
            Ok(reply::Reply::Done(_)) => RetireOutcome::Accepted,
            Ok(reply::Reply::LedgerAnswer(Answer {
                answer: Some(answer::Answer::NotFound(_)),
            })) => RetireOutcome::UnknownHost,
            Ok(_) => RetireOutcome::TooFew,
            Err(error) => RetireOutcome::Unknown(error),
        }
    }

    /// Whether a control host that was told to leave is empty; `None` if it was not told.
    ///
    /// # Errors
    /// If no quorum answered in time.
    pub async fn retirement(&self, host_id: &str) -> Result<Option<bool>, LeaderError> {
        let read = ReadRetirement { host_id: host_id.to_owned() };
        let query = Query { query: Some(query::Query::ReadRetirement(read)) };
        let answer = self.leader().query(query, Duration::ZERO, OPERATOR_BUDGET).await?;
        Ok(match answer.answer {
            Some(answer::Answer::Retirement(state)) => Some(state.completed),
            _ => None,
        })
    }

    /// Checks and commits the order on the leader.
    pub(super) async fn retire_as_leader(self: &Arc<Self>, host_id: &str) -> reply::Reply {
        if self.ledger().is_retired(host_id) {
            return reply::Reply::Done(Default::default());
        }
        if !self.replica().knows_host(host_id) {
            let answer = answer::Answer::NotFound(Default::default());
            return reply::Reply::LedgerAnswer(Answer { answer: Some(answer) });
        }
        let usable = self.replica().usable_hosts();
        let remaining = usable.iter().filter(|known| *known != host_id).count();
        if remaining < self.target_voters() {
            log::warn!(event = "retire_refused", host = host_id, remaining = remaining; "too few");
            return reply::Reply::LedgerAnswer(Answer { answer: None });
        }
        let retire = crate::schema::ledger::RetireHost { host_id: host_id.to_owned() };
        let command = command(crate::schema::ledger::command::Command::RetireHost(retire));
        match self.propose(command).await {
            reply::Reply::LedgerOutcome(_) => {
                log::info!(event = "host_retires", host = host_id, remaining = remaining; "accepted");
                reply::Reply::Done(Default::default())
            }
            reply => reply,
        }
    }
}

pub(super) fn failure(kind: FailureKind, message: &str, leader: Option<String>) -> reply::Reply {
    reply::Reply::Failure(crate::schema::peer::CallFailure {
        kind: kind.into(),
        message: message.to_owned(),
        leader_address: leader.unwrap_or_default(),
    })
}
