//! Drives the pure request core: the request router with its clock, and the gossip driver.

pub mod gossip_driver;
pub mod request_router;
