use crate::admission::{AdmissionPolicy, DEFAULT_BATCH_YIELD};
use crate::configuration::ConfigurationWatch;

impl AdmissionPolicy for ConfigurationWatch {
    fn weight(&self, customer: &str) -> u32 {
        let view = self.load();
        view.customer(customer).and_then(|customer| customer.weight).unwrap_or(1)
    }

    fn batch_yield(&self) -> u32 {
        let view = self.load();
        let policy = view.configuration().policy.as_ref();
        policy.and_then(|policy| policy.batch_yield).unwrap_or(DEFAULT_BATCH_YIELD)
    }
}
