//! Handlers of the HTTP interface, one module per resource.

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

pub use announce::AnnounceUpstream;
pub use batches::{CancelBatch, CreateBatch, GetBatch, ListBatches, ReadResults};
pub use completions::Completions;
pub use configuration::{ChangeConfiguration, GetConfiguration};
pub use entries::ListEntries;
pub use files::{CreateFile, DeleteFile, GetFile, ListFiles, ReadFileContent};
pub use models::ListModels;
pub use query::RunQuery;
pub use recorded::GetRecordedAnswer;
pub use replicas::ChangeReplicas;
pub use service::Service;
pub use status::{DrainHost, Status};
