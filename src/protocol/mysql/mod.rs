//! The MySQL client/server protocol: packets, authentication, binary parameters, session state and errors.

pub mod auth;
pub mod error;
pub mod packet;
pub mod quoted_text;
pub mod session;
pub mod sql_mode;
pub mod values;
