use std::collections::BTreeMap;
use std::sync::Arc;

use crate::schema::state::FairShareRecord;
use crate::state::fair_queue::FairQueue;
use crate::state::job::Job;

/// Jobs with pending items, by service. Fair shares are accounted separately for each service:
/// items leased from one service do not count against a customer at another, which has other
/// upstreams.
#[derive(Debug, Default)]
pub(crate) struct ReadyJobs {
    services: BTreeMap<Arc<str>, FairQueue>,
    /// Number of items leased so far, which is the round-robin position between services.
    turn: u64,
}

/// The job whose item is leased next.
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

    /// Services with pending items among the requested ones; an empty list requests all.
    pub(crate) fn services_with_pending_items(&self, requested: &[String]) -> Vec<Arc<str>> {
        if requested.is_empty() {
            let waiting = self.services.iter().filter(|(_, queue)| !queue.is_idle());
            return waiting.map(|(service, _)| service.clone()).collect();
        }
        let mut found: Vec<Arc<str>> = requested
            .iter()
            .filter_map(|name| self.services.get_key_value(name.as_str()))
            .filter(|(_, queue)| !queue.is_idle())
            .map(|(service, _)| service.clone())
            .collect();
        found.sort();
        found.dedup();
        found
    }

    /// Selects the job whose item is leased next, round-robin over `services`. Services without
    /// pending items are removed from the list.
    pub(crate) fn select_next(&mut self, services: &mut Vec<Arc<str>>) -> Option<ReadyJob> {
        while !services.is_empty() {
            let index = (self.turn % services.len() as u64) as usize;
            let service = services[index].clone();
            match self.services.get(&service).and_then(FairQueue::first) {
                Some((customer, job_id)) => {
                    self.turn += 1;
                    return Some(ReadyJob { service, customer, job_id });
                }
                None => drop(services.remove(index)),
            }
        }
        None
    }

    pub(crate) fn charge(&mut self, ready: &ReadyJob, weight: u32) {
        if let Some(queue) = self.services.get_mut(&ready.service) {
            queue.charge(&ready.customer, weight);
        }
    }

    pub(crate) fn drop_idle_shares(&mut self) {
        for queue in self.services.values_mut() {
            queue.drop_idle_shares();
        }
        self.services.retain(|_, queue| !queue.is_idle() || queue.shares().next().is_some());
    }

    pub(crate) fn restore_share(
        &mut self,
        service: &str,
        customer: &str,
        virtual_time: u64,
        floor: u64,
    ) {
        self.services.entry(service.into()).or_default().restore_share(
            customer,
            virtual_time,
            floor,
        );
    }

    pub(crate) fn turn(&self) -> u64 {
        self.turn
    }

    /// The customers' fair shares as snapshot records.
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
