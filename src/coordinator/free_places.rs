use std::collections::HashSet;

use crate::coordinator::pending_items::PendingItem;
use crate::coordinator::{JobPlan, SchedulerInput, UpstreamShare};
use crate::directory::UpstreamRecord;

/// The upstreams that an entry host may start batch items at now, with their free slots.
pub(super) struct FreePlaces<'a, 'b> {
    input: &'b SchedulerInput<'a>,
    places: Vec<(&'a UpstreamRecord, UpstreamShare)>,
    /// Upstreams that name a limit. Each gets one item at a time, since its room is known only after the item
    /// was counted.
    limited: HashSet<&'a str>,
    /// Time that work takes at an upstream in comparison with the usual.
    slowdown: &'b dyn Fn(&str) -> f64,
}

impl<'a, 'b> FreePlaces<'a, 'b> {
    /// The places at those of `upstreams` that have a free slot; `has_limit` tells which of them name a limit.
    pub(super) fn new(
        input: &'b SchedulerInput<'a>,
        mut upstreams: Vec<(&'a UpstreamRecord, UpstreamShare)>,
        has_limit: &dyn Fn(&str) -> bool,
        slowdown: &'b dyn Fn(&str) -> f64,
    ) -> Self {
        upstreams.retain(|(_, share)| share.free_batch_slots() > 0);
        let ids = upstreams.iter().map(|(record, _)| record.upstream_id.as_str());
        let limited = ids.filter(|id| has_limit(id)).collect();
        Self { input, places: upstreams, limited, slowdown }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// True if an upstream of the job's services has a free slot.
    pub(super) fn has_service(&self, plan: &JobPlan) -> bool {
        self.places.iter().any(|(record, _)| plan.services.contains(&record.service))
    }

    /// Takes a slot of the upstream with the most free ones among those that may run the item; a free slot of a fast upstream
    /// counts for more, as an item is done there sooner.
    pub(super) fn take(
        &mut self,
        plan: &JobPlan,
        pending: &PendingItem,
    ) -> Option<&'a UpstreamRecord> {
        let candidates = (0..self.places.len())
            .filter(|index| self.may_run_at(self.places[*index].0, plan, pending));
        let worth = |index: &usize| {
            let (record, share) = &self.places[*index];
            f64::from(share.free_batch_slots()) / (self.slowdown)(&record.upstream_id)
        };
        let index = candidates.max_by(|a, b| worth(a).total_cmp(&worth(b)))?;
        let (record, share) = &mut self.places[index];
        let record = *record;
        share.batch += 1;
        if share.free_batch_slots() == 0 || self.limited.contains(&*record.upstream_id) {
            self.places.swap_remove(index);
        }
        Some(record)
    }

    fn may_run_at(&self, record: &UpstreamRecord, plan: &JobPlan, pending: &PendingItem) -> bool {
        plan.services.contains(&record.service) && pending.may_run_at(record, self.input)
    }
}
