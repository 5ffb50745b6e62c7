use std::collections::{BTreeMap, BTreeSet};

use crate::admission::{BatchShare, LeaseTimes, SlotLease, UseReport};

/// Lends the slots of one incarnation of an upstream to hosts. Holds no clock.
///
/// A holder that reports voids all grants for its earlier reports, so what it may use is either
/// what it says that it holds or what the answer grants, and the owner counts the larger one until
/// the next report. Slots of a holder that falls silent come back when its lease can't be held any
/// more. A new owner lends no slot beyond what holders have before it knows what earlier owners
/// lent: once all hosts have reported, or the longest old lease has run out.
#[derive(Clone, Debug)]
pub struct SlotOwner {
    times: LeaseTimes,
    slots: u32,
    kept_free: u32,
    /// Hosts that may hold slots of an earlier owner and did not report yet.
    unheard: BTreeSet<String>,
    ready_ms: u64,
    holders: BTreeMap<String, Holder>,
}

#[derive(Clone, Debug, Default)]
struct Holder {
    incarnation: u64,
    sequence: u64,
    /// Slots that the holder may be using.
    lent: u32,
    online_in_use: u32,
    online_wanted: u32,
    online_recent: u32,
    ends_ms: u64,
    /// It was asked to report since its last report.
    is_notified: bool,
}

impl Holder {
    fn needed(&self) -> u32 {
        self.online_in_use + self.online_wanted
    }

    fn weight(&self) -> u64 {
        1 + u64::from(self.online_recent.max(self.online_in_use))
    }
}

impl SlotOwner {
    /// An owner that starts to lend now. `hosts` are those that may hold slots of an earlier owner.
    pub fn new(now_ms: u64, times: LeaseTimes, slots: u32, hosts: BTreeSet<String>) -> Self {
        // The owner before may lend for a while yet, until it learns of this one.
        let ready_ms = now_ms + times.hold_ms + times.use_ms;
        Self { times, slots, kept_free: 0, unheard: hosts, ready_ms, holders: BTreeMap::new() }
    }

    /// Sets the part of the slots that is kept free of batch.
    pub fn set_share(&mut self, share: BatchShare) {
        self.kept_free = share.kept_free(self.slots);
    }

    /// Sets the number of slots, as the upstream announces it.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Slots that holders may be using.
    pub fn lent(&self) -> u32 {
        self.holders.values().map(|holder| holder.lent).sum()
    }

    /// Takes a report and lends slots. `None` for a report that was overtaken by a later one.
    pub fn report(&mut self, now_ms: u64, report: &UseReport<'_>) -> Option<SlotLease> {
        self.holders.retain(|_, holder| holder.ends_ms > now_ms);
        let known = self.holders.get(report.holder);
        let is_old = known.is_some_and(|known| {
            (known.incarnation, known.sequence) >= (report.incarnation, report.sequence)
        });
        if is_old {
            return None;
        }
        self.unheard.remove(report.holder);
        let holder = Holder {
            incarnation: report.incarnation,
            sequence: report.sequence,
            lent: report.held,
            online_in_use: report.online_in_use,
            online_wanted: report.online_wanted,
            online_recent: report.online_recent,
            ends_ms: now_ms + self.times.hold_ms,
            is_notified: false,
        };
        self.holders.insert(report.holder.to_owned(), holder);
        let others = self.lent() - report.held;
        let free = self.slots.saturating_sub(others);
        let share = self.shares().remove(report.holder).unwrap_or_default();
        let is_ready = self.unheard.is_empty() || now_ms >= self.ready_ms;
        let wanted = if is_ready { share.slots } else { report.held };
        let slots = wanted.min(free);
        let holder = self.holders.get_mut(report.holder).expect("the holder was just added");
        holder.lent = report.held.max(slots);
        let batch_slots = slots.saturating_sub(report.online_in_use + share.kept_free);
        let is_wanted =
            |(name, holder): (&String, &Holder)| name != report.holder && holder.online_wanted > 0;
        let cut_batch = slots < report.held && self.holders.iter().any(is_wanted);
        Some(SlotLease { slots, batch_slots, cut_batch })
    }

    /// Holders that should report now: online requests wait, and these can give slots or get some.
    /// Each is named once until it has reported.
    pub fn take_notices(&mut self) -> Vec<String> {
        if !self.holders.values().any(|holder| holder.online_wanted > 0) {
            return Vec::new();
        }
        let shares = self.shares();
        let free = self.slots.saturating_sub(self.lent());
        let mut notices = Vec::new();
        for (name, holder) in &mut self.holders {
            let share = shares[name].slots;
            let gives = share < holder.lent;
            let gets = holder.online_wanted > 0 && share > holder.lent && free > 0;
            if (gives || gets) && !holder.is_notified {
                holder.is_notified = true;
                notices.push(name.clone());
            }
        }
        notices
    }

    /// What each holder should have: its online need, and a part of the rest by recent demand.
    fn shares(&self) -> BTreeMap<String, Share> {
        let needs: Vec<u64> = self.holders.values().map(|holder| holder.needed().into()).collect();
        let needed = needs.iter().sum::<u64>().min(self.slots.into());
        // Above the slots there are, needs are met in proportion.
        let met = apportion(needed, &needs);
        let weights: Vec<u64> = self.holders.values().map(Holder::weight).collect();
        let rest = u64::from(self.slots) - needed;
        let spare = apportion(rest, &weights);
        let kept_free = apportion(rest.min(self.kept_free.into()), &spare);
        let names = self.holders.keys().cloned();
        let shares = met.iter().zip(&spare).zip(&kept_free).map(|((met, spare), kept)| Share {
            slots: (met + spare) as u32,
            kept_free: *kept as u32,
        });
        names.zip(shares).collect()
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    slots: u32,
    kept_free: u32,
}

/// Splits a total by weights into whole parts that add up to it; nothing without weights.
fn apportion(total: u64, weights: &[u64]) -> Vec<u64> {
    let sum: u64 = weights.iter().sum();
    let mut before = 0;
    let mut given = 0;
    let parts = weights.iter().map(|weight| {
        before += weight;
        let upto = (total * before).checked_div(sum).unwrap_or(0);
        let part = upto - given;
        given = upto;
        part
    });
    parts.collect()
}
