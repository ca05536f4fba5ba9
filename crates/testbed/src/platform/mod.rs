//! Test environment of a dispatcher on the platform's protocol, on real sockets: engines, the journal,
//! clients, and the program itself as a child process. [`verdict`] checks what they record.

pub mod clients;
pub mod dispatcher;
pub mod engines;
pub mod hostile_clients;
pub mod journal;
pub mod lag;
pub mod settings;
pub mod soak;
pub mod verdict;
