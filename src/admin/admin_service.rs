use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;

use crate::admin::state_tables::StateTables;
use crate::admin::{AdminAnswer, FleetReports};
use crate::admission::{Refusal, RefusalKind, RunOutcome};
use crate::configuration::ConfigurationWatch;
use crate::control::unix_ms;
use crate::membership::Membership;
use crate::peer::{PeerCaller, TrafficClass};
use crate::query::{Comparison, Condition, Literal, ObjectKind, Show, Statement, Table, TableName};
use crate::schema::config::{edit, Customer, Edit, Policy};
use crate::schema::peer::{call, reply, Call, DrainHost, Reply};
use crate::schema::state::{
    command, outcome, CancelJob, ChangeConfiguration, DeleteFile, DeleteJob,
};
use crate::serving::{control_unavailable, submit, AnswerLedger};
use crate::state::{StateClient, StateError};

/// Maximum rows of an answer if the statement sets no limit.
const DEFAULT_LIMIT: u32 = 1_000;
/// Timeout of the call that asks a host to drain.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Executes the statements of operators.
pub struct AdminService<'a> {
    /// Hosts and upstreams of the fleet.
    pub membership: &'a Membership,
    /// The configuration that this host uses.
    pub configuration: &'a ConfigurationWatch,
    /// Client of the replicated state.
    pub state: &'a Arc<dyn StateClient>,
    /// Recorded answers to online requests.
    pub ledger: &'a AnswerLedger,
    /// Client for calls to other hosts.
    pub caller: &'a Arc<dyn PeerCaller>,
}

impl AdminService<'_> {
    /// Executes a statement.
    ///
    /// # Errors
    /// A refusal if the statement is invalid, names an object that does not exist, or if the
    /// control hosts or the host to drain cannot carry it out.
    pub async fn execute(&self, statement: &Statement) -> Result<AdminAnswer, Refusal> {
        match statement {
            Statement::Show(show) => self.show(show).await,
            Statement::Describe { kind, id } => self.describe(*kind, id).await,
            Statement::DrainHost { host } => self.drain(host).await,
            Statement::CancelJob { job } => {
                let cancel = CancelJob { customer: String::new(), job_id: job.clone() };
                self.submit_action(command::Command::CancelJob(cancel), "job", job).await
            }
            Statement::DeleteJob { job } => {
                let delete = DeleteJob { customer: String::new(), job_id: job.clone() };
                self.submit_action(command::Command::DeleteJob(delete), "job", job).await
            }
            Statement::DeleteFile { file } => {
                let delete = DeleteFile { customer: String::new(), file_id: file.clone() };
                self.submit_action(command::Command::DeleteFile(delete), "file", file).await
            }
            Statement::SetCustomer { customer, changes } => {
                let mut changed = self.customer(customer)?;
                changes.iter().for_each(|change| change.apply(&mut changed));
                self.edit_configuration(edit::Edit::PutCustomer(changed)).await
            }
            Statement::SetPolicy { changes } => {
                let mut policy = self.policy();
                changes.iter().for_each(|change| change.apply(&mut policy));
                self.edit_configuration(edit::Edit::PutPolicy(policy)).await
            }
            Statement::PutService(service) => {
                self.edit_configuration(edit::Edit::PutService((**service).clone())).await
            }
            Statement::PutCustomer(customer) => {
                self.edit_configuration(edit::Edit::PutCustomer((**customer).clone())).await
            }
            Statement::DeleteService { service } => {
                self.edit_configuration(edit::Edit::DeleteService(service.clone())).await
            }
            Statement::DeleteCustomer { customer } => {
                self.edit_configuration(edit::Edit::DeleteCustomer(customer.clone())).await
            }
        }
    }

    async fn show(&self, show: &Show) -> Result<AdminAnswer, Refusal> {
        let started_unix_ms = unix_ms();
        let (table, missing_hosts) = self.load_table(show).await?;
        let limited = Show { limit: show.limit.or(Some(DEFAULT_LIMIT)), ..show.clone() };
        let page = limited
            .evaluate(&table)
            .map_err(|error| Refusal::not_run(RefusalKind::InvalidRequest, error.to_string()))?;
        let rows = page.rows.into_iter().map(<[_]>::to_vec).collect();
        let next = page.next;
        Ok(AdminAnswer {
            rows,
            next,
            columns: table.columns,
            fresh_as_of_unix_ms: started_unix_ms,
            missing_hosts,
        })
    }

    /// Reads the table of a statement; also returns the hosts whose data is missing from it.
    async fn load_table(&self, show: &Show) -> Result<(Table, Vec<String>), Refusal> {
        let view = self.membership.view();
        let configuration = self.configuration.load_full();
        let state_tables = StateTables { state: &**self.state, show };
        let table = match show.table {
            TableName::Jobs => state_tables.jobs().await?,
            TableName::Items => state_tables.items().await?,
            TableName::Files => state_tables.files().await?,
            TableName::Services => Table::from_services(&configuration.configuration().services),
            TableName::Customers => Table::from_customers(&configuration.configuration().customers),
            TableName::Configuration => Table::from_configuration(configuration.configuration()),
            TableName::Hosts | TableName::Upstreams | TableName::Counters => {
                let reports = FleetReports::collect(&view, self.caller).await;
                let table = match show.table {
                    TableName::Hosts => Table::from_hosts(&view, &reports.by_host),
                    TableName::Upstreams => Table::from_upstreams(&view, &reports.by_host),
                    _ => Table::from_counters(&reports.by_host),
                };
                return Ok((table, reports.missing));
            }
        };
        Ok((table, Vec::new()))
    }

    /// Returns one object as rows of field name and value.
    async fn describe(&self, kind: ObjectKind, id: &str) -> Result<AdminAnswer, Refusal> {
        let (table, column) = match kind {
            ObjectKind::Host => (TableName::Hosts, "host"),
            ObjectKind::Upstream => (TableName::Upstreams, "upstream"),
            ObjectKind::Job => (TableName::Jobs, "job"),
            ObjectKind::File => (TableName::Files, "file"),
            ObjectKind::Service => (TableName::Services, "service"),
            ObjectKind::Customer => (TableName::Customers, "customer"),
            ObjectKind::Request => return self.describe_request(id).await,
        };
        let literal = Literal::Text(id.to_owned());
        let filter = Condition::Compare(column.to_owned(), Comparison::Equal, literal);
        let show =
            Show { table, filter: Some(filter), order: Vec::new(), limit: None, after: None };
        let found = self.show(&show).await?;
        let Some(row) = found.rows.into_iter().next() else { return Err(not_found(kind, id)) };
        let fields = found.columns.iter().map(|name| name.as_str().into());
        Ok(AdminAnswer {
            columns: vec!["field".to_owned(), "value".to_owned()],
            rows: fields.zip(row).map(|(field, value)| vec![field, value]).collect(),
            next: None,
            fresh_as_of_unix_ms: found.fresh_as_of_unix_ms,
            missing_hosts: found.missing_hosts,
        })
    }

    async fn describe_request(&self, id: &str) -> Result<AdminAnswer, Refusal> {
        let recorded = self.ledger.find("", id, "").await?;
        let Some(recorded) = recorded else { return Err(not_found(ObjectKind::Request, id)) };
        let row = |field: &str, value| vec![field.into(), value];
        Ok(AdminAnswer {
            columns: vec!["field".to_owned(), "value".to_owned()],
            rows: vec![
                row("request", recorded.request_id.as_str().into()),
                row("status", u64::from(recorded.status).into()),
                row("content_type", recorded.content_type.as_str().into()),
                row("body_bytes", (recorded.body.len() as u64).into()),
                row("recorded_at_unix_ms", recorded.recorded_at_unix_ms.into()),
            ],
            fresh_as_of_unix_ms: unix_ms(),
            ..AdminAnswer::default()
        })
    }

    async fn drain(&self, host_id: &str) -> Result<AdminAnswer, Refusal> {
        let view = self.membership.view();
        let host = view.hosts.iter().find(|host| host.record.host_id == host_id);
        let host = host.ok_or_else(|| not_found(ObjectKind::Host, host_id))?;
        let call = Call { call: Some(call::Call::DrainHost(DrainHost {})), ..Call::default() };
        let address = &host.record.peer_address;
        let answer = self.caller.call(address, TrafficClass::Online, call, DRAIN_TIMEOUT).await;
        match answer {
            Ok(Reply { reply: Some(reply::Reply::Done(_)) }) => {
                let cells = vec![host_id.into(), true.into()];
                Ok(AdminAnswer::single_row(&["host", "draining"], cells, unix_ms()))
            }
            Ok(_) => Err(control_unavailable(StateError::Unknown("unexpected reply".to_owned()))),
            Err(error) => {
                let message = format!("host `{host_id}` did not answer: {error}");
                let refusal = Refusal::not_run(RefusalKind::ControlUnavailable, message);
                Err(refusal.with_outcome(RunOutcome::MayHaveRun))
            }
        }
    }

    /// Submits a command to the replicated state and returns a row that confirms it.
    async fn submit_action(
        &self,
        command: command::Command,
        column: &str,
        id: &str,
    ) -> Result<AdminAnswer, Refusal> {
        self.submit(command).await?;
        Ok(AdminAnswer::single_row(&[column, "done"], vec![id.into(), true.into()], unix_ms()))
    }

    /// Submits an edit based on this host's version of the configuration. The edit is rejected if
    /// another change was applied first.
    async fn edit_configuration(&self, edit: edit::Edit) -> Result<AdminAnswer, Refusal> {
        let change = ChangeConfiguration {
            base_version: self.configuration.load().version(),
            edits: vec![Edit { edit: Some(edit) }],
        };
        let changed = self.submit(command::Command::ChangeConfiguration(change)).await?;
        let outcome::Outcome::ConfigurationChanged(changed) = changed else {
            return Err(control_unavailable(StateError::Unknown("unexpected outcome".to_owned())));
        };
        Ok(AdminAnswer::single_row(&["version"], vec![changed.version.into()], unix_ms()))
    }

    async fn submit(&self, command: command::Command) -> Result<outcome::Outcome, Refusal> {
        let command_id = format!("admin-{}", Uuid::new_v4().simple());
        submit(&**self.state, command_id, command).await
    }

    fn customer(&self, name: &str) -> Result<Customer, Refusal> {
        let view = self.configuration.load();
        view.customer(name).cloned().ok_or_else(|| not_found(ObjectKind::Customer, name))
    }

    fn policy(&self) -> Policy {
        self.configuration.load().configuration().policy.unwrap_or_default()
    }
}

fn not_found(kind: ObjectKind, id: &str) -> Refusal {
    Refusal::not_run(RefusalKind::NotFound, format!("no {kind} `{id}`"))
}
