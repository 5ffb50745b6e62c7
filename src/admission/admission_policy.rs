/// What the configuration says about sharing slots.
pub trait AdmissionPolicy: Send + Sync {
    /// Share of a customer relative to others.
    fn weight(&self, customer: &str) -> u32;

    /// Balance between harm to online requests and batch throughput, 0 to 100.
    fn batch_yield(&self) -> u32;
}
