use std::sync::Arc;

use arc_swap::ArcSwap;
use async_std::channel::{unbounded, Sender};
use bytes::Bytes;
use futures::channel::oneshot;

use crate::raft::disk_quota::DiskQuota;
use crate::raft::driver::{Driver, DriverContext};
use crate::raft::event::Event;
use crate::raft::proposal_queue::{Proposal, QueueLimit};
use crate::raft::storage_opener::StorageOpener;
use crate::raft::{
    ChangeError, GroupOptions, GroupStatus, LogStorage, OpenError, Priority, ProposeError,
    ReadError, ReadPoint, ReplicaChange, ReplicaPosition, StateMachine, Transport,
};
use crate::reserved_threads;
use crate::schema::peer::RaftMessage;
use crate::signal::Signal;

/// Handle of a running replica of a group. Clones refer to the same replica.
#[derive(Clone)]
pub struct Group {
    events: Sender<Event>,
    status: Arc<ArcSwap<GroupStatus>>,
    applied: Arc<Signal>,
    queue: QueueLimit,
    disk_quota: Arc<DiskQuota>,
    closed: futures::future::Shared<oneshot::Receiver<()>>,
}

impl Group {
    /// Opens the replica in its data folder and starts its driver.
    ///
    /// # Errors
    ///
    /// If a file can't be read or written, the files belong to another replica, the identity file
    /// is missing, or the options are invalid.
    pub fn open(
        options: GroupOptions,
        machine: Arc<dyn StateMachine>,
        transport: Arc<dyn Transport>,
    ) -> Result<Self, OpenError> {
        Self::open_with(options, machine, transport, |storage| storage)
    }

    /// Opens the replica with a wrapper around its storage, for tests that inject storage errors.
    /// The wrapper is applied again each time that failed storage is reopened.
    ///
    /// # Errors
    ///
    /// As [`Group::open`].
    pub fn open_with(
        options: GroupOptions,
        machine: Arc<dyn StateMachine>,
        transport: Arc<dyn Transport>,
        wrap: impl Fn(Box<dyn LogStorage>) -> Box<dyn LogStorage> + Send + Sync + 'static,
    ) -> Result<Self, OpenError> {
        let (event_sender, events) = unbounded();
        let disk_quota = Arc::new(DiskQuota::new(&options));
        let opener = StorageOpener {
            options: options.clone(),
            machine: machine.clone(),
            disk_quota: disk_quota.clone(),
            events: event_sender.clone(),
            wrap: Box::new(wrap),
        };
        let opened = opener.open(0, 0)?;
        let status = Arc::new(ArcSwap::from_pointee(GroupStatus::default()));
        let applied = Arc::new(Signal::default());
        let context = DriverContext {
            machine,
            transport,
            events,
            event_sender: event_sender.clone(),
            disk_quota: disk_quota.clone(),
            status: status.clone(),
            applied: applied.clone(),
        };
        let driver = Driver::new(options, Arc::new(opener), opened, context);
        let (done, closed) = oneshot::channel();
        // Heartbeats must not wait behind the calls that this process serves.
        let run = async move {
            driver.run().await;
            let _ = done.send(());
        };
        reserved_threads::spawn(run).detach();
        let closed = futures::FutureExt::shared(closed);
        let (events, queue) = (event_sender, QueueLimit::default());
        Ok(Self { events, status, applied, queue, disk_quota, closed })
    }

    /// Replicates a command; returns the state machine's outcome once it is committed and applied.
    ///
    /// # Errors
    ///
    /// All errors except [`ProposeError::Unknown`] mean that the command was not proposed.
    pub async fn propose(&self, command: Bytes, priority: Priority) -> Result<Bytes, ProposeError> {
        let status = self.status.load();
        if let Some(fault) = status.fault.as_ref().filter(|_| status.is_stopped) {
            return Err(ProposeError::Storage(fault.clone()));
        }
        if !status.is_leader {
            return Err(ProposeError::NotLeader { leader_address: status.leader_address.clone() });
        }
        drop(status);
        self.disk_quota.check(command.len(), priority)?;
        let permit = self.queue.acquire(&command, priority).ok_or(ProposeError::Overloaded)?;
        let (reply, outcome) = oneshot::channel();
        let proposal = Proposal { command, priority, reply, permit };
        if self.events.try_send(Event::Propose(proposal)).is_err() {
            return Err(ProposeError::NotLeader { leader_address: None });
        }
        outcome.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Starts a linearizable read: waits until a quorum has confirmed this replica as the leader
    /// and the entries committed before are applied.
    ///
    /// # Errors
    ///
    /// If this replica is not the leader, or no quorum confirms it.
    pub async fn read_barrier(&self) -> Result<ReadPoint, ReadError> {
        let (reply, point) = oneshot::channel();
        let _ = self.events.try_send(Event::Read(reply));
        point.await.unwrap_or(Err(ReadError::NoQuorum))
    }

    /// How far this replica has the log and has applied it, at some time after this call. `None` if it takes no part
    /// in the group or may have lost entries.
    pub async fn position(&self) -> Option<ReplicaPosition> {
        let (reply, position) = oneshot::channel();
        // The published status may be older than what the replica has acknowledged.
        let _ = self.events.try_send(Event::Position(reply));
        position.await.ok().flatten()
    }

    /// Waits until this replica has applied the log up to `index`.
    pub async fn wait_until_applied(&self, index: u64) {
        loop {
            let applied = self.applied.listen();
            if self.status.load().applied_index >= index {
                return;
            }
            applied.await;
        }
    }

    /// Enqueues a message from another replica. Does not block.
    pub fn receive(&self, message: RaftMessage) {
        let _ = self.events.try_send(Event::Message(message));
    }

    /// The last published status of the replica.
    pub fn status(&self) -> Arc<GroupStatus> {
        self.status.load_full()
    }

    /// Changes the replica set by one replica; returns once the change is committed.
    ///
    /// # Errors
    ///
    /// If this replica is not the leader, the change is rejected, or its outcome is unknown.
    pub async fn change_replicas(&self, change: ReplicaChange) -> Result<(), ChangeError> {
        let (reply, done) = oneshot::channel();
        let _ = self.events.try_send(Event::Change(change, reply));
        done.await.unwrap_or(Err(ChangeError::Unknown))
    }

    /// Starts to transfer leadership to `to`, or to the most up-to-date voter if it is 0; returns
    /// the id of the next leader, which may not be elected yet.
    ///
    /// # Errors
    ///
    /// If this replica is not the leader, or `to` is not a voter that has replied recently.
    pub async fn transfer_leadership(&self, to: u64) -> Result<u64, ChangeError> {
        let (reply, done) = oneshot::channel();
        let _ = self.events.try_send(Event::Transfer(to, reply));
        done.await.unwrap_or(Err(ChangeError::Unknown))
    }

    /// Stops the replica; returns once its last write is complete.
    pub async fn close(self) {
        let _ = self.events.try_send(Event::Close);
        let _ = self.closed.await;
    }
}
