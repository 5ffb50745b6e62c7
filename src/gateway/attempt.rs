use std::time::Instant;

use crate::gateway::{StreamRequest, Upstream};
use crate::schema::routes::Route;

/// A send of a request to an upstream that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt<'a> {
    pub(super) route: &'a Route,
    pub(super) request: &'a StreamRequest,
    pub(super) upstream: &'a Upstream,
    /// End of the request's time.
    pub(super) deadline: Instant,
}
