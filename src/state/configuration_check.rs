use crate::schema::config::{edit::Edit, Configuration, Customer, Model, Policy, Service};

const NAME_LIMIT_BYTES: usize = 128;
/// Keeps the charge of an item in `FairQueue` precise.
const WEIGHT_LIMIT: u32 = 10_000;
const ATTEMPTS_LIMIT: u32 = 100;
const MODELS_LIMIT: usize = 100;

/// Validates a configuration change and collects all errors, so that the operator sees them at
/// once.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationCheck {
    errors: Vec<String>,
}

impl ConfigurationCheck {
    /// Validates the edits against the configuration that they change and returns all errors.
    pub(crate) fn validate(current: &Configuration, edits: &[Edit]) -> Vec<String> {
        let mut check = Self::default();
        check.require(!edits.is_empty(), || "the change has no edits".to_owned());
        for edit in edits {
            match edit {
                Edit::PutService(service) => check.check_service(service),
                Edit::DeleteService(name) => {
                    let exists = current.services.iter().any(|service| service.name == *name)
                        || edits
                            .iter()
                            .any(|e| matches!(e, Edit::PutService(s) if s.name == *name));
                    check.require(exists, || format!("service {name:?} does not exist"));
                }
                Edit::PutCustomer(customer) => check.check_customer(customer),
                Edit::DeleteCustomer(name) => {
                    let exists = current.customers.iter().any(|customer| customer.name == *name)
                        || edits
                            .iter()
                            .any(|e| matches!(e, Edit::PutCustomer(c) if c.name == *name));
                    check.require(exists, || format!("customer {name:?} does not exist"));
                }
                Edit::PutPolicy(policy) => check.check_policy(policy),
            }
        }
        check.errors
    }

    fn require(&mut self, condition: bool, error: impl FnOnce() -> String) {
        if !condition {
            self.errors.push(error());
        }
    }

    fn check_name(&mut self, kind: &str, name: &str) {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./:@".contains(&byte);
        let valid =
            !name.is_empty() && name.len() <= NAME_LIMIT_BYTES && name.bytes().all(is_allowed);
        self.require(valid, || {
            format!(
                "{kind} name {name:?} must be 1 to {NAME_LIMIT_BYTES} of a-z A-Z 0-9 - _ . / : @"
            )
        });
    }

    fn check_range(&mut self, field: &str, value: u64, min: u64, max: u64) {
        self.require((min..=max).contains(&value), || {
            format!("{field} is {value}, must be {min} to {max}")
        });
    }

    fn check_service(&mut self, service: &Service) {
        let name = &service.name;
        self.check_name("service", name);
        self.require((0..=1).contains(&service.kind), || {
            format!("service {name}: kind {} is unknown", service.kind)
        });
        if let Some(attempts) = service.max_attempts {
            let field = format!("service {name}: max_attempts");
            self.check_range(&field, attempts.into(), 1, ATTEMPTS_LIMIT.into());
        }
        self.require(service.models.len() <= MODELS_LIMIT, || {
            format!("service {name}: {} models, at most {MODELS_LIMIT}", service.models.len())
        });
        for (index, model) in service.models.iter().enumerate() {
            self.check_model(name, model);
            let is_duplicate = service.models[..index].iter().any(|other| other.name == model.name);
            self.require(!is_duplicate, || {
                format!("service {name}: model {:?} is twice", model.name)
            });
        }
    }

    fn check_model(&mut self, service: &str, model: &Model) {
        self.check_name("model", &model.name);
        for adapter in &model.adapters {
            self.check_name("adapter", adapter);
        }
        if let Some(token_time_us) = model.token_time_us {
            let field = format!("service {service}: model {}: token_time_us", model.name);
            self.check_range(&field, token_time_us.into(), 1, 60_000_000);
        }
    }

    fn check_customer(&mut self, customer: &Customer) {
        let name = &customer.name;
        self.check_name("customer", name);
        if let Some(weight) = customer.weight {
            self.check_range(
                &format!("customer {name}: weight"),
                weight.into(),
                1,
                WEIGHT_LIMIT.into(),
            );
        }
        let token = &customer.token_sha256;
        let valid = token.is_empty()
            || token.len() == 64 && token.bytes().all(|byte| byte.is_ascii_hexdigit());
        self.require(valid, || {
            format!("customer {name}: token_sha256 must be empty or 64 hexadecimal digits")
        });
    }

    fn check_policy(&mut self, policy: &Policy) {
        let percents = [
            ("batch_yield", policy.batch_yield),
            ("retry_budget_percent", policy.retry_budget_percent),
            ("ejection_limit_percent", policy.ejection_limit_percent),
        ];
        for (field, value) in percents {
            self.check_range(&format!("policy: {field}"), value.unwrap_or_default().into(), 0, 100);
        }
        let day_ms = 86_400_000;
        let times = [
            ("answer_retention_ms", policy.answer_retention_ms, 60_000, 90 * day_ms),
            ("result_retention_ms", policy.result_retention_ms, 60_000, 365 * day_ms),
            ("crash_verdict_ms", policy.crash_verdict_ms, 1_000, 30 * day_ms),
            ("order_flight_ms", policy.order_flight_ms.map(u64::from), 1, 600_000),
            ("body_limit_bytes", policy.body_limit_bytes, 1 << 20, u64::MAX),
        ];
        for (field, value, min, max) in times {
            if let Some(value) = value {
                self.check_range(&format!("policy: {field}"), value, min, max);
            }
        }
    }
}
