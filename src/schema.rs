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
}

/// Commands, outcomes and queries of the ledger.
pub mod ledger {
    #![allow(missing_docs, clippy::all)]
    include!("generated/damaskhoist.ledger.rs");
}
