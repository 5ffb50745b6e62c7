use std::io;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use async_std::task;

use crate::raft::driver::Driver;
use crate::raft::event::Event;
use crate::raft::snapshot_file::SnapshotFile;
use crate::raft::storage_thread::StorageJob;
use crate::raft::{SnapshotChunk, SnapshotMeta, SnapshotSize};

/// Size of a snapshot chunk. One is in flight at a time, so between regions it should take longer than a round trip.
const CHUNK_BYTES: u64 = 512 << 10;
/// Size of the first chunk. It may be lost on a connection to the process that had the address before; a small one is
/// missed soon.
const FIRST_CHUNK_BYTES: u64 = 16 << 10;
/// Size of the log below which no snapshot is saved, however small the state. It is sent in about a second between
/// regions.
const MIN_LOG_BYTES: u64 = 4 << 20;
/// Size of the entries that are kept after a snapshot, at least, for followers that were away for a moment.
const MIN_RETAINED_BYTES: u64 = 1 << 20;
/// Time until a snapshot that could not be saved is tried again; its log entries use up space
/// meanwhile.
const SNAPSHOT_RETRY_MS: u64 = 2_000;
/// Number of election timeouts without a reply after which a follower no longer delays compaction.
const INACTIVE_TIMEOUTS: u64 = 10;

/// Saving, sending and receiving of snapshots. Files are written and read on blocking threads.
impl Driver {
    /// Starts to save a snapshot if enough was applied since the last one, or if a follower waits for one. A replica
    /// that joined has no snapshot file until it has saved its first one.
    pub(super) fn save_snapshot(&mut self) {
        let is_newer = self.applied_index > self.node.snapshot().last_index;
        let is_awaited = !self.awaiting_snapshot.is_empty();
        let is_needed =
            (is_newer && (self.is_snapshot_due() || is_awaited)) || self.is_snapshot_missing;
        let may_save = !self.is_saving && !self.is_installing && !self.is_stopped();
        if !is_needed || !may_save || self.now_ms() < self.snapshot_retry_ms {
            return;
        }
        let Some(last_term) = self.node.log().term(self.applied_index) else { return };
        let replicas = self.node.log().replicas_at(self.applied_index).clone();
        let meta = SnapshotMeta { last_index: self.applied_index, last_term, replicas };
        (self.is_saving, self.is_capturing) = (true, true);
        self.bytes_since_snapshot = 0;
        let (files, event_sender) = (self.files.clone(), self.context.event_sender.clone());
        let machine = self.context.machine.clone();
        self.file_tasks += 1;
        task::spawn_blocking(move || {
            let notify_captured = || {
                let _ = event_sender.try_send(Event::SnapshotCaptured);
            };
            let saved = files.save(&meta, machine.as_ref(), &notify_captured);
            let _ = event_sender.try_send(Event::SnapshotSaved(meta, saved));
        });
    }

    /// True if the log has grown as much as the state since the last snapshot. The log is then at most about as large as
    /// the state, for replicas that catch up or start again, and saving costs about as much as writing the log does.
    fn is_snapshot_due(&self) -> bool {
        let state_bytes = self.node.snapshot_size().map_or(0, |size| size.state_bytes);
        let most_bytes = state_bytes.max(MIN_LOG_BYTES).min(self.options.data_limit_bytes / 8);
        let entries = self.applied_index - self.node.snapshot().last_index;
        entries >= self.options.snapshot_interval_entries || self.bytes_since_snapshot >= most_bytes
    }

    pub(super) fn handle_snapshot_saved(&mut self, meta: SnapshotMeta, saved: io::Result<u64>) {
        self.is_capturing = false;
        let known_index = self.node.snapshot().last_index;
        let is_needed = meta.last_index > known_index
            || (self.is_snapshot_missing && meta.last_index == known_index);
        // A received snapshot that is being installed replaces the current one as well.
        if saved.is_ok() && (!is_needed || self.is_installing || self.is_stopped()) {
            self.is_saving = false;
            let _ = self.files.discard_saved();
            return;
        }
        let state_bytes = match saved {
            Ok(state_bytes) => state_bytes,
            Err(error) => {
                self.give_up_snapshot(&error);
                return;
            }
        };
        self.is_committing = true;
        let (files, event_sender) = (self.files.clone(), self.context.event_sender.clone());
        self.file_tasks += 1;
        // A sync on the driver would delay heartbeats.
        task::spawn_blocking(move || {
            let committed = files.commit_saved();
            let committed = committed.map(|()| state_bytes);
            let _ = event_sender.try_send(Event::SnapshotCommitted(meta, committed));
        });
    }

    pub(super) fn handle_snapshot_committed(
        &mut self,
        meta: SnapshotMeta,
        committed: io::Result<u64>,
    ) {
        self.is_committing = false;
        let state_bytes = match committed {
            Ok(state_bytes) => state_bytes,
            Err(error) => {
                self.give_up_snapshot(&error);
                return;
            }
        };
        self.is_saving = false;
        if self.is_stopped() {
            // The opener of the storage reads the new snapshot.
            return;
        }
        self.is_snapshot_missing = false;
        self.update_snapshot_bytes();
        let (last_index, log_bytes) = (meta.last_index, self.node.log().bytes());
        let snapshot_bytes = self.files.current_bytes().unwrap_or(0);
        let earlier_bytes = self.node.snapshot_size().map_or(0, |size| size.file_bytes);
        let applied_bytes =
            self.node.log().bytes_between(self.node.snapshot().last_index, last_index);
        let size = SnapshotSize::saved(snapshot_bytes, state_bytes, earlier_bytes, applied_bytes);
        let compact_index = self.compact_index(&meta);
        self.node.snapshot_saved(meta, compact_index);
        self.node.record_snapshot_size(Some(size));
        log::info!(event = "snapshot_saved", group = self.options.group,
            replica = self.options.replica_id, last_index, log_bytes,
            kept_log_bytes = self.node.log().bytes(), state_bytes, snapshot_bytes;
            "the log before the snapshot is no longer needed");
        self.send_job(StorageJob::Compact(compact_index));
        self.send_awaited_snapshots();
    }

    /// Tries again later. The log keeps all entries until a snapshot is saved, so nothing is lost.
    fn give_up_snapshot(&mut self, error: &io::Error) {
        self.is_saving = false;
        log::warn!(event = "snapshot_not_saved", group = self.options.group; "{error}");
        let _ = self.files.discard_saved();
        self.snapshot_retry_ms = self.now_ms() + SNAPSHOT_RETRY_MS;
        self.send_awaited_snapshots();
    }

    /// Starts to send the newest snapshot to the followers that waited for another one to be saved.
    fn send_awaited_snapshots(&mut self) {
        for to in std::mem::take(&mut self.awaiting_snapshot) {
            self.read_chunk_now(to, 0, 0);
        }
    }

    /// Index up to which the log is compacted. Entries up to the size of the snapshot are kept for followers that lag
    /// behind, unless more than half of the space is used.
    fn compact_index(&self, meta: &SnapshotMeta) -> u64 {
        if self.context.disk_quota.used_bytes() > self.options.data_limit_bytes / 2 {
            return meta.last_index;
        }
        let inactivity_ms = INACTIVE_TIMEOUTS * self.options.election_timeout_ms;
        let compactable_index = self.node.compactable_index(self.now_ms(), inactivity_ms);
        let retained_entries = self.options.snapshot_interval_entries / 4;
        let retained_bytes = self.files.current_bytes().unwrap_or(0).max(MIN_RETAINED_BYTES);
        let index = meta.last_index.saturating_sub(retained_entries);
        let index = index.max(self.node.log().index_before_bytes(meta.last_index, retained_bytes));
        index.min(compactable_index)
    }

    /// Reads a chunk for a follower. A snapshot is sent from its start only if few entries follow it; else a newer one
    /// is saved first.
    pub(super) fn read_chunk(&mut self, to: u64, last_index: u64, offset_bytes: u64) {
        if self.awaiting_snapshot.contains(&to) {
            return;
        }
        let sizes = self.node.catch_up_sizes(self.node.log().first_index());
        let may_save = self.now_ms() >= self.snapshot_retry_ms;
        if last_index == 0 && may_save && sizes.is_snapshot_outdated() {
            self.awaiting_snapshot.insert(to);
            return;
        }
        self.read_chunk_now(to, last_index, offset_bytes);
    }

    fn read_chunk_now(&mut self, to: u64, last_index: u64, offset_bytes: u64) {
        let open_file = self.outgoing_snapshots.get(&to).cloned();
        let open_file =
            open_file.filter(|file| last_index != 0 && file.meta().last_index == last_index);
        let (files, event_sender) = (self.files.clone(), self.context.event_sender.clone());
        self.file_tasks += 1;
        task::spawn_blocking(move || {
            let read = open_file.map_or_else(
                || {
                    let file = files.open_current()?.ok_or(io::ErrorKind::NotFound)?;
                    Ok((Arc::new(file), 0))
                },
                |file| Ok((file, offset_bytes)),
            );
            let read = read.and_then(|(file, offset_bytes)| {
                let limit_bytes = if offset_bytes == 0 { FIRST_CHUNK_BYTES } else { CHUNK_BYTES };
                let (data, last) = file.read(offset_bytes, limit_bytes)?;
                let meta = file.meta().clone();
                Ok((file, SnapshotChunk { meta, offset_bytes, data: data.into(), last }))
            });
            let _ = event_sender.try_send(Event::ChunkRead(to, read));
        });
    }

    pub(super) fn handle_chunk_read(
        &mut self,
        now_ms: u64,
        to: u64,
        read: io::Result<(Arc<SnapshotFile>, SnapshotChunk)>,
    ) {
        match read {
            _ if self.is_stopped() => {}
            Ok((file, chunk)) => {
                if chunk.last {
                    // If the last chunk must be sent again, the file is reopened.
                    self.outgoing_snapshots.remove(&to);
                } else {
                    self.outgoing_snapshots.insert(to, file);
                }
                if chunk.offset_bytes == 0 {
                    log::info!(event = "snapshot_sent", group = self.options.group,
                        replica = self.options.replica_id, to, last_index = chunk.meta.last_index;
                        "a follower gets a snapshot in place of entries");
                }
                self.node.chunk_read(now_ms, to, chunk);
            }
            Err(error) => {
                log::warn!(event = "snapshot_not_read", group = self.options.group,
                    replica = self.options.replica_id, to; "saving another: {error}");
                self.is_snapshot_missing = true;
            }
        }
    }

    pub(super) fn store_chunk(&mut self, chunk: SnapshotChunk) {
        if self.is_installing {
            // The file of the snapshot before is still in use. The leader is told what was installed.
            return;
        }
        let (files, event_sender) = (self.files.clone(), self.context.event_sender.clone());
        self.file_tasks += 1;
        task::spawn_blocking(move || {
            let stored = files.store_chunk(chunk.offset_bytes, &chunk.data);
            let stored = stored.and_then(|()| match chunk.last {
                true => files.verify_received().map(Some),
                false => Ok(None),
            });
            let _ = event_sender.try_send(Event::ChunkStored(stored));
        });
    }

    pub(super) fn handle_chunk_stored(&mut self, stored: io::Result<Option<SnapshotFile>>) {
        match stored {
            _ if self.is_stopped() => {}
            Ok(None) => {
                self.update_snapshot_bytes();
                self.node.chunk_stored();
            }
            Ok(Some(file)) => self.install(file),
            Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                log::warn!(
                    "group {}: discarding the received snapshot: {error}",
                    self.options.group
                );
                self.node.snapshot_failed();
            }
            Err(error) => self.suspend(format!("snapshot could not be stored: {error}")),
        }
    }

    /// Starts to replace the state with a received snapshot. Heartbeats and votes are answered meanwhile, and nothing is
    /// applied.
    fn install(&mut self, file: SnapshotFile) {
        let meta = file.meta().clone();
        // A replica that has lost a part of its log in a storage failure may need a snapshot for its
        // log though its state machine is further.
        let is_newer = meta.last_index > self.applied_index;
        let is_needed = is_newer || meta.last_index > self.node.commit_index();
        if !is_needed || self.is_capturing || self.is_committing {
            // The state must not change while the state machine captures it for a snapshot, nor the
            // current snapshot while a saved one replaces it; the leader sends the snapshot again.
            self.node.snapshot_failed();
            return;
        }
        self.is_installing = true;
        let (files, machine) = (self.files.clone(), self.context.machine.clone());
        let event_sender = self.context.event_sender.clone();
        self.file_tasks += 1;
        task::spawn_blocking(move || {
            let installed = files.commit_received().and_then(|()| match is_newer {
                true => file.restore(machine.as_ref()).map(Some),
                false => Ok(None),
            });
            let _ = event_sender.try_send(Event::SnapshotInstalled(meta, installed));
        });
    }

    /// Replaces the log with an installed snapshot, unless it continues the snapshot.
    pub(super) fn handle_snapshot_installed(
        &mut self,
        meta: SnapshotMeta,
        installed: io::Result<Option<u64>>,
    ) {
        self.is_installing = false;
        if self.is_stopped() {
            // The opener of the storage reads the snapshot.
            return;
        }
        let state_bytes = match installed {
            Ok(state_bytes) => state_bytes.unwrap_or(0),
            Err(error) => {
                self.suspend(format!("snapshot could not be installed: {error}"));
                return;
            }
        };
        if !self.node.log_matches(&meta) {
            self.send_job(StorageJob::Clear);
        }
        self.update_snapshot_bytes();
        self.applied_index = self.applied_index.max(meta.last_index);
        self.bytes_since_snapshot = 0;
        let last_index = meta.last_index;
        self.node.snapshot_installed(meta);
        self.record_restored_size(state_bytes);
        log::info!(event = "snapshot_installed", group = self.options.group,
            replica = self.options.replica_id, last_index, state_bytes,
            snapshot_bytes = self.files.current_bytes().unwrap_or(0);
            "a snapshot of the leader replaced the log");
    }

    /// Records the size of the newest snapshot after its state was restored, or was newer already, which `state_bytes` 0
    /// stands for. The snapshot that a new group starts with is empty and replaces no entries.
    pub(super) fn record_restored_size(&mut self, state_bytes: u64) {
        let is_empty = self.node.snapshot().last_index == 0;
        let file_bytes = self.files.current_bytes().filter(|_| !is_empty);
        let size = file_bytes.map(|bytes| SnapshotSize::restored(bytes, state_bytes.max(bytes)));
        self.node.record_snapshot_size(size);
    }

    /// Updates the size of the snapshot files in the disk quota.
    fn update_snapshot_bytes(&self) {
        self.context.disk_quota.snapshot_bytes.store(self.files.data_bytes(), Ordering::Relaxed);
    }
}
