//! Texts of the reasons for states, as they appear in the log and in the operators' report.

use crate::membership::{Membership, Reason, SourceId};

impl Membership {
    /// Returns the text of a reason.
    pub fn explain(&self, reason: Reason) -> String {
        match reason {
            Reason::Listed => "listed as UP".into(),
            Reason::ListedAs(status) => format!("listed as {}", status.as_str()),
            Reason::UnusableAddress => "it names no address that may be used".into(),
            Reason::Contradicted(source, status) => format!(
                "{} says {}, and another says UP",
                self.source_name(source),
                status.as_str()
            ),
            Reason::MissingFrom(source) => format!(
                "{} lists it no more, and another does",
                self.source_name(source)
            ),
            Reason::OlderThanDrain => {
                "what lists it as UP is not newer than the drain that was told".into()
            }
            Reason::Unlisted => "no source that answers lists it".into(),
        }
    }

    /// Returns the name of a source, or a placeholder if the source has been dropped.
    pub fn source_name(&self, id: SourceId) -> &str {
        self.sources.name(id).unwrap_or("an earlier source")
    }
}
