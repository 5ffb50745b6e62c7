use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use async_std::net::TcpListener;
use miette::{IntoDiagnostic, Result, WrapErr};

use crate::control::{unix_ms, Control};
use crate::entry::RequestTracker;
use crate::host::entry_parts::{EntryDependencies, EntryParts};
use crate::host::handler::HostPeerHandler;
use crate::host::{Host, SharingOptions};
use crate::membership::{HostRecord, Membership, MembershipOptions};
use crate::peer::{PeerCaller, PeerListener, PeerPool};
use crate::settings::{HostSettings, ReplicaSettings};
use crate::sockets;
use crate::telemetry::{Counters, Tracer};

/// A host whose listening sockets are bound but which does not serve yet.
pub struct BoundHost {
    /// Settings, with the addresses that the sockets are bound to.
    pub settings: HostSettings,
    /// How the host shares upstreams with other hosts.
    pub sharing: SharingOptions,
    caller_listener: TcpListener,
    peer_listener: TcpListener,
}

impl BoundHost {
    /// Binds the addresses of the settings; port 0 binds any free port.
    ///
    /// A control host whose settings list no replicas becomes the only replica of its group.
    ///
    /// # Errors
    /// If an address can't be bound.
    pub async fn bind(mut settings: HostSettings) -> Result<Self> {
        let caller_listener = listen(settings.caller_address)?;
        let peer_listener = listen(settings.peer_address)?;
        settings.caller_address = caller_listener.local_addr().into_diagnostic()?;
        settings.peer_address = peer_listener.local_addr().into_diagnostic()?;
        if settings.roles.control && settings.control.replicas.is_empty() {
            settings.control.replica_id = settings.control.replica_id.max(1);
            settings.control.replicas.push(ReplicaSettings {
                replica_id: settings.control.replica_id,
                peer_address: settings.peer_address.to_string(),
                zone: settings.zone.clone(),
            });
        }
        if settings.control_addresses.is_empty() {
            let replicas = settings.control.replicas.iter();
            settings.control_addresses =
                replicas.map(|replica| replica.peer_address.clone()).collect();
        }
        Ok(Self { settings, sharing: SharingOptions::default(), caller_listener, peer_listener })
    }

    /// Starts the roles that the settings enable.
    ///
    /// # Errors
    /// If the span file can't be opened or a role or the peer listener can't be started.
    pub async fn open(self) -> Result<Host> {
        let Self { settings, sharing, caller_listener, peer_listener } = self;
        let incarnation = unix_ms();
        let telemetry = &settings.telemetry;
        let counters = Counters::open(&settings.host_id, telemetry.statsd_address);
        let span_file = telemetry.span_file.as_deref();
        let tracer = Tracer::open(&settings.host_id, span_file, telemetry.span_sample_ratio)
            .into_diagnostic()
            .wrap_err("opening the span file")?;
        let pool =
            PeerPool::open(&settings.host_id, &settings.zone, incarnation, &settings.peer_key);
        let caller: Arc<dyn PeerCaller> = Arc::new(pool.clone());
        let options = membership_options(&settings, incarnation);
        let membership = Membership::spawn(options, caller.clone());
        let control = match settings.roles.control {
            true => Some(Control::open(&settings, caller.clone())?),
            false => None,
        };
        let handler = Arc::new(HostPeerHandler {
            host_id: settings.host_id.clone(),
            membership: membership.clone(),
            control,
            request_tracker: RequestTracker::default(),
            counters: counters.clone(),
            entry: OnceLock::new(),
            exchange: OnceLock::new(),
            traffic: Arc::default(),
        });
        let (key, traffic) = (&settings.peer_key, handler.traffic.clone());
        let listener = PeerListener::spawn(peer_listener, key, handler.clone(), traffic)
            .into_diagnostic()
            .wrap_err("serving peers")?;
        let peer_address = listener.address();
        let has_entry = settings.roles.entry;
        let dependencies = EntryDependencies {
            settings,
            sharing,
            incarnation,
            caller,
            counters,
            tracer: tracer.clone(),
            handler: handler.clone(),
        };
        let entry = match has_entry {
            true => Some(EntryParts::open(caller_listener, dependencies)?),
            false => None,
        };
        Ok(Host { peer_address, listener, pool, handler, membership, entry, tracer })
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener> {
    let listener = sockets::listen(address);
    listener.into_diagnostic().wrap_err_with(|| format!("listening on {address}"))
}

fn membership_options(settings: &HostSettings, incarnation: u64) -> MembershipOptions {
    let host = HostRecord {
        host_id: settings.host_id.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        caller_address: settings.caller_address.to_string(),
        peer_address: settings.peer_address.to_string(),
        entry: settings.roles.entry,
        control: settings.roles.control,
        configuration_version: 0,
    };
    let mut options = MembershipOptions::new(host, incarnation);
    options.seed_addresses.clone_from(&settings.seed_addresses);
    options.gossip_interval_ms = settings.entry.gossip_interval_ms;
    options
}
