use std::collections::HashMap;

use sha2::{Digest, Sha256};

use crate::schema::config::{Configuration, Customer, Service};

/// Customer of all callers while no customer has a token.
pub const DEFAULT_CUSTOMER: &str = "default";
/// Attempts of a batch item where the configuration sets no limit.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// An immutable configuration with indexes for the lookups that requests need.
#[derive(Debug, Default)]
pub struct ConfigurationView {
    configuration: Configuration,
    services: HashMap<String, usize>,
    customers_by_token: HashMap<String, usize>,
    customers: HashMap<String, usize>,
}

impl From<Configuration> for ConfigurationView {
    fn from(configuration: Configuration) -> Self {
        let mut view = Self::default();
        for (index, service) in configuration.services.iter().enumerate() {
            view.services.insert(service.name.clone(), index);
        }
        for (index, customer) in configuration.customers.iter().enumerate() {
            view.customers.insert(customer.name.clone(), index);
            if !customer.token_sha256.is_empty() {
                view.customers_by_token.insert(customer.token_sha256.clone(), index);
            }
        }
        view.configuration = configuration;
        view
    }
}

impl ConfigurationView {
    /// The whole configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Finds a service by name. Services that announce themselves need no entry.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|index| &self.configuration.services[*index])
    }

    /// Finds a customer by name.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        self.customers.get(name).map(|index| &self.configuration.customers[*index])
    }

    /// Name of the customer that a token belongs to, or `None` for a missing or unknown token.
    /// While no customer has a token, every caller is the default customer.
    pub fn authenticate(&self, token: Option<&str>) -> Option<&str> {
        if self.customers_by_token.is_empty() {
            return Some(DEFAULT_CUSTOMER);
        }
        let digest: String =
            Sha256::digest(token?).iter().map(|byte| format!("{byte:02x}")).collect();
        let index = self.customers_by_token.get(&digest)?;
        Some(&self.configuration.customers[*index].name)
    }

    /// True when answers of the service are recorded, which is the default.
    pub fn records_answers(&self, service: &str) -> bool {
        self.service(service).and_then(|service| service.record_answers).unwrap_or(true)
    }

    /// True when a host that can't reach the control hosts continues to serve the service.
    pub fn serves_when_isolated(&self, service: &str) -> bool {
        self.service(service).is_some_and(|service| service.serve_when_isolated)
    }

    /// True when calls of the service must not be repeated.
    pub fn is_not_repeatable(&self, service: &str) -> bool {
        self.service(service).is_some_and(|service| service.not_repeatable)
    }

    /// Largest number of attempts for a batch item of the service.
    pub fn max_attempts(&self, service: &str) -> u32 {
        self.service(service)
            .and_then(|service| service.max_attempts)
            .unwrap_or(DEFAULT_MAX_ATTEMPTS)
    }
}
