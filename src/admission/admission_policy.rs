/// Settings that decide how customers and classes of work share slots.
pub trait AdmissionPolicy: Send + Sync {
    /// Weight of a customer's share relative to those of other customers.
    fn weight(&self, customer: &str) -> u32;

    /// Balance between online latency and batch throughput: 0 protects online requests most, 100
    /// favours batch.
    fn batch_yield(&self) -> u32;
}
