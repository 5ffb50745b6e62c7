/// Class of work that a request belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkClass {
    /// A caller is waiting for the response.
    Online,
    /// An item of a batch job, whose deadline is hours away.
    Batch,
}

/// Properties of a request that routing depends on.
#[derive(Clone, Copy, Debug)]
pub struct RequestView<'a> {
    /// Service name, or empty if any service with the model may serve the request.
    pub service: &'a str,
    /// Model name, with `:adapter` appended for an adapter; empty for a plain service.
    pub model: &'a str,
    /// Class of work.
    pub class: WorkClass,
    /// Hashes of the prompt's prefixes, shortest prefix first.
    pub prefix_hashes: &'a [u64],
    /// Ids of the upstreams that have already failed this request.
    pub excluded: &'a [String],
}
