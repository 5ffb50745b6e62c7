//! Writes and reads snapshots: the records of the tables, their checksum, then the body segments.

use std::io::{self, BufRead, BufReader, BufWriter, Read, Write};

use prost::Message;

use crate::schema::state as wire;
use crate::schema::state::snapshot_record::Record;
use crate::state::claims::Claims;
use crate::state::command_results::{CommandResults, KeptResult};
use crate::state::configuration_table::ConfigurationTable;
use crate::state::fences::{Fence, Fences};
use crate::state::file::File;
use crate::state::frozen_tables::FrozenTables;
use crate::state::job::Job;
use crate::state::jobs::Jobs;
use crate::state::snapshot_records;
use crate::state::state_clock::StateClock;
use crate::state::tables::{Tables, SNAPSHOT_FORMAT};
use crate::state::{BodyStore, SegmentName, SegmentSnapshot};

/// Larger than the largest valid record, a job of a million items.
const MAX_RECORD_BYTES: u64 = 256 << 20;
const BUFFER_BYTES: usize = 256 << 10;

/// Writes a snapshot of the tables and all segments.
pub(crate) fn save(
    tables: FrozenTables,
    segments: &dyn SegmentSnapshot,
    target: &mut dyn Write,
) -> io::Result<()> {
    // The state is captured, so commands may be applied again while the segments are synced.
    target.flush()?;
    // A restart may rely on finding the segments that a snapshot lists, so they must be durable
    // first.
    segments.sync()?;
    let mut writer = RecordWriter {
        target: BufWriter::with_capacity(BUFFER_BYTES, target),
        checksum: crc32fast::Hasher::new(),
        buffer: Vec::new(),
    };
    for record in tables.small_records {
        writer.write(record)?;
    }
    for (command_id, expires, kept) in &tables.results {
        writer.write(Record::Result(snapshot_records::result(command_id, *expires, kept)))?;
    }
    for (file_id, file) in &tables.files {
        writer.write(Record::File(snapshot_records::file(file_id, file)))?;
    }
    for job in &tables.jobs {
        writer.write(Record::Job(snapshot_records::job(job)))?;
    }
    for (number, claim) in tables.claims.iter() {
        writer.write(Record::Claim(snapshot_records::claim(number, claim)))?;
    }
    writer.write(Record::Segments(snapshot_records::segments(segments.names())))?;
    writer.finish()?;
    for index in 0..segments.names().len() {
        segments.export(index, &mut writer.target)?;
    }
    writer.target.flush()
}

/// Reads the tables from a snapshot and imports the segments that `bodies` does not have. Returns
/// the tables and the listed segments; the caller still has to let `bodies` adopt the segments.
pub(crate) fn restore(
    bodies: &dyn BodyStore,
    source: &mut dyn Read,
) -> io::Result<(Tables, Vec<SegmentName>)> {
    let mut reader = RecordReader {
        source: BufReader::with_capacity(BUFFER_BYTES, source),
        checksum: crc32fast::Hasher::new(),
        buffer: Vec::new(),
    };
    let Record::Header(header) = reader.read_record()? else {
        return Err(corrupt("the first record is not a header"));
    };
    let mut tables = tables_from_header(header)?;
    let segments = loop {
        match reader.read_record()? {
            Record::Segments(list) => break snapshot_records::segment_names(&list),
            record => insert_record(&mut tables, record)?,
        }
    };
    reader.verify_end()?;
    if segments.iter().all(|segment| bodies.has_segment(segment)) {
        return Ok((tables, segments));
    }
    for segment in &segments {
        if bodies.has_segment(segment) {
            skip(&mut reader.source, segment.len_bytes)?;
            continue;
        }
        bodies.import(segment, &mut reader.source)?;
    }
    Ok((tables, segments))
}

fn tables_from_header(header: wire::SnapshotHeader) -> io::Result<Tables> {
    if header.format != SNAPSHOT_FORMAT {
        return Err(corrupt(&format!("format {} is not {SNAPSHOT_FORMAT}", header.format)));
    }
    let configuration = header.configuration.unwrap_or_default();
    Ok(Tables {
        clock: StateClock::at(header.now_unix_ms),
        configuration: ConfigurationTable::new(configuration, header.changed_by),
        results: CommandResults::default(),
        files: Default::default(),
        jobs: Jobs::restored(header.lease_turn),
        claims: Claims::restored(header.last_claim),
        fences: Fences::restored(header.last_fence),
    })
}

fn insert_record(tables: &mut Tables, record: Record) -> io::Result<()> {
    match record {
        Record::Result(record) => {
            let kept = KeptResult::try_from(&record)?;
            tables.results.insert(&record.command_id, kept, record.expires_unix_ms);
        }
        Record::File(record) => {
            let file_id = record.file.as_ref().map(|file| file.file_id.clone());
            tables.files.insert(&file_id.unwrap_or_default(), File::try_from(record)?);
        }
        Record::Share(share) => tables.jobs.ready_mut().restore_share(
            &share.service,
            &share.customer,
            share.virtual_time,
            share.floor,
        ),
        Record::Job(record) => {
            let job = Job::try_from(record)?;
            if !job.deleted {
                tables.files.restore_reader(&job.file_id);
            }
            tables.jobs.insert(job);
        }
        Record::Claim(record) => {
            let number = record.claim;
            tables.claims.insert(number, record.try_into()?);
        }
        Record::Fence(record) => tables.fences.insert(record.scope.clone(), Fence::from(record)),
        Record::Header(_) | Record::Segments(_) | Record::End(_) => {
            return Err(corrupt("a record is out of order"));
        }
    }
    Ok(())
}

struct RecordWriter<'a> {
    target: BufWriter<&'a mut dyn Write>,
    checksum: crc32fast::Hasher,
    buffer: Vec<u8>,
}

impl RecordWriter<'_> {
    fn write(&mut self, record: Record) -> io::Result<()> {
        self.buffer.clear();
        let record = wire::SnapshotRecord { record: Some(record) };
        record.encode_length_delimited(&mut self.buffer).map_err(io::Error::other)?;
        self.checksum.update(&self.buffer);
        self.target.write_all(&self.buffer)
    }

    fn finish(&mut self) -> io::Result<()> {
        let crc32 = self.checksum.clone().finalize();
        self.write(Record::End(wire::SnapshotEnd { crc32 }))
    }
}

struct RecordReader<'a> {
    source: BufReader<&'a mut dyn Read>,
    checksum: crc32fast::Hasher,
    buffer: Vec<u8>,
}

impl RecordReader<'_> {
    fn read_record(&mut self) -> io::Result<Record> {
        let len_bytes = self.read_length()?;
        if len_bytes > MAX_RECORD_BYTES {
            return Err(corrupt("a record is too long"));
        }
        self.buffer.resize(len_bytes as usize, 0);
        self.source.read_exact(&mut self.buffer)?;
        let record = wire::SnapshotRecord::decode(&self.buffer[..]).map_err(io::Error::other)?;
        let record = record.record.ok_or_else(|| corrupt("a record is of an unknown kind"))?;
        if !matches!(record, Record::End(_)) {
            let mut prefix = Vec::new();
            prost::encode_length_delimiter(len_bytes as usize, &mut prefix)
                .map_err(io::Error::other)?;
            self.checksum.update(&prefix);
            self.checksum.update(&self.buffer);
        }
        Ok(record)
    }

    fn read_length(&mut self) -> io::Result<u64> {
        let mut value = 0;
        for shift in (0..64).step_by(7) {
            let mut byte = [0];
            self.source.read_exact(&mut byte)?;
            value |= u64::from(byte[0] & 0x7f) << shift;
            if byte[0] < 0x80 {
                return Ok(value);
            }
        }
        Err(corrupt("a record's length is malformed"))
    }

    fn verify_end(&mut self) -> io::Result<()> {
        let expected = self.checksum.clone().finalize();
        match self.read_record()? {
            Record::End(end) if end.crc32 == expected => Ok(()),
            Record::End(_) => Err(corrupt("the checksum does not match")),
            _ => Err(corrupt("the end record is missing")),
        }
    }
}

fn skip(source: &mut dyn BufRead, len_bytes: u64) -> io::Result<()> {
    let skipped = io::copy(&mut source.take(len_bytes), &mut io::sink())?;
    if skipped < len_bytes {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}

pub(crate) fn corrupt(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("snapshot: {reason}"))
}
