use std::collections::{BTreeMap, BTreeSet};

use crate::admission::{BatchPolicy, LeaseTimes, SlotLease, UseReport};

/// Owner's side of the slot leases for one incarnation of an upstream: grants its slots to hosts.
/// Callers pass the time.
///
/// A report invalidates all grants for earlier reports of its holder. The holder may therefore use
/// either the slots that it reports or those that the reply grants, and the owner counts the larger
/// number as outstanding until the next report. The slots of a holder that stops reporting are
/// reclaimed when its lease and the grace period have ended. A new owner grants no holder more than
/// it reports until it knows the grants of earlier owners: when all hosts have reported, or when
/// the longest earlier lease has ended.
#[derive(Clone, Debug)]
pub struct SlotOwner {
    times: LeaseTimes,
    slots: u32,
    /// Slots that batch must leave free for online requests.
    online_reserve: u32,
    /// Hosts that may hold a lease of an earlier owner and have not reported yet.
    unreported_hosts: BTreeSet<String>,
    /// Time at which all leases of earlier owners have ended.
    handover_ends_ms: u64,
    holders: BTreeMap<String, Holder>,
}

#[derive(Clone, Debug, Default)]
struct Holder {
    incarnation: u64,
    sequence: u64,
    /// Slots that the holder may be using.
    outstanding: u32,
    online_in_use: u32,
    online_wanted: u32,
    online_recent: u32,
    expires_ms: u64,
    /// The holder has been asked for a report since its last one.
    is_notified: bool,
}

impl Holder {
    fn online_demand(&self) -> u32 {
        self.online_in_use + self.online_wanted
    }

    fn weight(&self) -> u64 {
        1 + u64::from(self.online_recent.max(self.online_in_use))
    }
}

impl SlotOwner {
    /// An owner that starts granting leases now. `hosts` may hold leases of an earlier owner.
    pub fn new(now_ms: u64, times: LeaseTimes, slots: u32, hosts: BTreeSet<String>) -> Self {
        // The previous owner may grant leases for a while, until it learns that it was replaced.
        let handover_ends_ms = now_ms + times.hold_ms + times.use_ms;
        Self {
            times,
            slots,
            online_reserve: 0,
            unreported_hosts: hosts,
            handover_ends_ms,
            holders: BTreeMap::new(),
        }
    }

    /// Applies the limits on batch work.
    pub fn set_batch_policy(&mut self, policy: BatchPolicy) {
        self.online_reserve = policy.online_reserve(self.slots);
    }

    /// Sets the number of slots that the upstream announces.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Number of slots that holders may be using.
    pub fn outstanding(&self) -> u32 {
        self.holders.values().map(|holder| holder.outstanding).sum()
    }

    /// Handles a report and grants a lease. `None` when a later report of the holder was handled
    /// before.
    pub fn handle_report(&mut self, now_ms: u64, report: &UseReport<'_>) -> Option<SlotLease> {
        self.holders.retain(|_, holder| holder.expires_ms > now_ms);
        let previous = self.holders.get(report.holder);
        let is_outdated = previous.is_some_and(|previous| {
            (previous.incarnation, previous.sequence) >= (report.incarnation, report.sequence)
        });
        if is_outdated {
            return None;
        }
        self.unreported_hosts.remove(report.holder);
        let holder = Holder {
            incarnation: report.incarnation,
            sequence: report.sequence,
            outstanding: report.held,
            online_in_use: report.online_in_use,
            online_wanted: report.online_wanted,
            online_recent: report.online_recent,
            expires_ms: now_ms + self.times.hold_ms,
            is_notified: false,
        };
        self.holders.insert(report.holder.to_owned(), holder);
        let held_by_others = self.outstanding() - report.held;
        let free = self.slots.saturating_sub(held_by_others);
        let share = self.shares().remove(report.holder).unwrap_or_default();
        let is_handover_over = self.unreported_hosts.is_empty() || now_ms >= self.handover_ends_ms;
        let target = if is_handover_over { share.slots } else { report.held };
        let slots = target.min(free);
        let holder = self.holders.get_mut(report.holder).expect("the holder was just added");
        holder.outstanding = report.held.max(slots);
        let batch_slots = slots.saturating_sub(report.online_in_use + share.online_reserve);
        let is_other_waiting =
            |(name, holder): (&String, &Holder)| name != report.holder && holder.online_wanted > 0;
        let cut_batch = slots < report.held && self.holders.iter().any(is_other_waiting);
        Some(SlotLease { slots, batch_slots, cut_batch })
    }

    /// Holders that should report now: online requests wait, and these holders can release slots or
    /// gain some. Each is returned at most once between two of its reports.
    pub fn hosts_to_notify(&mut self) -> Vec<String> {
        if !self.holders.values().any(|holder| holder.online_wanted > 0) {
            return Vec::new();
        }
        let shares = self.shares();
        let free = self.slots.saturating_sub(self.outstanding());
        let mut names = Vec::new();
        for (name, holder) in &mut self.holders {
            let share = shares[name].slots;
            let has_surplus = share < holder.outstanding;
            let can_grow = holder.online_wanted > 0 && share > holder.outstanding && free > 0;
            if (has_surplus || can_grow) && !holder.is_notified {
                holder.is_notified = true;
                names.push(name.clone());
            }
        }
        names
    }

    /// Target share of each holder: its online demand, and a part of the remaining slots in
    /// proportion to its recent demand.
    fn shares(&self) -> BTreeMap<String, Share> {
        let demands: Vec<u64> =
            self.holders.values().map(|holder| holder.online_demand().into()).collect();
        let total_demand = demands.iter().sum::<u64>().min(self.slots.into());
        // Demands that exceed the slots are met in proportion.
        let met_demand = apportion(total_demand, &demands);
        let weights: Vec<u64> = self.holders.values().map(Holder::weight).collect();
        let remaining = u64::from(self.slots) - total_demand;
        let spare = apportion(remaining, &weights);
        let online_reserve = apportion(remaining.min(self.online_reserve.into()), &spare);
        let holder_names = self.holders.keys().cloned();
        let shares = met_demand.iter().zip(&spare).zip(&online_reserve).map(
            |((met_demand, spare), reserve)| Share {
                slots: (met_demand + spare) as u32,
                online_reserve: *reserve as u32,
            },
        );
        holder_names.zip(shares).collect()
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    slots: u32,
    online_reserve: u32,
}

/// Splits a total into integer parts proportional to the weights, which add up to the total. All
/// parts are 0 when the weights add up to 0.
fn apportion(total: u64, weights: &[u64]) -> Vec<u64> {
    let sum: u64 = weights.iter().sum();
    let mut cumulative_weight = 0;
    let mut assigned = 0;
    let parts = weights.iter().map(|weight| {
        cumulative_weight += weight;
        let assigned_after = (total * cumulative_weight).checked_div(sum).unwrap_or(0);
        let part = assigned_after - assigned;
        assigned = assigned_after;
        part
    });
    parts.collect()
}
