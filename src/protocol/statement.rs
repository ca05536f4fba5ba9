//! Analysis of SQL statements without a full parser: the kind of a statement, the table group that
//! it names, and the hints in its leading comment. Words in strings and other comments are ignored.

mod classify;
mod connection_effects;
mod function_calls;
mod hints;
mod scanner;
mod table_group;
mod tokenized_statement;
mod words;

#[cfg(test)]
mod tests;

pub use classify::{
    StatementKind, classify, commits_implicitly, is_rollback, reads_last_insert_id,
};
pub use connection_effects::ConnectionEffects;
pub use hints::Hints;
pub use table_group::table_group;
