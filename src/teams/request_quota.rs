use std::time::Duration;

/// The quota of the team that sent a request, for the part of a host that forwards it.
pub trait RequestQuota: Send + Sync {
    /// Name of the team.
    fn team(&self) -> &str;

    /// Takes a request out of the quota.
    ///
    /// # Errors
    /// The time after which the caller may come back, if the quota is used up.
    fn try_take(&self) -> Result<(), Duration>;

    /// Counts one more run of a request that was admitted.
    fn take_rerun(&self);

    /// Gives back the place of a request that did not run.
    fn give_back(&self);
}
