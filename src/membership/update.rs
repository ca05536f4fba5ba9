//! Updates from sources: an update is one answer of one registry.

use crate::decision::model::Millis;
use crate::membership::{InstanceRecord, Version};

/// One answer of one source.
#[derive(Clone, Debug)]
pub struct SourceUpdate {
    /// Name of the source: the address of the registry. It identifies the source.
    pub source: String,
    /// When the request was sent, in milliseconds since the Unix epoch. An answer to an earlier request is
    /// ignored after an answer to a later one.
    pub requested_at: Millis,
    /// When the last byte of the answer arrived, in milliseconds since the Unix epoch. The age of the
    /// source's last answer is measured from here.
    pub received_at: Millis,
    /// The instances that the answer lists.
    pub content: UpdateContent,
}

/// The instances of an answer.
#[derive(Clone, Debug)]
pub enum UpdateContent {
    /// All instances that the source lists. It no longer lists an instance that is absent here.
    Full(Vec<InstanceRecord>),
    /// Changes since the source's previous answer.
    Delta {
        /// Instances that were added or modified.
        changed: Vec<InstanceRecord>,
        /// Ids of deleted instances, each with the version of the deletion.
        deleted: Vec<(String, Version)>,
    },
}
