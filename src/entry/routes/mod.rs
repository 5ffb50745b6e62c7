//! One file for each path of the HTTP interface.

mod announce;
mod answer_stream;
mod batches;
mod completions;
mod configuration;
mod entries;
mod files;
mod json;
mod models;
mod query;
mod recorded;
mod replicas;
mod service;
mod status;

pub use announce::Announce;
pub use batches::{CancelBatch, CreateBatch, GetBatch, ListBatches, ReadResults};
pub use completions::Completions;
pub use configuration::{ChangeConfiguration, GetConfiguration};
pub use entries::Entries;
pub use files::{CreateFile, DeleteFile, GetFile, ListFiles, ReadFileContent};
pub use models::Models;
pub use query::RunQuery;
pub use recorded::Recorded;
pub use replicas::ChangeReplicas;
pub use service::Service;
pub use status::{Drain, Status};
