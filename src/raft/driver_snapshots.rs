use std::io;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use async_std::task;

use crate::raft::driver::Driver;
use crate::raft::event::Event;
use crate::raft::snapshot_file::SnapshotFile;
use crate::raft::storage_thread::StorageJob;
use crate::raft::{SnapshotChunk, SnapshotMeta};

/// Size of a piece of a snapshot.
const CHUNK_BYTES: u64 = 256 << 10;
/// A follower that was silent for so many election timeouts holds up no compaction.
const SILENT_TIMEOUTS: u64 = 10;

/// Snapshots: saving, sending, receiving. Files are written and read off the driver.
impl Driver {
    /// Starts to save a snapshot when enough has been applied since the last one.
    pub(super) fn save_snapshot(&mut self) {
        let last_index = self.node.snapshot().last_index;
        let entries = self.applied_index - last_index;
        let is_due = entries >= self.options.snapshot_interval_entries
            || self.bytes_since_snapshot >= self.options.data_limit_bytes / 8;
        if !is_due || entries == 0 || self.is_saving || self.is_stopped {
            return;
        }
        let Some(last_term) = self.node.log().term(self.applied_index) else { return };
        let replicas = self.node.log().replicas_at(self.applied_index).clone();
        let meta = SnapshotMeta { last_index: self.applied_index, last_term, replicas };
        (self.is_saving, self.is_fixing) = (true, true);
        self.bytes_since_snapshot = 0;
        let (files, report) = (self.files.clone(), self.links.report.clone());
        let machine = self.links.machine.clone();
        task::spawn_blocking(move || {
            let tell_fixed = || {
                let _ = report.try_send(Event::SnapshotFixed);
            };
            let saved = files.save(&meta, machine.as_ref(), &tell_fixed);
            let _ = report.try_send(Event::SnapshotSaved(meta, saved));
        });
    }

    pub(super) fn handle_saved(&mut self, meta: SnapshotMeta, saved: io::Result<()>) {
        (self.is_saving, self.is_fixing) = (false, false);
        let is_newer = meta.last_index > self.node.snapshot().last_index;
        let kept = match saved {
            Ok(()) if is_newer => self.files.keep_saved(),
            Ok(()) => {
                let _ = self.files.drop_saved();
                return;
            }
            Err(error) => Err(error),
        };
        if let Err(error) = kept {
            self.stop(format!("snapshot could not be saved: {error}"));
            return;
        }
        self.count_files();
        let compact_index = self.compact_index(&meta);
        self.node.snapshot_saved(meta, compact_index);
        let _ = self.links.jobs.send(StorageJob::Compact(compact_index));
    }

    /// Entries up to this index go: some stay for followers that lag, unless space is short.
    fn compact_index(&self, meta: &SnapshotMeta) -> u64 {
        if self.links.space.used_bytes() > self.options.data_limit_bytes / 2 {
            return meta.last_index;
        }
        let silence_ms = SILENT_TIMEOUTS * self.options.election_timeout_ms;
        let needed_after = self.node.needed_after(self.now_ms(), silence_ms);
        let spare = self.options.snapshot_interval_entries / 4;
        meta.last_index.saturating_sub(spare).min(needed_after)
    }

    pub(super) fn read_chunk(&mut self, to: u64, last_index: u64, offset_bytes: u64) {
        let open = self.sent_files.get(&to).cloned();
        let open = open.filter(|file| last_index != 0 && file.meta().last_index == last_index);
        let (files, report) = (self.files.clone(), self.links.report.clone());
        task::spawn_blocking(move || {
            let read = open.map_or_else(
                || {
                    let file = files.open_current()?.ok_or(io::ErrorKind::NotFound)?;
                    Ok((Arc::new(file), 0))
                },
                |file| Ok((file, offset_bytes)),
            );
            let read = read.and_then(|(file, offset_bytes)| {
                let (data, last) = file.read(offset_bytes, CHUNK_BYTES)?;
                let meta = file.meta().clone();
                Ok((file, SnapshotChunk { meta, offset_bytes, data: data.into(), last }))
            });
            let _ = report.try_send(Event::ChunkRead(to, read));
        });
    }

    pub(super) fn handle_chunk_read(
        &mut self,
        now_ms: u64,
        to: u64,
        read: io::Result<(Arc<SnapshotFile>, SnapshotChunk)>,
    ) {
        match read {
            Ok((file, chunk)) => {
                if chunk.last {
                    // The last piece may have to be sent again; then the file is opened anew.
                    self.sent_files.remove(&to);
                } else {
                    self.sent_files.insert(to, file);
                }
                self.node.chunk_read(now_ms, to, chunk);
            }
            Err(error) => log::warn!("group {}: snapshot: {error}", self.options.group),
        }
    }

    pub(super) fn store_chunk(&mut self, chunk: SnapshotChunk) {
        let (files, report) = (self.files.clone(), self.links.report.clone());
        task::spawn_blocking(move || {
            let stored = files.store_chunk(chunk.offset_bytes, &chunk.data);
            let stored = stored.and_then(|()| match chunk.last {
                true => files.check_received().map(Some),
                false => Ok(None),
            });
            let _ = report.try_send(Event::ChunkStored(stored));
        });
    }

    pub(super) async fn handle_chunk_stored(&mut self, stored: io::Result<Option<SnapshotFile>>) {
        match stored {
            Ok(None) => {
                self.count_files();
                self.node.chunk_stored();
            }
            Ok(Some(file)) => self.install(file).await,
            Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                log::warn!("group {}: received snapshot: {error}", self.options.group);
                self.node.snapshot_failed();
            }
            Err(error) => self.stop(format!("snapshot could not be stored: {error}")),
        }
    }

    /// Puts a received snapshot in place of state and log.
    async fn install(&mut self, file: SnapshotFile) {
        let meta = file.meta().clone();
        if meta.last_index <= self.applied_index || self.is_fixing {
            // What the machine is about to save must not change under it; the leader tries again.
            self.node.snapshot_failed();
            return;
        }
        let (files, machine) = (self.files.clone(), self.links.machine.clone());
        let installed = task::spawn_blocking(move || {
            files.keep_received()?;
            file.restore(machine.as_ref())
        });
        if let Err(error) = installed.await {
            self.stop(format!("snapshot could not be installed: {error}"));
            return;
        }
        log::info!("group {}: installed a snapshot up to {}", self.options.group, meta.last_index);
        if !self.node.keeps_log_after(&meta) {
            let _ = self.links.jobs.send(StorageJob::Clear);
        }
        self.count_files();
        self.applied_index = meta.last_index;
        self.bytes_since_snapshot = 0;
        self.node.snapshot_installed(meta);
    }

    fn count_files(&self) {
        self.links.space.snapshot_bytes.store(self.files.data_bytes(), Ordering::Relaxed);
    }
}
