use std::sync::Arc;

use crate::schema::state::snapshot_record::Record;
use crate::state::claim_pages::ClaimPages;
use crate::state::command_results::KeptResult;
use crate::state::file::File;
use crate::state::job::Job;

/// The tables at one moment, without their indexes: what a snapshot holds. Large parts are shared
/// with the tables, which copy a page of them when it changes.
pub(crate) struct FrozenTables {
    /// Header, fences and fair shares, which are small, as records.
    pub(crate) small: Vec<Record>,
    /// Kept results by command id, with their ends.
    pub(crate) results: Vec<(Arc<str>, u64, KeptResult)>,
    pub(crate) files: Vec<(Arc<str>, Arc<File>)>,
    pub(crate) jobs: Vec<Arc<Job>>,
    pub(crate) claims: ClaimPages,
}
