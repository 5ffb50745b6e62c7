use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::sync::Arc;

use bytes::Bytes;
use prost::Message;

use crate::ledger::tables::Tables;
use crate::ledger::Job;
use crate::schema::ledger::snapshot_record::Record;
use crate::schema::ledger::{JobRecord, SnapshotEnd, SnapshotHeader, SnapshotRecord};

/// Content of a snapshot at one point in time; shares the jobs with the tables instead of copying
/// them.
pub(super) struct SnapshotContent {
    header: SnapshotHeader,
    jobs: Vec<Arc<Job>>,
}

impl SnapshotContent {
    pub(super) fn new(tables: &Tables) -> Self {
        let header = SnapshotHeader {
            now_unix_ms: tables.now_unix_ms,
            table: Some((*tables.table).clone()),
            document: tables.document.clone(),
            retired_hosts: tables.retired_hosts.iter().cloned().collect(),
        };
        Self { header, jobs: tables.jobs.values().cloned().collect() }
    }

    pub(super) fn write(self, target: &mut dyn Write) -> io::Result<()> {
        let jobs = self.jobs.len() as u64;
        write_record(target, Record::Header(self.header))?;
        for job in self.jobs {
            write_record(target, Record::Job(JobRecord::from(&*job)))?;
        }
        write_record(target, Record::End(SnapshotEnd { jobs }))
    }
}

/// Reads a snapshot. Fails if a record is invalid or the end record is missing or counts other
/// jobs.
pub(super) fn read(source: &mut dyn Read) -> io::Result<Tables> {
    let mut content = Vec::new();
    source.read_to_end(&mut content)?;
    let mut content = Bytes::from(content);
    let mut tables = Tables::default();
    let mut jobs = BTreeMap::new();
    while !content.is_empty() {
        let record = SnapshotRecord::decode_length_delimited(&mut content)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        match record.record {
            Some(Record::Header(header)) => {
                tables.now_unix_ms = header.now_unix_ms;
                tables.table = Arc::new(header.table.unwrap_or_default());
                tables.document = header.document;
                tables.retired_hosts = header.retired_hosts.into_iter().collect();
            }
            Some(Record::Job(record)) => {
                let job = Job::from(record);
                jobs.insert(job.head.job_id.to_string(), Arc::new(job));
            }
            Some(Record::End(end)) if end.jobs == jobs.len() as u64 => {
                tables.jobs = jobs;
                return Ok(tables);
            }
            Some(Record::End(_)) | None => break,
        }
    }
    Err(io::Error::new(io::ErrorKind::InvalidData, "the snapshot of the ledger is cut short"))
}

fn write_record(target: &mut dyn Write, record: Record) -> io::Result<()> {
    let record = SnapshotRecord { record: Some(record) };
    target.write_all(&record.encode_length_delimited_to_vec())
}
