//! Engines that operators took out by hand.

use query_dispatcher::server::instance_registry::Shared;
use std::path::Path;

fn open(folder: &Path) -> Shared {
    Shared::open(Some(folder)).unwrap()
}

pub fn held_out(folder: &Path) -> Vec<String> {
    open(folder)
        .held_out()
        .unwrap()
        .unwrap()
        .into_iter()
        .collect()
}

pub fn hold_out(folder: &Path, engines: &[&str]) {
    let shared = open(folder);
    engines
        .iter()
        .for_each(|engine| shared.hold_out(engine).unwrap());
}

pub fn put_back(folder: &Path, engines: &[&str]) {
    let shared = open(folder);
    engines
        .iter()
        .for_each(|engine| shared.put_back(engine).unwrap());
}
