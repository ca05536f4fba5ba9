//! The surroundings of a dispatcher on the platform's protocol, on real sockets: engines, the journal service, clients,
//! and the program itself as a child process. What they record is judged by [`verdict`].

pub mod clients;
pub mod dispatcher;
pub mod engines;
pub mod journal;
pub mod settings;
pub mod soak;
pub mod verdict;
