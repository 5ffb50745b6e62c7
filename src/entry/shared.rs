use std::sync::Arc;

use crate::admission::{Refusal, RefusalKind};
use crate::configuration::ConfigurationWatch;
use crate::entry::request_tracker::RequestTracker;
use crate::membership::{select_entry_hosts, Membership};
use crate::peer::PeerCaller;
use crate::routing::WorkClass;
use crate::schema::peer::SlotUse;
use crate::schema::state::{command, outcome, query, query_answer};
use crate::serving::{read, submit, Dispatcher, OnlineService};
use crate::settings::HostSettings;
use crate::state::StateClient;
use crate::telemetry::{Counters, Tracer};

/// Maximum number of addresses in a response of `/v1/entries` or in a refusal.
const ENTRIES_LIMIT: usize = 8;

/// State and clients that all routes of an entry host share.
pub struct EntryShared {
    /// Settings of the host.
    pub settings: HostSettings,
    /// Counters of the host.
    pub counters: Counters,
    /// Creates spans.
    pub tracer: Tracer,
    /// Hosts and upstreams of the fleet.
    pub membership: Membership,
    /// The active configuration.
    pub configuration: ConfigurationWatch,
    /// Client of the replicated state.
    pub state: Arc<dyn StateClient>,
    /// Client for calls to other hosts.
    pub caller: Arc<dyn PeerCaller>,
    /// Dispatches requests to upstreams.
    pub dispatcher: Dispatcher,
    /// Runs online requests and records their answers.
    pub online: OnlineService,
    /// Counts open requests and tracks the drain of the host.
    pub request_tracker: RequestTracker,
}

impl EntryShared {
    /// Checks that this host knows the hosts and upstreams of the fleet.
    ///
    /// # Errors
    /// [`RefusalKind::Joining`] if it has not heard of them from another host since its start.
    pub fn check_joined(&self) -> Result<(), Refusal> {
        if self.membership.view().joined {
            return Ok(());
        }
        let message = "this host has just started and does not know the fleet yet";
        Err(Refusal::not_run(RefusalKind::Joining, message))
    }

    /// Checks that this host may run requests of a service: it knows the fleet, and the active
    /// configuration is confirmed as current by the control hosts.
    ///
    /// A stale configuration is still accepted for repeatable requests to services that are
    /// configured to be served while the host is isolated, if it has been confirmed before.
    ///
    /// # Errors
    /// [`RefusalKind::ConfigurationStale`] if a newer configuration may exist, and the errors of
    /// [`EntryShared::check_joined`].
    pub fn check_serving(&self, service: &str, repeatable: bool) -> Result<(), Refusal> {
        self.check_joined()?;
        if self.configuration.is_confirmed() {
            return Ok(());
        }
        let is_served_isolated = repeatable
            && self.configuration.confirmed_age_ms().is_some()
            && self.configuration.load().serves_when_isolated(service);
        if is_served_isolated {
            self.counters.count("request.served_isolated");
            return Ok(());
        }
        let message = "this host has lost contact to the control hosts";
        Err(Refusal::not_run(RefusalKind::ConfigurationStale, message))
    }

    /// Slots that this host uses at each upstream.
    pub fn slot_uses(&self) -> Vec<SlotUse> {
        let fleet = self.dispatcher.fleet().load();
        let slot_uses = fleet.upstreams().map(|upstream| SlotUse {
            upstream_id: upstream.record.upstream_id.clone(),
            upstream_incarnation: upstream.incarnation,
            online_in_use: upstream.in_use_by_class(WorkClass::Online),
            batch_in_use: upstream.in_use_by_class(WorkClass::Batch),
            online_wanted: 0,
            batch_wanted: 0,
            held: upstream.slots().slots.into(),
            online_recent: 0,
        });
        slot_uses.collect()
    }

    /// Submits a command to the replicated state; its rejection becomes a refusal of the request.
    pub async fn submit(
        &self,
        command_id: String,
        command: command::Command,
    ) -> Result<outcome::Outcome, Refusal> {
        submit(&*self.state, command_id, command).await
    }

    /// Queries the replicated state; its rejection becomes a refusal of the request.
    pub async fn query(&self, query: query::Query) -> Result<query_answer::Answer, Refusal> {
        read(&*self.state, query).await
    }

    /// Entry addresses for callers in `zone` in order of preference, including this host. An empty
    /// zone means the zone of this host.
    pub fn entry_addresses(&self, zone: &str) -> Vec<String> {
        let view = self.membership.view();
        let zone = if zone.is_empty() { &self.settings.zone } else { zone };
        let selected = select_entry_hosts(&view, zone, rand::random(), ENTRIES_LIMIT);
        selected.iter().map(|host| host.record.caller_address.clone()).collect()
    }

    /// Entry addresses other than this host, for a caller whose request was refused.
    pub fn other_entry_addresses(&self) -> Vec<String> {
        let own = self.settings.caller_address.to_string();
        let mut addresses = self.entry_addresses("");
        addresses.retain(|address| *address != own);
        addresses
    }
}
