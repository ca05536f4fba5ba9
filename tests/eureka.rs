//! Tests the program's Eureka membership against fake registries and fake engines on loopback. The clients
//! use a third-party MySQL driver; the executions that the fake engines record show what was sent to them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use mysql_async::prelude::Queryable;
use query_dispatcher::membership::Status;
use serde_json::Value;
use std::path::Path;
use std::time::Duration;
use testbed::clients::load::{Clients, End, Load};
use testbed::fakes::engine::Engine;
use testbed::fakes::registry::{Fault, Instance, Node, Rules};
use testbed::fixture::{
    self, check_drain, check_loads_run_once, check_slow_start, dispatcher_file, ephemeral_address,
    eureka_section, register_engines,
};
use testbed::program::{Folder, Program};

/// Runs a scenario on a single-threaded runtime, with a time limit of 60 s.
fn run_scenario(scenario: impl Future<Output = ()>) {
    fixture::run_within(Duration::from_secs(60), scenario);
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

async fn sleep_ms(milliseconds: u64) {
    tokio::time::sleep(ms(milliseconds)).await;
}

/// Starts a fake registry node.
async fn start_node() -> Node {
    Node::start(ephemeral_address(), Rules::default())
        .await
        .unwrap()
}

/// Starts the program with this configuration, in which `FOLDER` stands for the path of `folder`.
async fn start_program(folder: &Folder, name: &str, configuration: &str) -> Program {
    let configuration = configuration.replace("FOLDER", folder.path().to_str().unwrap());
    Program::start(
        Path::new(env!("CARGO_BIN_EXE_hitchwinch")),
        folder,
        name,
        &configuration,
    )
    .await
    .unwrap()
}

fn test_folder(name: &str) -> Folder {
    Folder::new(&format!("eureka-{name}")).unwrap()
}

/// Starts 16 clients that send 160 requests a second together, of which one in eight is a load.
fn start_clients(program: &Program) -> Clients {
    let load = Load {
        clients: 16,
        gap: ms(100),
        loads: 8,
        prepared: true,
    };
    Clients::start(program.address, load)
}

/// Returns the member with this ID on the `/_members` page; null if there is none.
fn member<'a>(page: &'a Value, id: &str) -> &'a Value {
    let members = page["members"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    members
        .iter()
        .find(|member| member["id"] == id)
        .unwrap_or(&Value::Null)
}

fn has_ready(page: &Value, engines: u64) -> bool {
    page["counts"]["ready"] == engines
}

/// Checks that more than 20 requests were served, that none was lost, failed or late, and that no load ran
/// twice.
fn check_clients(summary: &testbed::clients::load::LoadSummary, engines: &[Engine]) {
    assert!(
        summary.count(End::Served) > 20,
        "{:?}",
        summary.ends.borrow()
    );
    let failures = [End::Lost, End::Failed, End::Late].map(|end| summary.count(end));
    assert_eq!(failures, [0, 0, 0], "{:?}", summary.errors.borrow());
    assert!(check_loads_run_once(engines).unwrap() > 0);
}

#[test]
fn drain_takes_effect_within_a_second_and_running_statements_finish() {
    run_scenario(async {
        let (node, engines) = (
            start_node().await,
            fixture::engines(5, ms(30)).await.unwrap(),
        );
        register_engines(&[&node], &engines);
        let folder = test_folder("drain");
        let program = start_program(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&node], "")),
        )
        .await;
        program
            .wait_for_members("five engines", |page| has_ready(page, 5))
            .await
            .unwrap();
        let clients = start_clients(&program);
        sleep_ms(500).await;
        let statuses = [
            Status::Down,
            Status::OutOfService,
            Status::Starting,
            Status::Unknown,
        ];
        for (engine, status) in engines.iter().zip(statuses) {
            engine.set_execution_time(ms(400)); // a statement runs when the drain is reported
            sleep_ms(150).await;
            node.watch(engine.name());
            node.set_status("ENGINES", engine.name(), Some(status));
            sleep_ms(900).await;
        }
        sleep_ms(600).await;
        for engine in &engines[..4] {
            let notice = node
                .drain_reported_at(engine.name())
                .expect("the drain was reported");
            check_drain(engine, notice).unwrap();
            assert!(
                engine
                    .executions()
                    .iter()
                    .all(|execution| execution.answered),
                "statements that were running are finished"
            );
        }
        let page = program.members("").await.unwrap();
        assert_eq!(
            (&page["counts"]["ready"], &page["counts"]["draining"]),
            (&1.into(), &4.into())
        );
        assert!(
            member(&page, "engine-0")["why"]
                .as_str()
                .unwrap()
                .contains("DOWN"),
            "{page}"
        );
        check_clients(&*clients.stop().await, &engines);
        assert!(program.terminate().await.unwrap());
    });
}

#[test]
fn stale_list_does_not_restore_a_drained_engine() {
    run_scenario(async {
        let (a, b) = (start_node().await, start_node().await);
        let engines = fixture::engines(3, ms(10)).await.unwrap();
        register_engines(&[&a, &b], &engines);
        b.set_fault(Fault::Stale); // it repeats its current list from now on
        let folder = test_folder("stale");
        let program = start_program(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&a, &b], "")),
        )
        .await;
        program
            .wait_for_members("three engines", |page| has_ready(page, 3))
            .await
            .unwrap();
        let clients = start_clients(&program);
        sleep_ms(300).await;
        a.watch("engine-1");
        a.set_status("ENGINES", "engine-1", Some(Status::OutOfService));
        program
            .wait_for_members("the engine drains", |page| has_ready(page, 2))
            .await
            .unwrap();
        // The registry that reported the drain becomes unreachable; only the stale one responds.
        a.stop();
        sleep_ms(4_000).await;
        let page = program.members("").await.unwrap();
        assert!(has_ready(&page, 2), "{page}");
        assert_eq!(member(&page, "engine-1")["state"], "draining");
        check_drain(&engines[1], a.drain_reported_at("engine-1").unwrap()).unwrap();
        // A newer record restores the engine.
        b.set_fault(Fault::None);
        b.register(Instance::engine(
            "ENGINES",
            "engine-1",
            engines[1].address().port(),
            testbed::now() + 1.0,
        ));
        program
            .wait_for_members("the engine is back", |page| has_ready(page, 3))
            .await
            .unwrap();
        check_clients(&*clients.stop().await, &engines);
    });
}

#[test]
fn flapping_disagreement_of_two_registries_keeps_the_engine_out() {
    run_scenario(async {
        let (a, b) = (start_node().await, start_node().await);
        let engines = fixture::engines(3, ms(10)).await.unwrap();
        register_engines(&[&a, &b], &engines);
        let folder = test_folder("flap");
        let program = start_program(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&a, &b], "")),
        )
        .await;
        program
            .wait_for_members("three engines", |page| has_ready(page, 3))
            .await
            .unwrap();
        let clients = start_clients(&program);
        a.watch("engine-0");
        a.set_status("ENGINES", "engine-0", Some(Status::OutOfService));
        program
            .wait_for_members("the engine drains", |page| has_ready(page, 2))
            .await
            .unwrap();
        for turn in 0..10u64 {
            // One registry repeats the drain, the other reports UP, each with a newer timestamp than before.
            sleep_ms(150).await;
            let node = if turn % 2 == 0 { &b } else { &a };
            let status = if turn % 2 == 0 {
                None
            } else {
                Some(Status::OutOfService)
            };
            node.set_status("ENGINES", "engine-0", status);
        }
        sleep_ms(500).await;
        let page = program.members("").await.unwrap();
        let shown = member(&page, "engine-0");
        assert_eq!(
            (&shown["state"], &shown["contradiction"]),
            (&"draining".into(), &true.into()),
            "{page}"
        );
        assert_eq!(
            shown["claims"].as_array().unwrap().len(),
            2,
            "the records of both registries are shown"
        );
        assert_eq!(shown["turns"], 2);
        check_drain(&engines[0], a.drain_reported_at("engine-0").unwrap()).unwrap();
        check_clients(&*clients.stop().await, &engines);
    });
}

#[test]
fn engine_restarted_during_a_registry_outage_gets_slow_start() {
    run_scenario(async {
        let (node, engines) = (
            start_node().await,
            fixture::engines(3, ms(400)).await.unwrap(),
        );
        register_engines(&[&node], &engines);
        let folder = test_folder("cold");
        let program = start_program(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&node], "")),
        )
        .await;
        program
            .wait_for_members("three engines", |page| has_ready(page, 3))
            .await
            .unwrap();
        // 90 statements a second of 400 ms each occupy 12 threads on each of 3 engines.
        let heavy_load = Load {
            clients: 90,
            gap: ms(1000),
            loads: 0,
            prepared: false,
        };
        let clients = Clients::start(program.address, heavy_load);
        sleep_ms(2_500).await;
        node.stop();
        sleep_ms(1_000).await;
        let before_restart = engines[0].count();

        engines[0].stop();
        sleep_ms(1_500).await;
        engines[0].restart().await.unwrap();
        let page = program
            .wait_for_members("the restart is known", |page| {
                member(page, "engine-0")["started_age_ms"]
                    .as_f64()
                    .is_some_and(|age| age < 3_000.0)
            })
            .await
            .unwrap();
        assert_eq!(
            member(&page, "engine-0")["state"],
            "ready",
            "the last list still applies"
        );
        sleep_ms(3_500).await;
        // Number of statements that the settings allow in 2 s at an engine's age: 4 times 0.3 of 8 cores at
        // age 0, at 400 ms a statement, and 4 times all 8 cores from an age of 15 s.
        let allowed = |age: f64| {
            (4.0 * (0.3 + 0.7 * (age / 15_000.0).min(1.0)) * 8.0 * 2_000.0 / 400.0) as usize
        };
        let (_, executions) = check_slow_start(&engines[0], 2_000.0, allowed).unwrap();

        assert!(
            executions > 20,
            "the restarted engine is used: {executions}"
        );
        assert!(
            before_restart > 60,
            "the engine had its share before: {before_restart}"
        );
        let summary = clients.stop().await;
        assert_eq!(summary.count(End::Lost), 0, "{:?}", summary.errors.borrow());
    });
}

#[test]
fn list_shrinking_from_200_engines_to_one_rejects_no_request() {
    run_scenario(async {
        let (node, engines) = (
            start_node().await,
            fixture::engines(200, ms(5)).await.unwrap(),
        );
        register_engines(&[&node], &engines);
        let folder = test_folder("short");
        let program = start_program(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&node], "[eureka.hold]\nfor_s = 3")),
        )
        .await;
        program
            .wait_for_members("200 engines", |page| has_ready(page, 200))
            .await
            .unwrap();
        let clients = start_clients(&program);
        sleep_ms(300).await;
        node.set_fault(Fault::Only(1));
        let page = program
            .wait_for_members("199 engines are held", |page| page["counts"]["held"] == 199)
            .await
            .unwrap();
        assert!(has_ready(&page, 200));
        let held = &member(&page, "engine-7")["held"];
        assert!(
            held["why"].as_str().unwrap().contains("199 of 200"),
            "{held}"
        );
        // Refused connections confirm, one by one, the engines that are really gone.
        engines[50..].iter().for_each(Engine::stop);
        let page = program
            .wait_for_members("some engines are gone", |page| {
                page["counts"]["gone"].as_u64() > Some(0)
            })
            .await
            .unwrap();
        assert!(page["counts"]["held"].as_u64() < Some(199));
        // The list is complete again before the hold ends: the held engines are released without further
        // effect.
        node.set_fault(Fault::None);
        program
            .wait_for_members("the list is complete and no engine is held", |page| {
                page["counts"]["held"] == 0 && page["counts"]["ready"].as_u64() > Some(1)
            })
            .await
            .unwrap();
        // If the list stays short, the hold ends and the engines are removed.
        node.set_fault(Fault::Only(1));
        program
            .wait_for_members("engines are held again", |page| {
                page["counts"]["held"].as_u64() > Some(0)
            })
            .await
            .unwrap();
        program
            .wait_for_members("one engine is ready", |page| has_ready(page, 1))
            .await
            .unwrap();
        let summary = clients.stop().await;
        let failures = [End::Lost, End::Late].map(|end| summary.count(end));
        assert_eq!(failures, [0, 0], "{:?}", summary.errors.borrow());
        check_loads_run_once(&engines).unwrap();
    });
}

#[test]
fn reassigned_address_is_used_for_its_new_instance_only() {
    run_scenario(async {
        let (node, engines) = (
            start_node().await,
            fixture::engines(2, ms(10)).await.unwrap(),
        );
        register_engines(&[&node], &engines);
        let folder = test_folder("passed");
        let program = start_program(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&node], "")),
        )
        .await;
        program
            .wait_for_members("two engines", |page| has_ready(page, 2))
            .await
            .unwrap();
        let clients = start_clients(&program);
        sleep_ms(300).await;
        // The new instance registers the address before the old instance's lease ends.
        node.register(Instance::engine(
            "ENGINES",
            "engine-new",
            engines[0].address().port(),
            testbed::now(),
        ));
        let page = program
            .wait_for_members("the new instance is ready", |page| {
                member(page, "engine-new")["state"] == "ready"
            })
            .await
            .unwrap();
        let old = member(&page, "engine-0");
        assert_eq!(
            (&old["state"], &old["superseded_by"]),
            (&"draining".into(), &"engine-new".into()),
            "{page}"
        );
        sleep_ms(300).await;
        node.cancel("ENGINES", "engine-0");
        program
            .wait_for_members("the old instance is gone", |page| {
                member(page, "engine-0").is_null()
            })
            .await
            .unwrap();
        sleep_ms(300).await;
        assert!(has_ready(&program.members("").await.unwrap(), 2));
        let summary = clients.stop().await;
        assert_eq!(summary.count(End::Lost), 0, "{:?}", summary.errors.borrow());
        check_loads_run_once(&engines).unwrap();
    });
}

#[test]
fn drain_in_the_same_poll_as_the_last_heartbeat_takes_effect() {
    run_scenario(async {
        let (node, engines) = (
            start_node().await,
            fixture::engines(2, ms(10)).await.unwrap(),
        );
        register_engines(&[&node], &engines);
        let folder = test_folder("heartbeat");
        let program = start_program(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&node], "")),
        )
        .await;
        program
            .wait_for_members("two engines", |page| has_ready(page, 2))
            .await
            .unwrap();
        let clients = start_clients(&program);
        sleep_ms(300).await;
        node.watch("engine-0");
        // At the same time the engine registers itself as UP with a newer timestamp and operators take it out
        // of service.
        let mut last_heartbeat = Instance::engine(
            "ENGINES",
            "engine-0",
            engines[0].address().port(),
            testbed::now() + 5.0,
        );
        last_heartbeat.renewed = testbed::now();
        node.register(last_heartbeat);
        node.set_status("ENGINES", "engine-0", Some(Status::OutOfService));
        program
            .wait_for_members("the engine drains", |page| has_ready(page, 1))
            .await
            .unwrap();
        sleep_ms(1_200).await;
        check_drain(&engines[0], node.drain_reported_at("engine-0").unwrap()).unwrap();
        check_clients(&*clients.stop().await, &engines);
    });
}

#[test]
fn start_during_a_registry_outage_serves_the_snapshot_with_its_age() {
    run_scenario(async {
        let (node, engines) = (
            start_node().await,
            fixture::engines(3, ms(10)).await.unwrap(),
        );
        register_engines(&[&node], &engines);
        node.set_status("ENGINES", "engine-2", Some(Status::OutOfService));
        let folder = test_folder("snapshot");
        let text = dispatcher_file("state_dir = \"FOLDER\"", &eureka_section(&[&node], ""));
        let program = start_program(&folder, "a", &text).await;
        program
            .wait_for_members("two engines", |page| has_ready(page, 2))
            .await
            .unwrap();
        let snapshot = folder.path().join("hitchwinch/members");
        while !snapshot.exists() {
            sleep_ms(20).await;
        }
        program.kill().await.unwrap();
        node.stop();
        let program = start_program(&folder, "b", &text).await;
        program
            .wait_for_log("a snapshot of 3 engines")
            .await
            .unwrap();
        let page = program
            .wait_for_members("two engines", |page| {
                page["serving"] == true && has_ready(page, 2)
            })
            .await
            .unwrap();
        assert!(page["snapshot_age_ms"].as_f64().unwrap() > 0.0);
        assert_eq!(page["counts"]["unproven"], 3);
        assert_eq!(program.call("GET", "/_ready").await.unwrap().0, 200);
        let clients = start_clients(&program);
        sleep_ms(800).await;
        assert_eq!(engines[2].count(), 0, "the snapshot has it as draining");
        // The registry is back and confirms the engines.
        node.restart().await.unwrap();
        program
            .wait_for_members("all engines are confirmed", |page| {
                page["counts"]["unproven"] == 0
            })
            .await
            .unwrap();
        check_clients(&*clients.stop().await, &engines);
        program.kill().await.unwrap();
        // An unreadable snapshot is reported and set aside, and is never fatal.
        let valid = std::fs::read(&snapshot).unwrap();
        let newer_version = [&valid[..12], &9u32.to_be_bytes(), &valid[16..]].concat();
        for (index, (bytes, what)) in [
            (&valid[..valid.len() / 2], "torn"),
            (b"#!/bin/sh", "no record"),
            (&newer_version, "later program"),
        ]
        .into_iter()
        .enumerate()
        {
            std::fs::write(&snapshot, bytes).unwrap();
            let program = start_program(&folder, &format!("c{index}"), &text).await;
            let line = program.wait_for_log("set aside").await.unwrap();
            assert!(line.contains(what), "{line}");
            assert_eq!(
                std::fs::read(snapshot.with_extension(format!("unread-{index}"))).unwrap(),
                bytes
            );
            program
                .wait_for_members("two engines", |page| has_ready(page, 2))
                .await
                .unwrap();
            program.kill().await.unwrap();
        }
    });
}

#[test]
fn registry_with_malformed_answers_is_skipped_and_the_list_stays() {
    run_scenario(async {
        let (a, b) = (start_node().await, start_node().await);
        let engines = fixture::engines(2, ms(10)).await.unwrap();
        register_engines(&[&a], &engines);
        let folder = test_folder("nonsense");
        let program = start_program(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&a], "max_body = 100000")),
        )
        .await;
        program
            .wait_for_members("two engines", |page| has_ready(page, 2))
            .await
            .unwrap();
        let clients = start_clients(&program);
        let faults = [
            (Fault::Html, "neither JSON nor XML"),
            (
                Fault::Huge {
                    bytes: 3 << 30,
                    with_length: true,
                },
                "above the bound",
            ),
            (
                Fault::Huge {
                    bytes: 3 << 30,
                    with_length: false,
                },
                "above the bound",
            ),
            (Fault::Drip(ms(1000)), "no whole answer within"),
            (Fault::Truncated, "eureka"),
            (Fault::Status(500), "status 500"),
            (Fault::Delay(ms(1500)), "no whole answer within"),
            (Fault::Redirect(b.url()), "no server of the configuration"),
            (Fault::Redirect(a.url()), "redirects more than"),
        ];
        for (fault, what) in faults {
            let before = program.members("").await.unwrap()["sources"][0]["failures"].as_u64();
            a.set_fault(fault.clone());
            let page = program
                .wait_for_members(what, |page| {
                    let source = &page["sources"][0];
                    source["failures"].as_u64() > before
                        && source["last_failure"]
                            .as_str()
                            .is_some_and(|failure| failure.contains(what) || what == "eureka")
                })
                .await
                .unwrap_or_else(|e| panic!("{fault:?}: {e}"));
            assert!(has_ready(&page, 2), "{fault:?}: {page}");
            a.set_fault(Fault::None);
            let full_lists = page["sources"][0]["whole_lists"].as_u64();
            program
                .wait_for_members("the registry responds", |page| {
                    page["sources"][0]["whole_lists"].as_u64() > full_lists
                })
                .await
                .unwrap();
        }
        assert!(program.memory().1 < 100.0, "{:?} MB", program.memory());
        assert!(
            b.calls().is_empty(),
            "no request is sent to a server outside the configuration"
        );
        check_clients(&*clients.stop().await, &engines);
    });
}

#[test]
fn address_outside_the_allowed_networks_is_never_connected_to() {
    run_scenario(async {
        let (node, engines) = (
            start_node().await,
            fixture::engines(2, ms(10)).await.unwrap(),
        );
        register_engines(&[&node], &engines);
        let decoy = Engine::start("decoy", "127.9.9.9:0".parse().unwrap(), ms(1))
            .await
            .unwrap();
        let folder = test_folder("poison");
        let text = dispatcher_file(
            "",
            &eureka_section(&[&node], "networks = [\"127.0.0.0/24\"]"),
        );
        let program = start_program(&folder, "a", &text).await;
        program
            .wait_for_members("two engines", |page| has_ready(page, 2))
            .await
            .unwrap();
        let clients = start_clients(&program);
        let poisoned = |id: &str, now| Instance {
            ip: "127.9.9.9".into(),
            ..Instance::engine("ENGINES", id, decoy.address().port(), now)
        };
        node.register(poisoned("engine-x", testbed::now()));
        let page = program
            .wait_for_members("the address is rejected", |page| {
                page["counts"]["rejections"].as_u64() > Some(0)
            })
            .await
            .unwrap();
        assert_eq!(page["rejected"][0]["address"], decoy.address().to_string());
        assert!(
            program
                .wait_for_log("is rejected")
                .await
                .unwrap()
                .contains("engine-x")
        );
        // A known engine that moves to that address receives no more requests.
        node.register(poisoned("engine-1", testbed::now() + 1.0));
        program
            .wait_for_members(
                "the engine with the rejected address is not ready",
                |page| has_ready(page, 1),
            )
            .await
            .unwrap();
        sleep_ms(500).await;
        assert_eq!(decoy.count(), 0);
        check_clients(&*clients.stop().await, &engines);
    });
}

#[test]
fn no_request_is_lost_in_a_registry_outage_and_the_nearest_registry_is_preferred_after() {
    run_scenario(async {
        let (near, far) = (start_node().await, start_node().await);
        let engines = fixture::engines(3, ms(10)).await.unwrap();
        near.peer(&far);
        register_engines(&[&near], &engines);
        sleep_ms(50).await;
        let folder = test_folder("away");
        let zoned = format!(
            "[eureka]\nservers = [{{ url = {:?}, zone = \"far\" }}, {{ url = {:?}, zone = \"home\" }}]
             app = \"ENGINES\"\nperiod_s = 0.2\ntimeout_ms = 1000\nask = 1",
            far.url(),
            near.url()
        );
        let program =
            start_program(&folder, "a", &dispatcher_file("zone = \"home\"", &zoned)).await;
        program
            .wait_for_members("three engines", |page| has_ready(page, 3))
            .await
            .unwrap();
        assert!(
            far.calls().is_empty(),
            "the registry of the own zone is polled first"
        );
        let clients = start_clients(&program);
        near.stop();
        program
            .wait_for_members("both registries were polled", |page| {
                page["sources"]
                    .as_array()
                    .is_some_and(|sources| sources.len() == 2)
            })
            .await
            .unwrap();
        far.stop();
        sleep_ms(3_000).await;
        assert!(has_ready(&program.members("").await.unwrap(), 3));
        far.restart().await.unwrap();
        near.restart().await.unwrap();
        let calls = near.calls().len();
        while near.calls().len() < calls + 3 {
            sleep_ms(50).await;
        }
        let far_calls = far.calls().len();
        sleep_ms(1_000).await;
        assert_eq!(
            far.calls().len(),
            far_calls,
            "the nearest registry is polled again"
        );
        check_clients(&*clients.stop().await, &engines);
    });
}

#[test]
fn sighup_replaces_servers_without_loss_and_ignores_an_invalid_file() {
    run_scenario(async {
        let (a, b) = (start_node().await, start_node().await);
        let engines = fixture::engines(3, ms(10)).await.unwrap();
        register_engines(&[&a, &b], &engines);
        let folder = test_folder("swap");
        let program = start_program(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&a], "")),
        )
        .await;
        program
            .wait_for_members("three engines", |page| has_ready(page, 3))
            .await
            .unwrap();
        let clients = start_clients(&program);
        program
            .configure(&dispatcher_file(
                "",
                &eureka_section(&[&b], "networks = [\"x\"]"),
            ))
            .await
            .unwrap();
        assert!(
            program
                .wait_for_log("SIGHUP")
                .await
                .unwrap()
                .contains("eureka.networks[0]")
        );
        b.set_fault(Fault::Delay(ms(800))); // the current list stays until the new one arrives
        let (old_calls, new_calls) = (a.calls().len(), b.calls().len());
        program
            .configure(&dispatcher_file("", &eureka_section(&[&b], "")))
            .await
            .unwrap();
        program.wait_for_log("in force").await.unwrap();
        sleep_ms(400).await;
        assert!(has_ready(&program.members("").await.unwrap(), 3));
        b.set_fault(Fault::None);
        sleep_ms(1_200).await;
        assert!(has_ready(&program.members("").await.unwrap(), 3));
        assert!(
            b.calls().len() > new_calls && a.calls().len() <= old_calls + 2,
            "the old registry is no longer polled"
        );
        check_clients(&*clients.stop().await, &engines);
    });
}

#[test]
fn dispatcher_registers_itself_as_up_when_ready_and_deregisters_on_shutdown() {
    run_scenario(async {
        let (node, engines) = (
            start_node().await,
            fixture::engines(1, ms(400)).await.unwrap(),
        );
        let folder = test_folder("register");
        let register_section = "[eureka.register]\nip = \"127.0.0.1\"\nport = 3390\ninstance_id = \"us\"\n\
                    renew_s = 0.3\n\
                    metadata = { zone = \"depot\" }";
        node.set_fault(Fault::Status(503)); // no list yet
        let program = start_program(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&node], register_section)),
        )
        .await;
        let status = || {
            node.instance("HITCHWINCH", "us")
                .map(|instance| instance.listed())
        };
        while status().is_none() {
            sleep_ms(20).await;
        }
        assert_eq!(
            status(),
            Some(Status::Starting),
            "the dispatcher is not ready"
        );
        register_engines(&[&node], &engines);
        node.set_fault(Fault::None);
        while status() != Some(Status::Up) {
            sleep_ms(20).await;
        }
        let own_entry = node.instance("HITCHWINCH", "us").unwrap();
        assert_eq!(
            (
                own_entry.port,
                own_entry.metadata["zone"].as_str(),
                own_entry.vip.as_str()
            ),
            (3390, "depot", "hitchwinch")
        );
        // The registry loses the entry: the next heartbeat gets 404, and the dispatcher registers again.
        node.cancel("HITCHWINCH", "us");
        while status() != Some(Status::Up) {
            sleep_ms(20).await;
        }
        // Operators override the status, which `/_members` reports.
        node.set_status("HITCHWINCH", "us", Some(Status::OutOfService));
        program
            .wait_for_members("the override is shown", |page| {
                page["registration"]
                    .as_str()
                    .is_some_and(|text| text.contains("shows OUT_OF_SERVICE"))
            })
            .await
            .unwrap();
        node.set_status("HITCHWINCH", "us", None);
        let clients = Clients::start(
            program.address,
            Load {
                clients: 4,
                gap: ms(100),
                loads: 0,
                prepared: false,
            },
        );
        sleep_ms(300).await;
        program.signal("TERM").await.unwrap();
        while status() == Some(Status::Up) {
            sleep_ms(5).await;
        }
        assert_eq!(
            status(),
            Some(Status::OutOfService),
            "while the dispatcher shuts down"
        );
        while status().is_some() {
            sleep_ms(10).await;
        }
        assert!(
            node.calls()
                .iter()
                .any(|call| call.starts_with("DELETE /eureka/apps/HITCHWINCH/us"))
        );
        drop(clients);
    });
}

#[test]
fn registration_passes_to_the_new_process_on_takeover() {
    run_scenario(async {
        let (node, engines) = (
            start_node().await,
            fixture::engines(1, ms(10)).await.unwrap(),
        );
        register_engines(&[&node], &engines);
        let folder = test_folder("upgrade");
        let register_section =
            "[eureka.register]\nport = 3390\ninstance_id = \"us\"\nrenew_s = 0.3";
        let text = dispatcher_file(
            "state_dir = \"FOLDER\"",
            &eureka_section(&[&node], register_section),
        );
        let old = start_program(&folder, "old", &text).await;
        let status = || {
            node.instance("HITCHWINCH", "us")
                .map(|instance| instance.listed())
        };
        while status() != Some(Status::Up) {
            sleep_ms(20).await;
        }
        let new = start_program(&folder, "new", &text).await;
        new.wait_for_members("one engine", |page| {
            page["serving"] == true && has_ready(page, 1)
        })
        .await
        .unwrap();
        old.wait_for_log("2 processes").await.unwrap();
        assert!(old.terminate().await.unwrap());
        sleep_ms(700).await;
        assert_eq!(
            status(),
            Some(Status::Up),
            "the registry lists the new process"
        );
        assert!(!node.calls().iter().any(|call| call.starts_with("DELETE")));
        assert!(new.terminate().await.unwrap());
        assert_eq!(status(), None);
    });
}

#[test]
fn lists_are_read_by_name_as_compressed_xml_with_credentials_and_regions() {
    run_scenario(async {
        let (node, engines) = (
            start_node().await,
            fixture::engines(4, ms(5)).await.unwrap(),
        );
        register_engines(&[&node], &engines);
        node.authorize("Basic YW5uOnNAY3JldA==");
        let url = node.url().replace("http://", "http://ann:s%40cret@");
        let folder = test_folder("forms");
        let queries = [
            ("app = \"engines\"\nformat = \"xml\"", "GET /eureka/apps"),
            (
                "app = \"engines\"\nfetch = \"app\"",
                "GET /eureka/apps/engines",
            ),
            ("vip = \"engines\"", "GET /eureka/vips/engines"),
            (
                "vip = \"engines\"\nformat = \"xml\"",
                "GET /eureka/vips/engines",
            ),
            (
                "app = \"engines\"\nregions = [\"north\", \"south\"]",
                "GET /eureka/apps?regions=north,south",
            ),
        ];
        for (index, (query, call)) in queries.into_iter().enumerate() {
            let section = format!("[eureka]\nservers = [{url:?}]\nperiod_s = 0.1\n{query}");
            let program = start_program(
                &folder,
                &format!("f{index}"),
                &dispatcher_file("", &section),
            )
            .await;
            let page = program
                .wait_for_members("four engines", |page| has_ready(page, 4))
                .await
                .unwrap();
            assert!(
                !page.to_string().contains("cret"),
                "the password is shown nowhere"
            );
            assert!(
                node.calls().contains(&call.to_string()),
                "{call}: {:?}",
                node.calls().last()
            );
            // Each kind of query delivers a drain.
            node.set_status("ENGINES", "engine-3", Some(Status::Down));
            program
                .wait_for_members("the engine drains", |page| has_ready(page, 3))
                .await
                .unwrap();
            node.set_status("ENGINES", "engine-3", None);
            program
                .wait_for_members("the engine is back", |page| has_ready(page, 4))
                .await
                .unwrap();
            assert!(!program.log().iter().any(|line| line.contains("cret")));
            program.kill().await.unwrap();
        }
    });
}

#[test]
fn queued_or_half_prepared_statements_of_a_draining_engine_go_elsewhere() {
    run_scenario(async {
        let (node, engines) = (
            start_node().await,
            fixture::engines(2, ms(100)).await.unwrap(),
        );
        register_engines(&[&node], &engines);
        let folder = test_folder("queued");
        let program = start_program(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&node], "")),
        )
        .await;
        program
            .wait_for_members("two engines", |page| has_ready(page, 2))
            .await
            .unwrap();
        // Sessions with prepared statements, which send more requests than the engines sustain.
        let mut sessions = vec![];
        for session in 0..16u32 {
            let mut connection =
                mysql_async::Conn::new(testbed::clients::load::opts(program.address))
                    .await
                    .unwrap();
            let statement = connection
                .prep("select engine from stock where n = ?")
                .await
                .unwrap();
            sessions.push((session, connection, statement));
        }
        node.watch("engine-0");
        node.set_status("ENGINES", "engine-0", Some(Status::Down));
        let tasks = sessions
            .into_iter()
            .map(|(session, mut connection, statement)| {
                tokio::task::spawn_local(async move {
                    let mut engines = vec![];
                    for request in 0..12u32 {
                        // Requests beyond what the engines sustain are refused with error 3168 and repeated.
                        let row = loop {
                            match connection
                                .exec_first::<(String, String), _, _>(
                                    &statement,
                                    (1000 * session + request,),
                                )
                                .await
                            {
                                Ok(row) => break row,
                                Err(mysql_async::Error::Server(e)) if e.code == 3168 => {
                                    sleep_ms(100).await
                                }
                                Err(e) => panic!("{e}"),
                            }
                        };
                        engines.push(row.unwrap().0);
                    }
                    connection.disconnect().await.unwrap();
                    engines
                })
            });
        let mut last_engines = vec![];
        for task in tasks.collect::<Vec<_>>() {
            last_engines.push(task.await.unwrap().pop().unwrap());
        }
        assert!(
            last_engines.iter().all(|engine| engine == "engine-1"),
            "{last_engines:?}"
        );
        check_drain(&engines[0], node.drain_reported_at("engine-0").unwrap()).unwrap();
        let answered = engines
            .iter()
            .flat_map(Engine::executions)
            .filter(|execution| execution.answered)
            .count();
        assert!(answered >= 16 * 12);
    });
}

#[test]
fn instance_churn_leaks_nothing() {
    run_scenario(async {
        let (node, engines) = (
            start_node().await,
            fixture::engines(12, ms(2)).await.unwrap(),
        );
        let folder = test_folder("churn");
        let program = start_program(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&node], "[eureka.hold]\nfor_s = 0")),
        )
        .await;
        let name = |index: usize| format!("c{index}");
        let add = |index: usize| {
            let port = engines[index % 12].address().port();
            node.register(Instance::engine(
                "ENGINES",
                &name(index),
                port,
                testbed::now(),
            ));
        };
        (0..6).for_each(add);
        program
            .wait_for_members("six engines", |page| has_ready(page, 6))
            .await
            .unwrap();
        let clients = start_clients(&program);
        // One instance is removed and another is added with a new ID, at the address of an earlier instance.
        for index in 6..60 {
            add(index);
            node.set_status("ENGINES", &name(index - 6), Some(Status::Down));
            sleep_ms(30).await;
            node.cancel("ENGINES", &name(index - 6));
        }
        let page = program
            .wait_for_members("six engines", |page| has_ready(page, 6))
            .await
            .unwrap();
        assert!(page["counts"]["gone"].as_u64() <= Some(54), "{page}");
        let summary = clients.stop().await;
        assert_eq!(summary.count(End::Lost), 0, "{:?}", summary.errors.borrow());
        check_loads_run_once(&engines).unwrap();
    });
}
