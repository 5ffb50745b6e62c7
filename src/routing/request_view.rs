/// Whether a caller waits for an answer or a job does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkClass {
    /// A caller waits.
    Online,
    /// An item of a job that is due hours later.
    Batch,
}

/// What routing needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestView<'a> {
    /// Service, or empty when any service with the model will do.
    pub service: &'a str,
    /// Model, or empty for a plain service.
    pub model: &'a str,
    /// Online or batch.
    pub class: WorkClass,
    /// Hashes of the prompt's prefixes, the shortest prefix first.
    pub prefix_hashes: &'a [u64],
    /// Upstreams that failed this request already.
    pub excluded: &'a [String],
}
