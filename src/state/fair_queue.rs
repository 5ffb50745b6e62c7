use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Virtual time that one item costs a customer of weight 1. Small enough that no virtual time
/// overflows in 20 years at 7,000 items per second, large enough that weights up to 10,000 differ.
const ITEM_CHARGE: u64 = 1 << 22;

/// Weighted fair queue of the jobs of one service that have pending items.
///
/// Each customer has a virtual time, which grows with each leased item in inverse proportion to the
/// customer's weight; the customer with the lowest virtual time is next. A customer that was idle
/// rejoins at the virtual time of the queue or its own, whichever is later, so that idle time earns
/// no credit and work already received still counts.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    shares: BTreeMap<Arc<str>, Share>,
    /// Customers with pending items, by virtual time.
    order: BTreeSet<(u64, Arc<str>)>,
    /// Virtual time of the queue: that of the customer served last. Customers that become active
    /// start no earlier.
    floor: u64,
}

#[derive(Debug, Default)]
struct Share {
    virtual_time: u64,
    /// Jobs with pending items, by deadline, then by id.
    jobs: BTreeSet<(u64, Arc<str>)>,
}

impl FairQueue {
    pub(crate) fn insert(&mut self, customer: &Arc<str>, deadline_unix_ms: u64, job: &Arc<str>) {
        let floor = self.floor;
        let share = self.shares.entry(customer.clone()).or_default();
        if share.jobs.is_empty() {
            share.virtual_time = share.virtual_time.max(floor);
            self.order.insert((share.virtual_time, customer.clone()));
        }
        share.jobs.insert((deadline_unix_ms, job.clone()));
    }

    pub(crate) fn remove(&mut self, customer: &Arc<str>, deadline_unix_ms: u64, job: &Arc<str>) {
        let Some(share) = self.shares.get_mut(customer) else {
            return;
        };
        share.jobs.remove(&(deadline_unix_ms, job.clone()));
        if share.jobs.is_empty() {
            self.order.remove(&(share.virtual_time, customer.clone()));
        }
    }

    /// The customer and the job whose item is leased next.
    pub(crate) fn first(&self) -> Option<(Arc<str>, Arc<str>)> {
        let (_, customer) = self.order.first()?;
        let (_, job) = self.shares.get(customer)?.jobs.first()?;
        Some((customer.clone(), job.clone()))
    }

    /// Charges one leased item to a customer.
    pub(crate) fn charge(&mut self, customer: &Arc<str>, weight: u32) {
        let Some(share) = self.shares.get_mut(customer) else {
            return;
        };
        let is_queued = self.order.remove(&(share.virtual_time, customer.clone()));
        self.floor = self.floor.max(share.virtual_time);
        share.virtual_time += ITEM_CHARGE / u64::from(weight.max(1));
        if is_queued {
            self.order.insert((share.virtual_time, customer.clone()));
        }
    }

    /// Removes idle customers that would rejoin at the queue's virtual time anyway.
    pub(crate) fn drop_idle_shares(&mut self) {
        let floor = self.floor;
        self.shares.retain(|_, share| !share.jobs.is_empty() || share.virtual_time > floor);
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.order.is_empty()
    }

    /// Restores a customer's virtual time from a snapshot. Its jobs must be inserted afterwards.
    pub(crate) fn restore_share(&mut self, customer: &str, virtual_time: u64, floor: u64) {
        self.floor = floor;
        let share = Share { virtual_time, jobs: BTreeSet::new() };
        self.shares.insert(customer.into(), share);
    }

    /// Customers with their virtual times.
    pub(crate) fn shares(&self) -> impl Iterator<Item = (&str, u64)> {
        self.shares.iter().map(|(customer, share)| (&**customer, share.virtual_time))
    }

    pub(crate) fn floor(&self) -> u64 {
        self.floor
    }
}
