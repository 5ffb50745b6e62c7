use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Charge of one item to a customer of weight 1. Small enough that no customer's virtual time
/// overflows in 20 years of 7,000 items a second, large enough to tell weights up to 10,000 apart.
const ITEM_CHARGE: u64 = 1 << 22;

/// Jobs of one service with pending items, shared fairly between customers by virtual time: the
/// customer that has received least for its weight is next. A customer that comes back from idling
/// starts at the queue's own time, so that it neither catches up on the past nor is held back.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    shares: BTreeMap<Arc<str>, Share>,
    /// Customers with pending items by their virtual time.
    order: BTreeSet<(u64, Arc<str>)>,
    /// Virtual time of the customer served last.
    floor: u64,
}

#[derive(Debug, Default)]
struct Share {
    virtual_time: u64,
    /// Jobs by deadline, then id.
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

    /// The customer and job whose item is next.
    pub(crate) fn first(&self) -> Option<(Arc<str>, Arc<str>)> {
        let (_, customer) = self.order.first()?;
        let (_, job) = self.shares.get(customer)?.jobs.first()?;
        Some((customer.clone(), job.clone()))
    }

    /// Charges one item to a customer.
    pub(crate) fn charge(&mut self, customer: &Arc<str>, weight: u32) {
        let Some(share) = self.shares.get_mut(customer) else {
            return;
        };
        let waits = self.order.remove(&(share.virtual_time, customer.clone()));
        self.floor = self.floor.max(share.virtual_time);
        share.virtual_time += ITEM_CHARGE / u64::from(weight.max(1));
        if waits {
            self.order.insert((share.virtual_time, customer.clone()));
        }
    }

    /// Forgets idle customers that would start at the queue's own time anyway.
    pub(crate) fn forget_idle(&mut self) {
        let floor = self.floor;
        self.shares.retain(|_, share| !share.jobs.is_empty() || share.virtual_time > floor);
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.order.is_empty()
    }

    /// Sets a customer's virtual time, before its jobs are inserted after a restore.
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
