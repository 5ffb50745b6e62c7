use std::sync::Arc;

use crate::admission::{Refusal, RefusalKind};
use crate::configuration::ConfigurationWatch;
use crate::entry::activity::Activity;
use crate::membership::{select_entry_hosts, Membership};
use crate::peer::PeerCaller;
use crate::routing::WorkClass;
use crate::schema::peer::SlotUse;
use crate::schema::state::{command, outcome, query, query_answer};
use crate::serving::{read, submit, Dispatcher, OnlineService};
use crate::settings::HostSettings;
use crate::state::StateClient;
use crate::telemetry::{Counters, Tracer};

/// Addresses named in an answer of `/v1/entries` or in a refusal.
const ENTRIES_LIMIT: usize = 8;

/// What all routes of an entry host share.
pub struct EntryShared {
    /// Settings of the host.
    pub settings: HostSettings,
    /// Counters.
    pub counters: Counters,
    /// Spans.
    pub tracer: Tracer,
    /// Hosts and upstreams.
    pub membership: Membership,
    /// The configuration in force.
    pub configuration: ConfigurationWatch,
    /// The replicated state.
    pub state: Arc<dyn StateClient>,
    /// Calls to other hosts.
    pub caller: Arc<dyn PeerCaller>,
    /// Requests to upstreams.
    pub dispatcher: Dispatcher,
    /// Online requests and their records.
    pub online: OnlineService,
    /// Open requests and the state of a drain.
    pub activity: Activity,
}

impl EntryShared {
    /// Refuses work when the configuration may have been replaced unseen.
    pub fn check_configuration(&self, service: &str, repeatable: bool) -> Result<(), Refusal> {
        if self.configuration.is_confirmed() {
            return Ok(());
        }
        let is_exempt = repeatable
            && self.configuration.confirmed_age_ms().is_some()
            && self.configuration.load().serves_when_isolated(service);
        if is_exempt {
            self.counters.count("request.served_isolated");
            return Ok(());
        }
        let message = "this host has lost contact to the control hosts";
        Err(Refusal::not_run(RefusalKind::ConfigurationStale, message))
    }

    /// Slots of each upstream that this host uses.
    pub fn slot_uses(&self) -> Vec<SlotUse> {
        let fleet = self.dispatcher.fleet().load();
        let uses = fleet.upstreams().map(|upstream| SlotUse {
            upstream_id: upstream.record.upstream_id.clone(),
            upstream_incarnation: upstream.incarnation,
            online_in_use: upstream.in_use_by(WorkClass::Online),
            batch_in_use: upstream.in_use_by(WorkClass::Batch),
            online_wanted: 0,
            batch_wanted: 0,
            held: upstream.slots().slots.into(),
            online_recent: 0,
        });
        uses.collect()
    }

    /// Submits a command; a refusal by the state becomes a refusal of the request.
    pub async fn submit(
        &self,
        command_id: String,
        command: command::Command,
    ) -> Result<outcome::Outcome, Refusal> {
        submit(&*self.state, command_id, command).await
    }

    /// Reads the state; a refusal by the state becomes a refusal of the request.
    pub async fn query(&self, query: query::Query) -> Result<query_answer::Answer, Refusal> {
        read(&*self.state, query).await
    }

    /// Entry addresses for callers in `zone`, the best first, this host included.
    pub fn entry_addresses(&self, zone: &str) -> Vec<String> {
        let view = self.membership.view();
        let zone = if zone.is_empty() { &self.settings.zone } else { zone };
        let selected = select_entry_hosts(&view, zone, rand::random(), ENTRIES_LIMIT);
        selected.iter().map(|host| host.record.caller_address.clone()).collect()
    }

    /// Entry addresses without this host, for a caller that is refused here.
    pub fn other_addresses(&self) -> Vec<String> {
        let own = self.settings.caller_address.to_string();
        let mut addresses = self.entry_addresses("");
        addresses.retain(|address| *address != own);
        addresses
    }
}
