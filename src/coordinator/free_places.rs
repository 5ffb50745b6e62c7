use crate::coordinator::pending_items::PendingItem;
use crate::coordinator::{JobPlan, SchedulerInput, UpstreamShare};
use crate::directory::UpstreamRecord;

/// The upstreams that an entry host may start batch items at now, with their free slots.
pub(super) struct FreePlaces<'a, 'b> {
    input: &'b SchedulerInput<'a>,
    places: Vec<(&'a UpstreamRecord, UpstreamShare)>,
}

impl<'a, 'b> FreePlaces<'a, 'b> {
    /// Takes over the upstreams that have a free slot.
    pub(super) fn new(
        input: &'b SchedulerInput<'a>,
        mut upstreams: Vec<(&'a UpstreamRecord, UpstreamShare)>,
    ) -> Self {
        upstreams.retain(|(_, share)| share.free_batch_slots() > 0);
        Self { input, places: upstreams }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// True if an upstream of the job's services has a free slot.
    pub(super) fn serve(&self, plan: &JobPlan) -> bool {
        self.places.iter().any(|(record, _)| plan.services.contains(&record.service))
    }

    /// True if an upstream with a free slot may run the item.
    pub(super) fn fit(&self, plan: &JobPlan, pending: &PendingItem) -> bool {
        self.places.iter().any(|(record, _)| self.may_run_at(record, plan, pending))
    }

    /// Takes a slot of the upstream with the most free ones among those that may run the item.
    pub(super) fn take(
        &mut self,
        plan: &JobPlan,
        pending: &PendingItem,
    ) -> Option<&'a UpstreamRecord> {
        let candidates = (0..self.places.len())
            .filter(|index| self.may_run_at(self.places[*index].0, plan, pending));
        let index = candidates.max_by_key(|index| self.places[*index].1.free_batch_slots())?;
        let (record, share) = &mut self.places[index];
        let record = *record;
        share.batch += 1;
        if share.free_batch_slots() == 0 {
            self.places.swap_remove(index);
        }
        Some(record)
    }

    /// Leaves out an upstream that takes no more items.
    pub(super) fn remove(&mut self, upstream_id: &str) {
        self.places.retain(|(record, _)| record.upstream_id != upstream_id);
    }

    fn may_run_at(&self, record: &UpstreamRecord, plan: &JobPlan, pending: &PendingItem) -> bool {
        plan.services.contains(&record.service) && pending.may_run_at(record, self.input)
    }
}
