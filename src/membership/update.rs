//! What a source delivers: one answer of one registry.

use crate::decision::model::Millis;
use crate::membership::{InstanceRecord, Version};

/// One answer of one source.
#[derive(Clone, Debug)]
pub struct SourceUpdate {
    /// The source's name: a registry's address. The same name is the same source.
    pub source: String,
    /// When the request was sent. An answer to an earlier request never counts after one to a later request.
    pub requested_at: Millis,
    /// When the last byte of the answer arrived; the source counts as answering from then on.
    pub received_at: Millis,
    /// What the answer lists.
    pub content: UpdateContent,
}

/// The instances that an answer lists.
#[derive(Clone, Debug)]
pub enum UpdateContent {
    /// Everything that the source lists; an instance that is absent is no longer listed.
    Full(Vec<InstanceRecord>),
    /// What changed since the source's last answer.
    Delta {
        /// Instances that were added or modified.
        changed: Vec<InstanceRecord>,
        /// Ids of instances that were deleted, with the version of the deletion.
        deleted: Vec<(String, Version)>,
    },
}
