//! The simulator's JSON lines: messages to the host ([`Input`]) and the host's replies ([`Output`]).
//!
//! The names in `serde` attributes are those of the simulator's protocol; fields and variants have the names
//! of the decision module.

mod attempt;
mod endpoint_list;
mod input;
mod output;

pub(crate) use attempt::{AttemptEndedMessage, EngineReportMessage, ProgressMessage};
pub(crate) use endpoint_list::{EndpointListMessage, ListedEngine};
pub(crate) use input::{Input, InstanceId, PeerMessage, QueryMessage};
pub(crate) use output::Output;
