//! The effect of a statement on the sticky session that runs it: what it commits, and which state of the connection
//! it acquires.

use super::request::StatementRequest;
use crate::protocol::statement::{self, StatementKind};
use crate::sticky_sessions::{Commits, StatementEffect, StickyReason};
use crate::upstream::mysql::work::Job;

impl StatementRequest {
    /// Returns the effect of the statement in a session with this autocommit mode.
    pub(super) fn session_effect(&self, autocommit: bool) -> StatementEffect {
        let commits = self.commits();
        let acquires = self.acquires();
        let opens_implicitly = !autocommit
            && self.runs()
            && !self.requires_sticky_session()
            && matches!(commits, Commits::Nothing | Commits::AutocommittedChanges);
        StatementEffect {
            acquires,
            unlocks_tables: self.kind == StatementKind::UnlockTables,
            commits,
            opens_transaction: acquires == Some(StickyReason::Transaction) || opens_implicitly,
        }
    }

    fn acquires(&self) -> Option<StickyReason> {
        // Variables stay assigned even if the statement fails, unlike what it creates.
        if !self.effects.assigned_variables.is_empty() {
            return Some(StickyReason::SessionVariable);
        }
        match &self.kind {
            StatementKind::MakesSticky(reason) if self.runs() => Some(*reason),
            _ => None,
        }
    }

    /// Returns whether the statement concerns only state of the held engine connection, and has no effect in a
    /// session without one.
    pub(super) fn requires_sticky_session(&self) -> bool {
        matches!(
            self.kind,
            StatementKind::EndsTransaction
                | StatementKind::WithinTransaction
                | StatementKind::UnlockTables
        )
    }

    fn commits(&self) -> Commits {
        match (&self.job, &self.kind) {
            (Job::Prepare, _) => Commits::Nothing,
            // Entering a context may turn autocommit on, which commits.
            (Job::EnterContext, _) => Commits::OpenTransaction,
            (_, StatementKind::EndsTransaction) if statement::is_rollback(&self.sql) => {
                Commits::Nothing
            }
            (_, StatementKind::EndsTransaction | StatementKind::UnlockTables) => {
                Commits::OpenTransaction
            }
            (_, StatementKind::WithinTransaction) => Commits::Nothing,
            (
                _,
                StatementKind::MakesSticky(StickyReason::Transaction | StickyReason::TableLocks),
            ) => Commits::OpenTransaction,
            (_, _) if statement::commits_implicitly(&self.sql, self.modes) => Commits::Everything,
            (_, StatementKind::Read) => Commits::Nothing,
            (_, _) => Commits::AutocommittedChanges,
        }
    }
}
