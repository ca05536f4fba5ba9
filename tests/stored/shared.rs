//! Engines that operators took out by hand.

use query_dispatcher::server::instance_registry::InstanceRegistry;
use std::path::Path;

fn open(folder: &Path) -> InstanceRegistry {
    InstanceRegistry::open(Some(folder)).unwrap()
}

pub(crate) fn drained_engines(folder: &Path) -> Vec<String> {
    open(folder)
        .drained_engines()
        .unwrap()
        .unwrap()
        .into_iter()
        .collect()
}

pub(crate) fn drain_engine(folder: &Path, engines: &[&str]) {
    let shared = open(folder);
    engines
        .iter()
        .for_each(|engine| shared.drain_engine(engine).unwrap());
}

pub(crate) fn undrain(folder: &Path, engines: &[&str]) {
    let shared = open(folder);
    engines
        .iter()
        .for_each(|engine| shared.undrain_engine(engine).unwrap());
}
