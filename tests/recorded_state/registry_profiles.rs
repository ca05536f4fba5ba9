//! Profiles of the registry view, each compared with its recording.

use super::expected::{
    REGISTRY_ADMISSIONS, REGISTRY_CONFLICTS, REGISTRY_LIMITS, REGISTRY_LIVENESS, REGISTRY_RESTARTS,
    REGISTRY_SELF_PRESERVATION,
};
use super::random::Random;
use super::recording::{Recording, assert_exercised};
use super::registry::{DEFAULT_OPTIONS, Profile, play};
use super::registry_adapter::{AllowedNetworks, Options, record_admission, record_version};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

const CONFLICTS: Profile = Profile {
    seed: 1,
    streams: 120,
    events: 60,
    instances: 5,
    sources: 3,
    weights: [8, 8, 1, 3, 1, 3, 0, 1, 0],
    listed: 70,
    truncated_lists: 0,
    not_up: 25,
    bad_addresses: 0,
    unversioned: 10,
    addresses: 4,
    max_pause: 30_000.0,
    options: DEFAULT_OPTIONS,
};

const SELF_PRESERVATION: Profile = Profile {
    seed: 2,
    streams: 60,
    events: 40,
    instances: 16,
    sources: 2,
    weights: [8, 2, 2, 4, 1, 3, 1, 1, 0],
    listed: 96,
    truncated_lists: 15,
    not_up: 3,
    bad_addresses: 0,
    unversioned: 0,
    addresses: 16,
    max_pause: 60_000.0,
    options: DEFAULT_OPTIONS,
};

const RESTARTS: Profile = Profile {
    seed: 3,
    streams: 80,
    events: 50,
    instances: 8,
    sources: 2,
    weights: [6, 4, 2, 6, 1, 3, 1, 1, 3],
    listed: 85,
    truncated_lists: 5,
    not_up: 10,
    bad_addresses: 0,
    unversioned: 5,
    addresses: 7,
    max_pause: 40_000.0,
    options: DEFAULT_OPTIONS,
};

const LIMITS: Profile = Profile {
    seed: 4,
    streams: 80,
    events: 50,
    instances: 14,
    sources: 20,
    weights: [6, 6, 1, 2, 1, 4, 2, 1, 1],
    listed: 50,
    truncated_lists: 10,
    not_up: 10,
    bad_addresses: 25,
    unversioned: 5,
    addresses: 12,
    max_pause: 20_000.0,
    options: Options {
        networks: AllowedNetworks::Only(&["127.0.0.0/8", "fd00::/8"]),
        max_instances: 8,
        max_tombstones: 3,
        tombstone_ttl: 20_000.0,
        ..DEFAULT_OPTIONS
    },
};

/// Connections open and close while the source is often unavailable.
const LIVENESS: Profile = Profile {
    seed: 6,
    streams: 80,
    events: 60,
    instances: 2,
    sources: 1,
    weights: [2, 0, 2, 12, 0, 4, 0, 1, 0],
    listed: 95,
    truncated_lists: 0,
    not_up: 2,
    bad_addresses: 0,
    unversioned: 0,
    addresses: 2,
    max_pause: 12_000.0,
    options: Options {
        source_timeout: 4_000.0,
        ..DEFAULT_OPTIONS
    },
};

const REQUIRED: [&str; 30] = [
    "change whole",
    "change patch",
    "change stale",
    "engine ready",
    "engine draining",
    "engine gone",
    "restart detected",
    "log line",
    "snapshot taken",
    "snapshot restored",
    "snapshot served",
    "report",
    "query error limit",
    "query error filter",
    "query error key",
    "rejected address",
    "beyond instance limit",
    "older fact ignored",
    "listed",
    "listed not up",
    "unusable address",
    "sources contradict",
    "missing at one source",
    "older than drain",
    "unlisted",
    "kept by self-preservation",
    "address passed on",
    "unconfirmed since snapshot",
    "address admitted",
    "version present",
];

const ADMISSION_SEED: u64 = 5;
const ADMISSIONS: u64 = 300;
const NETWORKS: [AllowedNetworks; 3] = [
    AllowedNetworks::Any,
    AllowedNetworks::Private,
    AllowedNetworks::Only(&["10.1.0.0/16", "2001:db8::/32"]),
];
const FIRST_BYTES: [u8; 8] = [0, 10, 127, 172, 192, 198, 224, 255];
const TIMESTAMPS: [Option<f64>; 8] = [
    None,
    Some(0.0),
    Some(-1.0),
    Some(1.5),
    Some(8e15),
    Some(9e15),
    Some(f64::NAN),
    Some(f64::INFINITY),
];

/// Records the admission of addresses and the versions of timestamps, including unusable ones.
fn play_admissions() -> Recording {
    let mut recording = Recording::default();
    for stream in 0..ADMISSIONS {
        let mut random = Random::of_stream(ADMISSION_SEED, stream);
        let address = random_address(&mut random);
        for allowed in NETWORKS {
            record_admission(allowed, address, &mut recording);
        }
        let (dirty, updated) = (*random.choose(&TIMESTAMPS), *random.choose(&TIMESTAMPS));
        record_version(dirty, updated, &mut recording);
    }
    recording
}

fn random_address(random: &mut Random) -> SocketAddr {
    let [_, second, third, fourth] = (random.bits() as u32).to_be_bytes();
    let v4 = Ipv4Addr::new(*random.choose(&FIRST_BYTES), second % 20, third, fourth);
    let v6 = Ipv6Addr::new(
        *random.choose(&[0x2001, 0xfd00, 0xff02, 0]),
        0xdb8,
        0,
        0,
        0,
        0,
        0,
        1,
    );
    let ip = *random.choose(&[
        IpAddr::V4(v4),
        IpAddr::V4(Ipv4Addr::BROADCAST),
        IpAddr::V6(v4.to_ipv6_mapped()),
        IpAddr::V6(v6),
        IpAddr::V6(Ipv6Addr::LOCALHOST),
        IpAddr::V6(Ipv6Addr::UNSPECIFIED),
    ]);
    SocketAddr::new(ip, random.below(4) as u16)
}

#[test]
fn registry_conflicts_as_recorded() {
    play(&CONFLICTS).check(&REGISTRY_CONFLICTS);
}

#[test]
fn registry_self_preservation_as_recorded() {
    play(&SELF_PRESERVATION).check(&REGISTRY_SELF_PRESERVATION);
}

#[test]
fn registry_restarts_as_recorded() {
    play(&RESTARTS).check(&REGISTRY_RESTARTS);
}

#[test]
fn registry_limits_as_recorded() {
    play(&LIMITS).check(&REGISTRY_LIMITS);
}

#[test]
fn registry_admissions_as_recorded() {
    play_admissions().check(&REGISTRY_ADMISSIONS);
}

#[test]
fn registry_liveness_as_recorded() {
    play(&LIVENESS).check(&REGISTRY_LIVENESS);
}

#[test]
fn registry_streams_bring_every_kind_of_output() {
    assert_exercised(
        &REQUIRED,
        &[
            &REGISTRY_CONFLICTS,
            &REGISTRY_SELF_PRESERVATION,
            &REGISTRY_RESTARTS,
            &REGISTRY_LIMITS,
            &REGISTRY_ADMISSIONS,
            &REGISTRY_LIVENESS,
        ],
    );
}
