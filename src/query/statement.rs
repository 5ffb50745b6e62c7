use std::fmt;
use std::str::FromStr;

use serde::Serialize;

use crate::query::parser::parse;
use crate::query::quoting::identifier;
use crate::query::{CustomerChange, ObjectKind, PolicyChange, QueryError, Show};
use crate::schema::config::{Customer, Service};

/// A statement of the query language. Its text parses back to the same statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// Reads rows of a table.
    Show(Show),
    /// Reads everything about one object.
    Describe {
        /// Kind of the object.
        kind: ObjectKind,
        /// Id or name of the object.
        id: String,
    },
    /// Takes a host out of service without cutting a request.
    DrainHost {
        /// The host.
        host: String,
    },
    /// Stops a batch job; finished items stay finished.
    CancelJob {
        /// The job.
        job: String,
    },
    /// Removes a finished batch job with its results.
    DeleteJob {
        /// The job.
        job: String,
    },
    /// Removes an uploaded file.
    DeleteFile {
        /// The file.
        file: String,
    },
    /// Changes numbers of a customer.
    SetCustomer {
        /// The customer.
        customer: String,
        /// One or more changes.
        changes: Vec<CustomerChange>,
    },
    /// Changes numbers of the policy.
    SetPolicy {
        /// One or more changes.
        changes: Vec<PolicyChange>,
    },
    /// Adds or replaces a service.
    PutService(Box<Service>),
    /// Adds or replaces a customer.
    PutCustomer(Box<Customer>),
    /// Removes a service.
    DeleteService {
        /// The service.
        service: String,
    },
    /// Removes a customer.
    DeleteCustomer {
        /// The customer.
        customer: String,
    },
}

impl Statement {
    /// The statement changes nothing.
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
                write!(formatter, "describe {kind} {}", identifier(id))
            }
            Self::DrainHost { host } => write!(formatter, "drain host {}", identifier(host)),
            Self::CancelJob { job } => write!(formatter, "cancel job {}", identifier(job)),
            Self::DeleteJob { job } => write!(formatter, "delete job {}", identifier(job)),
            Self::DeleteFile { file } => write!(formatter, "delete file {}", identifier(file)),
            Self::SetCustomer { customer, changes } => {
                write!(formatter, "set customer {}", identifier(customer))?;
                changes.iter().try_for_each(|change| write!(formatter, " {change}"))
            }
            Self::SetPolicy { changes } => {
                formatter.write_str("set policy")?;
                changes.iter().try_for_each(|change| write!(formatter, " {change}"))
            }
            Self::PutService(service) => write!(formatter, "put service {}", json(service)?),
            Self::PutCustomer(customer) => write!(formatter, "put customer {}", json(customer)?),
            Self::DeleteService { service } => {
                write!(formatter, "delete service {}", identifier(service))
            }
            Self::DeleteCustomer { customer } => {
                write!(formatter, "delete customer {}", identifier(customer))
            }
        }
    }
}

fn json(value: &impl Serialize) -> Result<String, fmt::Error> {
    serde_json::to_string(value).map_err(|_| fmt::Error)
}
