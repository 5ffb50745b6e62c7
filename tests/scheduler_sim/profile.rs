/// What a run of the model contains and demands.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Lists of open jobs are also applied late and out of order.
    pub has_late_lists: bool,
    /// An item may be in two places; it must still be in one.
    pub may_be_twice: bool,
    /// After the trouble, the upstreams of one version run nothing, while others have room.
    pub has_unusable_version: bool,
}
