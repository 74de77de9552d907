//! Storage and replication of the journal: reading, appending and compacting it in the store, its audit
//! trail, and the accepted state that all parts of this process share. Session records are stored here too.

pub mod accepted;
pub mod audit_trail;
pub mod entry_log;
pub mod journal_compactor;
pub mod journal_reader;
pub mod journal_writer;
pub mod retry_delay;
pub mod revision_watermark;
pub mod session_registry;
pub mod snapshot_store;
