use std::sync::Arc;

use arc_swap::ArcSwap;
use async_std::channel::{unbounded, Sender};
use async_std::task;
use bytes::Bytes;
use futures::channel::oneshot;

use crate::raft::driver::{Driver, Links};
use crate::raft::event::Event;
use crate::raft::proposal_queue::{Proposal, QueueLimit};
use crate::raft::recovery::recover;
use crate::raft::snapshot_file::SnapshotFiles;
use crate::raft::space::Space;
use crate::raft::storage_thread::StorageThread;
use crate::raft::{
    ChangeError, GroupOptions, GroupStatus, LogStorage, OpenError, Outbox, Priority, ProposeError,
    ReadError, ReadPoint, ReplicaChange, StateMachine,
};
use crate::schema::peer::RaftMessage;

/// A running replica of a group. Clones stand for the same replica.
#[derive(Clone)]
pub struct Group {
    events: Sender<Event>,
    status: Arc<ArcSwap<GroupStatus>>,
    queue: QueueLimit,
    space: Arc<Space>,
    closed: futures::future::Shared<oneshot::Receiver<()>>,
}

impl Group {
    /// Opens the replica in its data folder and starts it.
    ///
    /// # Errors
    ///
    /// If the files can't be read, or belong to another replica, or the identity file is missing.
    pub fn open(
        options: GroupOptions,
        machine: Arc<dyn StateMachine>,
        outbox: Arc<dyn Outbox>,
    ) -> Result<Self, OpenError> {
        Self::open_with(options, machine, outbox, |storage| storage)
    }

    /// Opens the replica with its storage wrapped, for tests that make the storage fail.
    ///
    /// # Errors
    ///
    /// As [`Group::open`].
    pub fn open_with(
        options: GroupOptions,
        machine: Arc<dyn StateMachine>,
        outbox: Arc<dyn Outbox>,
        wrap: impl FnOnce(Box<dyn LogStorage>) -> Box<dyn LogStorage>,
    ) -> Result<Self, OpenError> {
        let group = options.group;
        let (recovery, storage) = recover(&options, machine.as_ref())?;
        let (report, events) = unbounded();
        let snapshot_bytes = SnapshotFiles::new(&options.data_folder).data_bytes();
        let space = Arc::new(Space::new(&options, storage.data_bytes(), snapshot_bytes));
        let storage_report = report.clone();
        let (jobs, storage_thread) = StorageThread::spawn(
            format!("raft-log-{group}"),
            wrap(Box::new(storage)),
            space.clone(),
            Box::new(move |event| {
                let _ = storage_report.try_send(Event::Storage(event));
            }),
        )
        .map_err(|error| OpenError::Io { group, error })?;
        let status = Arc::new(ArcSwap::from_pointee(GroupStatus::default()));
        let links = Links {
            machine,
            outbox,
            events,
            report: report.clone(),
            jobs,
            space: space.clone(),
            status: status.clone(),
        };
        let driver = Driver::new(options, recovery, links);
        let (done, closed) = oneshot::channel();
        task::spawn(async move {
            driver.run().await;
            // The driver has dropped the sender of jobs, so the thread ends after the last one.
            let _ = task::spawn_blocking(move || storage_thread.join()).await;
            let _ = done.send(());
        });
        let closed = futures::FutureExt::shared(closed);
        Ok(Self { events: report, status, queue: QueueLimit::default(), space, closed })
    }

    /// Replicates a command; gives the state machine's outcome once it is committed and applied.
    ///
    /// # Errors
    ///
    /// All but [`ProposeError::Unknown`] mean that the command was not proposed.
    pub async fn propose(&self, command: Bytes, priority: Priority) -> Result<Bytes, ProposeError> {
        let status = self.status.load();
        if let Some(fault) = status.fault.as_ref().filter(|_| status.is_stopped) {
            return Err(ProposeError::Storage(fault.clone()));
        }
        if !status.is_leader {
            return Err(ProposeError::NotLeader { leader_address: status.leader_address.clone() });
        }
        drop(status);
        self.space.check(command.len(), priority)?;
        let permit = self.queue.acquire(&command, priority).ok_or(ProposeError::Overloaded)?;
        let (reply, outcome) = oneshot::channel();
        let proposal = Proposal { command, priority, reply, permit };
        if self.events.try_send(Event::Propose(proposal)).is_err() {
            return Err(ProposeError::NotLeader { leader_address: None });
        }
        outcome.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Waits until this replica's state is current, as a leader that a quorum confirms.
    ///
    /// # Errors
    ///
    /// If it does not lead, or no quorum confirms that it does.
    pub async fn read_barrier(&self) -> Result<ReadPoint, ReadError> {
        let (reply, point) = oneshot::channel();
        let _ = self.events.try_send(Event::Read(reply));
        point.await.unwrap_or(Err(ReadError::NoQuorum))
    }

    /// Takes a message from another replica. Does not block.
    pub fn receive(&self, message: RaftMessage) {
        let _ = self.events.try_send(Event::Message(message));
    }

    /// What the replica last published about itself.
    pub fn status(&self) -> Arc<GroupStatus> {
        self.status.load_full()
    }

    /// Changes one replica of the group; returns once the change is committed.
    ///
    /// # Errors
    ///
    /// If this replica does not lead, or the change is not possible now, or its fate is not known.
    pub async fn change_replicas(&self, change: ReplicaChange) -> Result<(), ChangeError> {
        let (reply, done) = oneshot::channel();
        let _ = self.events.try_send(Event::Change(change, reply));
        done.await.unwrap_or(Err(ChangeError::Unknown))
    }

    /// Starts to hand leadership to `to`, or to the best follower if it is 0; gives the follower.
    ///
    /// # Errors
    ///
    /// If this replica does not lead, or the follower is not a voter that answers.
    pub async fn transfer_leadership(&self, to: u64) -> Result<u64, ChangeError> {
        let (reply, done) = oneshot::channel();
        let _ = self.events.try_send(Event::Transfer(to, reply));
        done.await.unwrap_or(Err(ChangeError::Unknown))
    }

    /// Stops the replica; returns once its last write is done.
    pub async fn close(self) {
        let _ = self.events.try_send(Event::Close);
        let _ = self.closed.await;
    }
}
