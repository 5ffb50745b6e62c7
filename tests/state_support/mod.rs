//! A state with a clock, for the tests of the replicated state.

// Each test program uses a part of it.
#![allow(dead_code)]

use std::sync::Arc;

use damaskhoist::raft::StateMachine;
use damaskhoist::schema::config::{edit, Edit};
use damaskhoist::schema::state::command::Command as Kind;
use damaskhoist::schema::state::outcome::Outcome;
use damaskhoist::schema::state::query::Query as Read;
use damaskhoist::schema::state::query_answer::Answer as Found;
use damaskhoist::schema::state::*;
use damaskhoist::state::{BodyStore, MemoryBodies, ReplicatedState};
use prost::Message;

/// A state with a clock and command ids.
pub struct Replica {
    pub state: ReplicatedState,
    pub now_ms: u64,
}

impl Replica {
    pub fn open() -> Self {
        Self::open_on(Arc::new(MemoryBodies::open()))
    }

    pub fn open_on(bodies: Arc<dyn BodyStore>) -> Self {
        Self { state: ReplicatedState::open(bodies), now_ms: 1_000_000 }
    }

    pub fn submit_as(&self, command_id: &str, kind: Kind) -> Outcome {
        let command = Command {
            command_id: command_id.to_owned(),
            proposed_at_unix_ms: self.now_ms,
            command: Some(kind),
        };
        let outcome = self.state.apply(1, &command.encode_to_vec());
        damaskhoist::schema::state::Outcome::decode(outcome).unwrap().outcome.unwrap()
    }

    pub fn submit(&self, kind: Kind) -> Outcome {
        self.submit_as("", kind)
    }

    pub fn read(&self, read: Read) -> Found {
        self.state.query(&Query { query: Some(read) }).answer.unwrap()
    }

    /// Replaces the state by a restore of its snapshot on another replica.
    pub fn move_to_other_replica(&mut self) {
        let mut snapshot = Vec::new();
        self.state.save(&mut snapshot).unwrap();
        let other = Self::open();
        other.state.restore(&mut &snapshot[..]).unwrap();
        self.state = other.state;
    }

    pub fn create_job(&self, customer: &str, job_id: &str, items: u32) -> Outcome {
        self.create_job_for(customer, job_id, items, "draft", 0)
    }

    pub fn create_job_for(
        &self,
        customer: &str,
        job_id: &str,
        items: u32,
        service: &str,
        deadline_unix_ms: u64,
    ) -> Outcome {
        let file_id = format!("file-{job_id}");
        let line = |item| format!(r#"{{"custom_id":"{job_id}-{item}"}}"#).into();
        self.submit(Kind::AppendFile(AppendFile {
            customer: customer.to_owned(),
            file_id: file_id.clone(),
            lines: (0..items).map(line).collect(),
            last: true,
            ..AppendFile::default()
        }));
        self.submit(Kind::CreateJob(CreateJob {
            customer: customer.to_owned(),
            job_id: job_id.to_owned(),
            idempotency_key: format!("key-{job_id}"),
            fingerprint: vec![1].into(),
            file_id,
            service: service.to_owned(),
            deadline_unix_ms,
            max_attempts: 2,
            ..CreateJob::default()
        }))
    }

    pub fn lease(&self, max_items: u32) -> Vec<LeasedItem> {
        self.lease_for(max_items, &[])
    }

    pub fn lease_for(&self, max_items: u32, services: &[&str]) -> Vec<LeasedItem> {
        let lease = LeaseItems {
            holder: "host-1".to_owned(),
            max_items,
            lease_ms: 5_000,
            services: services.iter().map(|service| service.to_string()).collect(),
            ..LeaseItems::default()
        };
        match self.submit(Kind::LeaseItems(lease)) {
            Outcome::ItemsLeased(leased) => leased.items,
            other => panic!("{other:?}"),
        }
    }

    pub fn finish(&self, item: &LeasedItem, end: ItemEnd) -> FinishVerdict {
        let finish = ItemFinish {
            attempt: item.attempt.clone(),
            end: end.into(),
            status: 200,
            body: format!("result of {}", item.custom_id).into(),
        };
        let finish = FinishItems { holder: "host-1".to_owned(), items: vec![finish] };
        match self.submit(Kind::FinishItems(finish)) {
            Outcome::ItemsFinished(finished) => finished.verdicts().next().unwrap(),
            other => panic!("{other:?}"),
        }
    }

    pub fn job(&self, job_id: &str) -> Job {
        let get = GetJob { customer: String::new(), job_id: job_id.to_owned() };
        match self.read(Read::GetJob(get)) {
            Found::Job(job) => job,
            other => panic!("{other:?}"),
        }
    }

    pub fn items(&self, job_id: &str) -> Vec<Item> {
        let list = ListItems { job_id: job_id.to_owned(), with_bodies: true, ..Default::default() };
        match self.read(Read::ListItems(list)) {
            Found::Items(page) => page.items,
            other => panic!("{other:?}"),
        }
    }

    pub fn take_claim(&self, request: &str, holder: &str, not_repeatable: bool) -> ClaimTaken {
        let take = TakeClaim {
            customer: "ana".to_owned(),
            key: "k".to_owned(),
            fingerprint: vec![7].into(),
            request_id: request.to_owned(),
            holder: holder.to_owned(),
            lease_ms: 1_000,
            not_repeatable,
            ..TakeClaim::default()
        };
        match self.submit(Kind::TakeClaim(take)) {
            Outcome::ClaimTaken(taken) => taken,
            other => panic!("{other:?}"),
        }
    }

    pub fn settle(&self, request: &str, not_run: bool) -> Outcome {
        let (customer, key) = ("ana".to_owned(), "k".to_owned());
        let request_id = request.to_owned();
        self.submit(Kind::SettleClaim(SettleClaim { customer, key, request_id, not_run }))
    }

    pub fn record(&self, request: &str, body: &str) -> Outcome {
        self.submit(Kind::RecordAnswer(RecordAnswer {
            customer: "ana".to_owned(),
            key: "k".to_owned(),
            fingerprint: vec![7].into(),
            request_id: request.to_owned(),
            status: 200,
            content_type: "application/json".to_owned(),
            body: body.as_bytes().to_vec().into(),
        }))
    }

    pub fn take_fence(&self, holder: &str) -> FenceTaken {
        let take =
            TakeFence { scope: "orders".to_owned(), holder: holder.to_owned(), lease_ms: 1_000 };
        match self.submit(Kind::TakeFence(take)) {
            Outcome::FenceTaken(taken) => taken,
            other => panic!("{other:?}"),
        }
    }
}

pub fn change(base_version: u64, edits: Vec<edit::Edit>) -> Kind {
    let edits = edits.into_iter().map(|edit| Edit { edit: Some(edit) }).collect();
    Kind::ChangeConfiguration(ChangeConfiguration { base_version, edits })
}

pub fn refused(outcome: Outcome) -> (RefusalCode, String) {
    match outcome {
        Outcome::Refused(refused) => (refused.code(), refused.message),
        other => panic!("{other:?}"),
    }
}
