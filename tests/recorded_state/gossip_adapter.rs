//! Adapter to the gossip between dispatchers: the only file of this test that uses the library's gossip
//! items.

use super::recording::{Recording, float, hexadecimal};
use query_dispatcher::gossip::{Broadcaster, DecodeError, GossipBudget, PeerReport};

pub(crate) const MAX_MESSAGE_BYTES: usize = query_dispatcher::gossip::MAX_MESSAGE_BYTES;

#[derive(Clone, Copy)]
pub(crate) struct Options {
    pub(crate) dispatchers: u32,
    pub(crate) message_price: f64,
    pub(crate) report_fields: usize,
}

pub(crate) struct Gossip(Broadcaster);

impl Gossip {
    pub(crate) fn new(options: Options) -> Self {
        Gossip(Broadcaster::new(GossipBudget {
            dispatchers: options.dispatchers,
            message_price: options.message_price,
            report_fields: options.report_fields,
        }))
    }

    pub(crate) fn set_engines(&mut self, engines: &[String]) {
        self.0.set_engines(engines.iter().map(String::as_str));
    }

    pub(crate) fn accept_request(&mut self) {
        self.0.credit_request();
    }

    /// Returns the message to broadcast, if the report warrants one.
    pub(crate) fn offer_report(
        &mut self,
        now: f64,
        engine: &str,
        report: &[f64],
    ) -> Option<Vec<u8>> {
        self.0.offer_report(now, engine, report)
    }

    pub(crate) fn record_offered_report(
        &mut self,
        now: f64,
        engine: &str,
        report: &[f64],
        recording: &mut Recording,
    ) -> Option<Vec<u8>> {
        let message = self.offer_report(now, engine, report);
        recording.count(if message.is_some() {
            "message sent"
        } else {
            "nothing sent"
        });
        recording.state(&message.as_deref().map_or("nothing".into(), hexadecimal));
        message
    }

    pub(crate) fn receive(&mut self, now: f64, message: &[u8], recording: &mut Recording) {
        match self.0.receive(now, message) {
            Ok(Some(PeerReport { engine, report })) => {
                let report: Vec<String> = report.into_iter().map(float).collect();
                recording.count("report received");
                recording.state(&format!("received {engine} {report:?}"));
            }
            Ok(None) => {
                recording.count("engine not listed");
                recording.state("engine not listed");
            }
            Err(error) => {
                recording.count(error_kind(&error));
                recording.state(&error_text(&error));
                recording.wording(&error.to_string());
            }
        }
    }
}

fn error_kind(error: &DecodeError) -> &'static str {
    match error {
        DecodeError::Length { .. } => "wrong length",
        DecodeError::UnknownKind(_) => "unknown kind",
        DecodeError::ByteOutOfRange => "byte out of range",
    }
}

fn error_text(error: &DecodeError) -> String {
    let details = match error {
        DecodeError::Length { actual, expected } => format!("{actual} {expected}"),
        DecodeError::UnknownKind(kind) => kind.to_string(),
        DecodeError::ByteOutOfRange => String::new(),
    };
    format!("{} {details}", error_kind(error))
}
