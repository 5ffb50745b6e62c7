use std::sync::Arc;

use crate::schema::routes::Team;
use crate::teams::TeamQuota;

/// A team, as a request of its callers finds it in the index.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a> {
    /// The team.
    pub team: &'a Team,
    /// Its quota; `None` if it has no limit.
    pub quota: Option<&'a Arc<TeamQuota>>,
}
