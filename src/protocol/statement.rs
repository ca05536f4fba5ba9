//! What can be learned about a statement without a full parser: what kind it is, the group of tables that it names, and
//! the hints in its leading comment. Words inside strings and comments never count.

mod classify;
mod hints;
mod scanner;
mod table_group;
mod words;

#[cfg(test)]
mod tests;

pub use classify::{
    StatementKind, classify, commits_implicitly, is_rollback, reads_last_insert_id,
};
pub use hints::Hints;
pub use table_group::table_group;
