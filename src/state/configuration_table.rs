use std::collections::HashMap;
use std::sync::Arc;

use crate::schema::config::{edit::Edit, Configuration, Policy};
use crate::state::configuration_check::ConfigurationCheck;
use crate::state::outcome::Outcome;
use crate::state::refusal::Refusal;

const DEFAULT_ANSWER_RETENTION_MS: u64 = 24 * 3_600_000;
/// Batch results are usually fetched within days; a week allows for holidays.
const DEFAULT_RESULT_RETENTION_MS: u64 = 7 * 24 * 3_600_000;
const DEFAULT_BODY_LIMIT_BYTES: u64 = 64 << 30;
const DEFAULT_MAX_ATTEMPTS: u32 = 3;
const DEFAULT_WEIGHT: u32 = 1;

/// The accepted configuration. The document is kept in schema types, because it is sent to other
/// hosts unchanged; decisions use the few values that are extracted from it here.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigurationTable {
    current: Arc<Configuration>,
    /// Id of the command that created the current version.
    changed_by: String,
    weights: HashMap<String, u32>,
    policy: Policy,
}

impl ConfigurationTable {
    pub(crate) fn new(current: Configuration, changed_by: String) -> Self {
        let weights = current
            .customers
            .iter()
            .map(|customer| (customer.name.clone(), customer.weight.unwrap_or(DEFAULT_WEIGHT)))
            .collect();
        let policy = current.policy.unwrap_or_default();
        Self { current: Arc::new(current), changed_by, weights, policy }
    }

    pub(crate) fn current(&self) -> &Arc<Configuration> {
        &self.current
    }

    pub(crate) fn changed_by(&self) -> &str {
        &self.changed_by
    }

    /// Applies the edits as the next version. Refused unless they are valid and based on the
    /// current version.
    pub(crate) fn change(
        &mut self,
        command_id: &str,
        base_version: u64,
        edits: Vec<Edit>,
    ) -> Result<Outcome, Refusal> {
        let newest = self.current.version;
        if base_version != newest {
            return Err(Refusal::version_conflict(format!(
                "the change is based on version {base_version}, but version {newest} is in force, \
                 set by command {:?}",
                self.changed_by
            )));
        }
        let errors = ConfigurationCheck::validate(&self.current, &edits);
        if !errors.is_empty() {
            return Err(Refusal::invalid(errors.join("; ")));
        }
        let mut next = Configuration::clone(&self.current);
        next.version += 1;
        for edit in edits {
            apply_edit(&mut next, edit);
        }
        *self = Self::new(next, command_id.to_owned());
        Ok(Outcome::ConfigurationChanged { version: newest + 1 })
    }

    pub(crate) fn weight(&self, customer: &str) -> u32 {
        self.weights.get(customer).copied().unwrap_or(DEFAULT_WEIGHT).max(1)
    }

    /// Maximum number of attempts for items of the service whose job sets none.
    pub(crate) fn max_attempts(&self, service: &str) -> u32 {
        let found = self.current.services.iter().find(|existing| existing.name == service);
        found.and_then(|existing| existing.max_attempts).unwrap_or(DEFAULT_MAX_ATTEMPTS)
    }

    pub(crate) fn answer_retention_ms(&self) -> u64 {
        self.policy.answer_retention_ms.unwrap_or(DEFAULT_ANSWER_RETENTION_MS)
    }

    pub(crate) fn result_retention_ms(&self) -> u64 {
        self.policy.result_retention_ms.unwrap_or(DEFAULT_RESULT_RETENTION_MS)
    }

    pub(crate) fn body_limit_bytes(&self) -> u64 {
        self.policy.body_limit_bytes.unwrap_or(DEFAULT_BODY_LIMIT_BYTES)
    }
}

fn apply_edit(next: &mut Configuration, edit: Edit) {
    match edit {
        Edit::PutService(service) => upsert(&mut next.services, service, |existing| &existing.name),
        Edit::DeleteService(name) => next.services.retain(|existing| existing.name != name),
        Edit::PutCustomer(customer) => {
            upsert(&mut next.customers, customer, |existing| &existing.name)
        }
        Edit::DeleteCustomer(name) => next.customers.retain(|existing| existing.name != name),
        Edit::PutPolicy(policy) => next.policy = Some(policy),
    }
}

/// Inserts the entry or replaces the one of the same name. Entries stay sorted by name.
fn upsert<T>(entries: &mut Vec<T>, entry: T, name: impl Fn(&T) -> &String) {
    match entries.binary_search_by(|existing| name(existing).cmp(name(&entry))) {
        Ok(index) => entries[index] = entry,
        Err(index) => entries.insert(index, entry),
    }
}
