//! Types generated from the schema in `schema/`.

/// Settings of the programs.
pub mod settings {
    #![allow(missing_docs, clippy::all)]
    include!("generated/damaskhoist.settings.rs");
    include!("generated/damaskhoist.settings.serde.rs");
}

/// The configuration that operators change while the system runs.
pub mod config {
    #![allow(missing_docs, clippy::all)]
    include!("generated/damaskhoist.config.rs");
    include!("generated/damaskhoist.config.serde.rs");
}

/// Commands, outcomes and queries of the replicated state.
pub mod state {
    #![allow(missing_docs, clippy::all)]
    include!("generated/damaskhoist.state.rs");
}

/// Messages between the processes of the system.
pub mod peer {
    #![allow(missing_docs, clippy::all)]
    include!("generated/damaskhoist.peer.rs");
}

/// Routes that map callers' requests to services.
pub mod routes {
    #![allow(missing_docs, clippy::all)]
    include!("generated/damaskhoist.routes.rs");

    /// Leaves the keys out, as they must not get into logs.
    impl std::fmt::Debug for Team {
        fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            formatter
                .debug_struct("Team")
                .field("name", &self.name)
                .field("keys", &self.keys.len())
                .field("priority", &self.priority)
                .field("requests_per_s", &self.requests_per_s)
                .field("burst_requests", &self.burst_requests)
                .finish()
        }
    }
}

/// Commands, outcomes and queries of the ledger.
pub mod ledger {
    #![allow(missing_docs, clippy::all)]
    include!("generated/damaskhoist.ledger.rs");
}

/// What a host says of a request that is not sent.
pub mod explain {
    #![allow(missing_docs, clippy::all)]
    include!("generated/damaskhoist.explain.rs");
    include!("generated/damaskhoist.explain.serde.rs");
}
