use std::sync::Arc;

use crate::schema::state::snapshot_record::Record;
use crate::state::claim_pages::ClaimPages;
use crate::state::command_results::KeptResult;
use crate::state::file::File;
use crate::state::job::Job;

/// The content of a snapshot: the tables at one point in time, without their indexes. Large parts
/// are shared copy-on-write with the live tables.
pub(crate) struct FrozenTables {
    /// Header, fences and fair shares, already encoded as records because they are small.
    pub(crate) small_records: Vec<Record>,
    /// Kept command results: command id, expiration time and result.
    pub(crate) results: Vec<(Arc<str>, u64, KeptResult)>,
    pub(crate) files: Vec<(Arc<str>, Arc<File>)>,
    pub(crate) jobs: Vec<Arc<Job>>,
    pub(crate) claims: ClaimPages,
}
