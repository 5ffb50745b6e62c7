use std::collections::BTreeMap;
use std::sync::Arc;

use crate::schema::state::FairShareRecord;
use crate::state::fair_queue::FairQueue;
use crate::state::job::Job;

/// Jobs with pending items, by service. Shares are kept for each service apart: what a customer
/// gets from one service does not count against it at another, whose upstreams are others.
#[derive(Debug, Default)]
pub(crate) struct ReadyJobs {
    services: BTreeMap<Arc<str>, FairQueue>,
    /// Counts leases of items, so that several services take turns.
    turn: u64,
}

/// The next item's job.
#[derive(Debug)]
pub(crate) struct ReadyJob {
    pub(crate) service: Arc<str>,
    pub(crate) customer: Arc<str>,
    pub(crate) job_id: Arc<str>,
}

impl ReadyJobs {
    pub(crate) fn restored(turn: u64) -> Self {
        Self { services: BTreeMap::new(), turn }
    }

    pub(crate) fn insert(&mut self, job: &Job) {
        let queue = self.services.entry(job.service.clone()).or_default();
        queue.insert(&job.customer, job.deadline_unix_ms, &job.job_id);
    }

    pub(crate) fn remove(&mut self, job: &Job) {
        if let Some(queue) = self.services.get_mut(&job.service) {
            queue.remove(&job.customer, job.deadline_unix_ms, &job.job_id);
        }
    }

    /// Services with pending items among those asked for; no names ask for all.
    pub(crate) fn waiting(&self, asked: &[String]) -> Vec<Arc<str>> {
        if asked.is_empty() {
            let waiting = self.services.iter().filter(|(_, queue)| !queue.is_idle());
            return waiting.map(|(service, _)| service.clone()).collect();
        }
        let mut found: Vec<Arc<str>> = asked
            .iter()
            .filter_map(|name| self.services.get_key_value(name.as_str()))
            .filter(|(_, queue)| !queue.is_idle())
            .map(|(service, _)| service.clone())
            .collect();
        found.sort();
        found.dedup();
        found
    }

    /// The job whose item is leased next; `services` take turns and lose those without items.
    pub(crate) fn next(&mut self, services: &mut Vec<Arc<str>>) -> Option<ReadyJob> {
        while !services.is_empty() {
            let place = (self.turn % services.len() as u64) as usize;
            let service = services[place].clone();
            match self.services.get(&service).and_then(FairQueue::first) {
                Some((customer, job_id)) => {
                    self.turn += 1;
                    return Some(ReadyJob { service, customer, job_id });
                }
                None => drop(services.remove(place)),
            }
        }
        None
    }

    pub(crate) fn charge(&mut self, ready: &ReadyJob, weight: u32) {
        if let Some(queue) = self.services.get_mut(&ready.service) {
            queue.charge(&ready.customer, weight);
        }
    }

    pub(crate) fn forget_idle(&mut self) {
        for queue in self.services.values_mut() {
            queue.forget_idle();
        }
        self.services.retain(|_, queue| !queue.is_idle() || queue.shares().next().is_some());
    }

    pub(crate) fn restore_share(&mut self, service: &str, customer: &str, time: u64, floor: u64) {
        self.services.entry(service.into()).or_default().restore_share(customer, time, floor);
    }

    pub(crate) fn turn(&self) -> u64 {
        self.turn
    }

    /// The customers' shares as a snapshot has them.
    pub(crate) fn shares(&self) -> impl Iterator<Item = FairShareRecord> + '_ {
        self.services.iter().flat_map(|(service, queue)| {
            queue.shares().map(move |(customer, virtual_time)| FairShareRecord {
                service: service.to_string(),
                customer: customer.to_owned(),
                virtual_time,
                floor: queue.floor(),
            })
        })
    }
}
