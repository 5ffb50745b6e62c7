use std::future::pending;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::{select, Either};

use crate::boot_instant::BootInstant;
use crate::coordinator::named_leader::NamedLeader;
use crate::coordinator::{Coordinator, LeaderError};
use crate::ledger::{check_routes, command};
use crate::replication::ReplicatedMachine;
use crate::schema::ledger::{
    answer, outcome, query, Answer, InstallRoutes, Query, ReadRetirement, ReadRoutes,
};
use crate::schema::peer::{call, reply, FailureKind, RetireHost};
use crate::schema::routes::RouteTable;
use crate::signal::Signal;
use crate::teams::check_teams;

/// Time limit of an operator's call; operators wait for a second.
const OPERATOR_CALL_BUDGET: Duration = Duration::from_millis(850);

/// Time after a commit in which other control hosts get a change before it is acknowledged, several round trips between
/// regions. One of them suffices once it is over, as one that is wanted may stand still.
const SPREAD_LIMIT: Duration = Duration::from_millis(250);
/// Time in which a change must have been passed on to be acknowledged.
const ACKNOWLEDGE_LIMIT: Duration = Duration::from_millis(900);

/// Outcome of the installation of a route table.
#[derive(Clone, Debug, PartialEq)]
pub enum InstallOutcome {
    /// A quorum has committed this version or has a higher one.
    Acknowledged {
        /// Version in force.
        version: u64,
    },
    /// The table violates these rules and was not installed.
    Invalid(Vec<String>),
    /// No quorum answered in time, or no other control host passes the table on yet.
    Unknown(LeaderError),
}

/// Outcome of the request to retire a control host.
#[derive(Clone, Debug, PartialEq)]
pub enum RetireOutcome {
    /// The host is being retired; its replica, if it runs one, is moved to another host.
    Accepted,
    /// The control host is unknown.
    UnknownHost,
    /// Too few usable control hosts would remain.
    TooFewHosts,
    /// No quorum answered in time.
    Unknown(LeaderError),
}

/// Operator requests; any control host accepts them and forwards them to the leader.
impl Coordinator {
    /// Installs a route table; `document` is its source text, which readers get unchanged.
    pub async fn install_routes(&self, table: RouteTable, document: Bytes) -> InstallOutcome {
        let violations = [check_routes(&table), check_teams(&table)];
        let violations: Vec<String> =
            violations.into_iter().filter_map(Result::err).flatten().collect();
        if !violations.is_empty() {
            log::warn!(event = "routes_refused", version = table.version;
                "{}", violations.join("; "));
            return InstallOutcome::Invalid(violations);
        }
        let (version, started) = (table.version, Instant::now());
        let installed = match self.commit_routes(table, document).await {
            Ok(installed) => installed,
            Err(error) => {
                log::warn!(event = "routes_not_acknowledged", version = version; "{error}");
                return InstallOutcome::Unknown(error);
            }
        };
        if !self.wait_until_spread(version, started + ACKNOWLEDGE_LIMIT).await {
            log::warn!(event = "routes_not_acknowledged", version = version;
                "committed, but too few control hosts pass them on yet");
            return InstallOutcome::Unknown(LeaderError::not_tried("not spread yet"));
        }
        log::info!(event = "routes_acknowledged", version = version, in_force = installed;
            "route table acknowledged by a quorum");
        InstallOutcome::Acknowledged { version: installed }
    }

    /// Commits a route table; returns the version in force. One that the replica of this host has applied, or a newer one,
    /// needs neither the leader nor another commit, which may outlast the time of a call while disks are slow.
    async fn commit_routes(&self, table: RouteTable, document: Bytes) -> Result<u64, LeaderError> {
        let (version, known) = (table.version, self.ledger().routes().version);
        if (1..=known).contains(&version) {
            return Ok(known);
        }
        let install = InstallRoutes { table: Some(table), document };
        let command = command(crate::schema::ledger::command::Command::InstallRoutes(install));
        let submitted = pin!(self.leader_client().submit(command, OPERATOR_CALL_BUDGET));
        let outcome = match select(pin!(self.wait_until_applied(version)), submitted).await {
            Either::Left((in_force, _)) => return Ok(in_force),
            Either::Right((outcome, _)) => outcome?,
        };
        match outcome.outcome {
            Some(outcome::Outcome::RoutesInstalled(installed)) => Ok(installed.version),
            _ => Err(LeaderError::unexpected_reply()),
        }
    }

    /// Waits until the replica of this host has applied routes of this version or a newer one, and returns the version in
    /// force. They are committed then, also if the reply of the leader comes late or not at all.
    async fn wait_until_applied(&self, version: u64) -> u64 {
        loop {
            let changed = self.ledger_changed.listen();
            let in_force = self.ledger().routes().version;
            if in_force >= version.max(1) {
                return in_force;
            }
            changed.await;
        }
    }

    /// Waits until this host passes on routes of this version and other control hosts do so, one of which suffices after
    /// [`SPREAD_LIMIT`]; false if they don't until `until`. The leader may be the only one that has applied a change, and if it
    /// is lost the others don't until there is another leader. Nothing is said by the others being out of reach: only the host
    /// of a group of one replica acknowledges alone.
    async fn wait_until_spread(&self, version: u64, until: Instant) -> bool {
        let Some(watch) = self.watch() else { return false };
        let one_suffices_at = (Instant::now() + SPREAD_LIMIT).min(until);
        loop {
            let applied = select(self.ledger_changed.listen(), watch.changed().listen());
            let changed = select(applied, self.routes_holders.changed().listen());
            let now = Instant::now();
            let one_suffices = now >= one_suffices_at;
            let goal = self.spread_goal();
            let is_enough = match self.routes_holders.any_of_version(version) {
                // Earlier builds do not name themselves, so they are one holder at most.
                true => one_suffices || goal.is_met(&self.routes_holders.of_version(version)),
                false => goal.is_empty() && self.is_whole_group(),
            };
            if is_enough && self.routes().version >= version {
                return true;
            }
            if now >= until {
                return false;
            }
            let next = if one_suffices { until } else { one_suffices_at };
            Signal::wait(changed, next.saturating_duration_since(now)).await;
        }
    }

    /// Reads the source document of the route table in force, confirmed by a quorum; `None` if no
    /// table is installed.
    ///
    /// # Errors
    /// Fails if no quorum answered in time.
    pub async fn read_document(&self) -> Result<Option<Bytes>, LeaderError> {
        let confirmed = pin!(self.confirmed_document(BootInstant::now()));
        Ok(match select(pin!(self.read_routes()), confirmed).await {
            Either::Left((answer, _)) => match answer?.answer {
                Some(answer::Answer::Document(document)) => Some(document),
                _ => None,
            },
            Either::Right((document, _)) => document,
        })
    }

    /// Reads the routes in force at the replica of this host or, if it does not confirm that it is up to date, at the leader.
    async fn read_routes(&self) -> Result<Answer, LeaderError> {
        let started = Instant::now();
        let query = Query { query: Some(query::Query::ReadRoutes(ReadRoutes {})) };
        if let reply::Reply::LedgerAnswer(answer) = self.query(query.clone()).await {
            return Ok(answer);
        }
        let left = OPERATOR_CALL_BUDGET.saturating_sub(started.elapsed());
        self.leader_client().query(query, Duration::ZERO, left).await
    }

    /// Waits until the leader has confirmed its routes after `since`, as the answers to sync calls tell, and this
    /// replica has applied them. A leader that answers few calls still answers those.
    async fn confirmed_document(&self, since: BootInstant) -> Option<Bytes> {
        let Some(watch) = self.watch() else { return pending().await };
        loop {
            let applied = self.ledger_changed.listen();
            let changed = select(applied, watch.routes_confirmation().changed().listen());
            let ledger = self.ledger();
            let latest = watch.routes_confirmation().load();
            let is_current = latest.is_some_and(|latest| {
                latest.confirmed_at >= since && ledger.routes().version >= latest.version
            });
            if is_current {
                return ledger.document();
            }
            changed.await;
        }
    }

    /// Starts the retirement of a control host; its replica, if it runs one, is moved to another
    /// host.
    pub async fn retire(&self, host_id: &str) -> RetireOutcome {
        let call = call::Call::RetireHost(RetireHost { host_id: host_id.to_owned() });
        match self.leader_client().call(call, Duration::ZERO, OPERATOR_CALL_BUDGET).await {
            Ok(reply::Reply::Done(_)) => RetireOutcome::Accepted,
            Ok(reply::Reply::LedgerAnswer(Answer {
                answer: Some(answer::Answer::NotFound(_)),
            })) => RetireOutcome::UnknownHost,
            Ok(_) => RetireOutcome::TooFewHosts,
            Err(error) => RetireOutcome::Unknown(error),
        }
    }

    /// True once a retired control host runs no replica any more; `None` if it is not being
    /// retired.
    ///
    /// # Errors
    /// Fails if no quorum answered in time.
    pub async fn retirement(&self, host_id: &str) -> Result<Option<bool>, LeaderError> {
        let read = ReadRetirement { host_id: host_id.to_owned() };
        let query = Query { query: Some(query::Query::ReadRetirement(read)) };
        let answer =
            self.leader_client().query(query, Duration::ZERO, OPERATOR_CALL_BUDGET).await?;
        Ok(match answer.answer {
            Some(answer::Answer::Retirement(state)) => Some(state.completed),
            _ => None,
        })
    }

    /// Checks and commits a retirement on the leader.
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
            log::warn!(event = "retire_refused", host = host_id, remaining = remaining;
                "too few usable control hosts would remain");
            return reply::Reply::LedgerAnswer(Answer { answer: None });
        }
        let retire = crate::schema::ledger::RetireHost { host_id: host_id.to_owned() };
        let command = command(crate::schema::ledger::command::Command::RetireHost(retire));
        match self.propose(command).await {
            reply::Reply::LedgerOutcome(_) => {
                log::info!(event = "host_retires", host = host_id, remaining = remaining;
                    "retirement committed");
                reply::Reply::Done(Default::default())
            }
            reply => reply,
        }
    }
}

/// Builds the reply for a call that could not be served.
pub(super) fn call_failure(kind: FailureKind, message: &str, leader: NamedLeader) -> reply::Reply {
    reply::Reply::Failure(crate::schema::peer::CallFailure {
        kind: kind.into(),
        message: message.to_owned(),
        leader_address: leader.address,
        leader_term: leader.term,
    })
}
