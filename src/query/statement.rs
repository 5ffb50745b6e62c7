use std::fmt;
use std::str::FromStr;

use serde::Serialize;

use crate::query::parser::parse;
use crate::query::quoting::format_identifier;
use crate::query::{CustomerChange, ObjectKind, PolicyChange, QueryError, Show};
use crate::schema::config::{Customer, Service};

/// A statement of the query language. Its `Display` output parses back to the same statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// Reads rows of a table.
    Show(Show),
    /// Reads all fields of one object.
    Describe {
        /// Kind of the object.
        kind: ObjectKind,
        /// Id or name of the object, depending on its kind.
        id: String,
    },
    /// Drains a host: takes it out of service without aborting open requests.
    DrainHost {
        /// Id of the host.
        host: String,
    },
    /// Cancels a batch job; finished items keep their results.
    CancelJob {
        /// Id of the job.
        job: String,
    },
    /// Removes a finished batch job with its results.
    DeleteJob {
        /// Id of the job.
        job: String,
    },
    /// Removes an uploaded file.
    DeleteFile {
        /// Id of the file.
        file: String,
    },
    /// Changes numeric settings of a customer.
    SetCustomer {
        /// Name of the customer.
        customer: String,
        /// At least one change.
        changes: Vec<CustomerChange>,
    },
    /// Changes numeric settings of the policy.
    SetPolicy {
        /// At least one change.
        changes: Vec<PolicyChange>,
    },
    /// Adds or replaces a service.
    PutService(Box<Service>),
    /// Adds or replaces a customer.
    PutCustomer(Box<Customer>),
    /// Removes a service.
    DeleteService {
        /// Name of the service.
        service: String,
    },
    /// Removes a customer.
    DeleteCustomer {
        /// Name of the customer.
        customer: String,
    },
}

impl Statement {
    /// Whether the statement only reads.
    pub fn is_read(&self) -> bool {
        matches!(self, Self::Show(_) | Self::Describe { .. })
    }
}

impl FromStr for Statement {
    type Err = QueryError;

    fn from_str(text: &str) -> Result<Self, QueryError> {
        parse(text)
    }
}

impl fmt::Display for Statement {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Show(show) => write!(formatter, "{show}"),
            Self::Describe { kind, id } => {
                write!(formatter, "describe {kind} {}", format_identifier(id))
            }
            Self::DrainHost { host } => write!(formatter, "drain host {}", format_identifier(host)),
            Self::CancelJob { job } => write!(formatter, "cancel job {}", format_identifier(job)),
            Self::DeleteJob { job } => write!(formatter, "delete job {}", format_identifier(job)),
            Self::DeleteFile { file } => {
                write!(formatter, "delete file {}", format_identifier(file))
            }
            Self::SetCustomer { customer, changes } => {
                write!(formatter, "set customer {}", format_identifier(customer))?;
                changes.iter().try_for_each(|change| write!(formatter, " {change}"))
            }
            Self::SetPolicy { changes } => {
                formatter.write_str("set policy")?;
                changes.iter().try_for_each(|change| write!(formatter, " {change}"))
            }
            Self::PutService(service) => write!(formatter, "put service {}", json(service)?),
            Self::PutCustomer(customer) => write!(formatter, "put customer {}", json(customer)?),
            Self::DeleteService { service } => {
                write!(formatter, "delete service {}", format_identifier(service))
            }
            Self::DeleteCustomer { customer } => {
                write!(formatter, "delete customer {}", format_identifier(customer))
            }
        }
    }
}

fn json(value: &impl Serialize) -> Result<String, fmt::Error> {
    serde_json::to_string(value).map_err(|_| fmt::Error)
}
