//! Engines that are administratively drained.

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

pub(crate) fn drain_engines(folder: &Path, engines: &[&str]) {
    let registry = open(folder);
    engines
        .iter()
        .for_each(|engine| registry.drain_engine(engine).unwrap());
}

pub(crate) fn undrain_engines(folder: &Path, engines: &[&str]) {
    let registry = open(folder);
    engines
        .iter()
        .for_each(|engine| registry.undrain_engine(engine).unwrap());
}
