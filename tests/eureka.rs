//! The program against stand-in registries, engines and clients on loopback: the hard cases of membership, each by
//! name. Clients are a driver that others wrote; what engines were sent is checked by the engines' own account.

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
use tokio::task::LocalSet;

/// Plays on one thread.
fn play(f: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let timed = async {
        tokio::time::timeout(Duration::from_secs(60), f)
            .await
            .expect("it takes too long")
    };
    LocalSet::new().block_on(&runtime, timed)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

async fn pass(n: u64) {
    tokio::time::sleep(ms(n)).await;
}

async fn node() -> Node {
    Node::start(ephemeral_address(), Rules::default())
        .await
        .unwrap()
}

/// The program, on this file; its folder for state is `FOLDER` there.
async fn start(folder: &Folder, name: &str, text: &str) -> Program {
    let text = text.replace("FOLDER", folder.path().to_str().unwrap());
    Program::start(
        Path::new(env!("CARGO_BIN_EXE_hitchwinch")),
        folder,
        name,
        &text,
    )
    .await
    .unwrap()
}

fn folder(name: &str) -> Folder {
    Folder::new(&format!("eureka-{name}")).unwrap()
}

/// 16 clients, 160 requests a second, one in eight a load.
fn load(program: &Program) -> Clients {
    let load = Load {
        clients: 16,
        gap: ms(100),
        loads: 8,
        prepared: true,
    };
    Clients::start(program.address, load)
}

fn member<'a>(page: &'a Value, id: &str) -> &'a Value {
    let all = page["members"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    all.iter().find(|m| m["id"] == id).unwrap_or(&Value::Null)
}

fn ready(page: &Value, n: u64) -> bool {
    page["counts"]["ready"] == n
}

/// Every request was answered, none failed, and no load ran twice.
fn sound(account: &testbed::clients::load::LoadSummary, engines: &[Engine]) {
    assert!(
        account.count(End::Served) > 20,
        "{:?}",
        account.ends.borrow()
    );
    let bad = [End::Lost, End::Failed, End::Late].map(|e| account.count(e));
    assert_eq!(bad, [0, 0, 0], "{:?}", account.troubles.borrow());
    assert!(check_loads_run_once(engines).unwrap() > 0);
}

#[test]
fn drain_takes_effect_within_a_second_and_running_statements_finish() {
    play(async {
        let (node, engines) = (node().await, fixture::engines(5, ms(30)).await.unwrap());
        register_engines(&[&node], &engines);
        let folder = folder("drain");
        let program = start(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&node], "")),
        )
        .await;
        program
            .until("five engines", |p| ready(p, 5))
            .await
            .unwrap();
        let clients = load(&program);
        pass(500).await;
        let statuses = [
            Status::Down,
            Status::OutOfService,
            Status::Starting,
            Status::Unknown,
        ];
        for (engine, status) in engines.iter().zip(statuses) {
            engine.work(ms(400)); // something runs when the notice comes
            pass(150).await;
            node.watch(engine.name());
            node.set_status("ENGINES", engine.name(), Some(status));
            pass(900).await;
        }
        pass(600).await;
        for engine in &engines[..4] {
            let notice = node.told(engine.name()).expect("it was told");
            check_drain(engine, notice).unwrap();
            assert!(
                engine.executions().iter().all(|r| r.answered),
                "what ran when it came went on to its end"
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
        sound(&*clients.stop().await, &engines);
        assert!(program.ends().await.unwrap());
    });
}

#[test]
fn stale_list_does_not_restore_a_drained_engine() {
    play(async {
        let (a, b) = (node().await, node().await);
        let engines = fixture::engines(3, ms(10)).await.unwrap();
        register_engines(&[&a, &b], &engines);
        b.fault(Fault::Stale); // as of now, for ever
        let folder = folder("stale");
        let program = start(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&a, &b], "")),
        )
        .await;
        program
            .until("three engines", |p| ready(p, 3))
            .await
            .unwrap();
        let clients = load(&program);
        pass(300).await;
        a.watch("engine-1");
        a.set_status("ENGINES", "engine-1", Some(Status::OutOfService));
        program.until("it drains", |p| ready(p, 2)).await.unwrap();
        // The registry that told it goes away; the stale one alone answers, on and on.
        a.away();
        pass(4_000).await;
        let page = program.members("").await.unwrap();
        assert!(ready(&page, 2), "{page}");
        assert_eq!(member(&page, "engine-1")["state"], "draining");
        check_drain(&engines[1], a.told("engine-1").unwrap()).unwrap();
        // A newer word puts it back.
        b.fault(Fault::None);
        b.register(Instance::engine(
            "ENGINES",
            "engine-1",
            engines[1].address().port(),
            testbed::now() + 1.0,
        ));
        program.until("it is back", |p| ready(p, 3)).await.unwrap();
        sound(&*clients.stop().await, &engines);
    });
}

#[test]
fn flapping_disagreement_of_two_registries_keeps_the_engine_out() {
    play(async {
        let (a, b) = (node().await, node().await);
        let engines = fixture::engines(3, ms(10)).await.unwrap();
        register_engines(&[&a, &b], &engines);
        let folder = folder("flap");
        let program = start(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&a, &b], "")),
        )
        .await;
        program
            .until("three engines", |p| ready(p, 3))
            .await
            .unwrap();
        let clients = load(&program);
        a.watch("engine-0");
        a.set_status("ENGINES", "engine-0", Some(Status::OutOfService));
        program.until("it drains", |p| ready(p, 2)).await.unwrap();
        for i in 0..10u64 {
            // The one repeats the drain, the other that it is up, each newer than the word before.
            pass(150).await;
            let node = if i % 2 == 0 { &b } else { &a };
            let status = if i % 2 == 0 {
                None
            } else {
                Some(Status::OutOfService)
            };
            node.set_status("ENGINES", "engine-0", status);
        }
        pass(500).await;
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
            "both words are shown"
        );
        assert_eq!(shown["turns"], 2);
        check_drain(&engines[0], a.told("engine-0").unwrap()).unwrap();
        sound(&*clients.stop().await, &engines);
    });
}

#[test]
fn engine_restarted_during_a_registry_outage_gets_slow_start() {
    play(async {
        let (node, engines) = (node().await, fixture::engines(3, ms(400)).await.unwrap());
        register_engines(&[&node], &engines);
        let folder = folder("cold");
        let program = start(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&node], "")),
        )
        .await;
        program
            .until("three engines", |p| ready(p, 3))
            .await
            .unwrap();
        // 90 statements a second, each 400 ms: 12 threads on each of 3 engines.
        let many = Load {
            clients: 90,
            gap: ms(1000),
            loads: 0,
            prepared: false,
        };
        let clients = Clients::start(program.address, many);
        pass(2_500).await;
        node.away();
        pass(1_000).await;
        let warm = engines[0].count();

        engines[0].end();
        pass(1_500).await;
        engines[0].again().await.unwrap();
        let page = program
            .until("it is known to have started anew", |p| {
                member(p, "engine-0")["started_age_ms"]
                    .as_f64()
                    .is_some_and(|a| a < 3_000.0)
            })
            .await
            .unwrap();
        assert_eq!(
            member(&page, "engine-0")["state"],
            "ready",
            "whatever the old list says"
        );
        pass(3_500).await;
        // What it bears at its age, by the settings: 4 times 0.3 of 8 cores over 2 s, at 400 ms a statement, and all
        // of them at 15 s.
        let bears = |age: f64| {
            (4.0 * (0.3 + 0.7 * (age / 15_000.0).min(1.0)) * 8.0 * 2_000.0 / 400.0) as usize
        };
        let (_, all) = check_slow_start(&engines[0], 2_000.0, bears).unwrap();

        assert!(all > 20, "and it is used: {all}");
        assert!(warm > 60, "it had its share before: {warm}");
        let account = clients.stop().await;
        assert_eq!(
            account.count(End::Lost),
            0,
            "{:?}",
            account.troubles.borrow()
        );
    });
}

#[test]
fn list_shrinking_from_200_engines_to_one_rejects_no_request() {
    play(async {
        let (node, engines) = (node().await, fixture::engines(200, ms(5)).await.unwrap());
        register_engines(&[&node], &engines);
        let folder = folder("short");
        let program = start(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&node], "[eureka.hold]\nfor_s = 3")),
        )
        .await;
        program
            .until("200 engines", |p| ready(p, 200))
            .await
            .unwrap();
        let clients = load(&program);
        pass(300).await;
        node.fault(Fault::Only(1));
        let page = program
            .until("199 are held", |p| p["counts"]["held"] == 199)
            .await
            .unwrap();
        assert!(ready(&page, 200));
        let held = &member(&page, "engine-7")["held"];
        assert!(
            held["why"].as_str().unwrap().contains("199 of 200"),
            "{held}"
        );
        // Connections confirm those that are gone indeed, one by one.
        engines[50..].iter().for_each(Engine::end);
        let refused = program
            .until("some are gone", |p| p["counts"]["gone"].as_u64() > Some(0))
            .await
            .unwrap();
        assert!(refused["counts"]["held"].as_u64() < Some(199));
        // The list is whole again before the doubt ends: nothing more has happened.
        node.fault(Fault::None);
        program
            .until("none is held", |p| p["counts"]["held"] == 0)
            .await
            .unwrap();
        // And if it is not, the doubt ends.
        node.fault(Fault::Only(1));
        program
            .until("held again", |p| p["counts"]["held"].as_u64() > Some(0))
            .await
            .unwrap();
        program.until("let go", |p| ready(p, 1)).await.unwrap();
        let account = clients.stop().await;
        let bad = [End::Lost, End::Late].map(|e| account.count(e));
        assert_eq!(bad, [0, 0], "{:?}", account.troubles.borrow());
        check_loads_run_once(&engines).unwrap();
    });
}

#[test]
fn reassigned_address_is_used_for_its_new_instance_only() {
    play(async {
        let (node, engines) = (node().await, fixture::engines(2, ms(10)).await.unwrap());
        register_engines(&[&node], &engines);
        let folder = folder("passed");
        let program = start(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&node], "")),
        )
        .await;
        program.until("two engines", |p| ready(p, 2)).await.unwrap();
        let clients = load(&program);
        pass(300).await;
        // The old instance's lease has not ended when the new one registers the same address.
        node.register(Instance::engine(
            "ENGINES",
            "engine-new",
            engines[0].address().port(),
            testbed::now(),
        ));
        let page = program
            .until("it has passed", |p| {
                member(p, "engine-new")["state"] == "ready"
            })
            .await
            .unwrap();
        let old = member(&page, "engine-0");
        assert_eq!(
            (&old["state"], &old["superseded_by"]),
            (&"draining".into(), &"engine-new".into()),
            "{page}"
        );
        pass(300).await;
        node.cancel("ENGINES", "engine-0");
        program
            .until("the old one is gone", |p| member(p, "engine-0").is_null())
            .await
            .unwrap();
        pass(300).await;
        assert!(ready(&program.members("").await.unwrap(), 2));
        let account = clients.stop().await;
        assert_eq!(
            account.count(End::Lost),
            0,
            "{:?}",
            account.troubles.borrow()
        );
        check_loads_run_once(&engines).unwrap();
    });
}

#[test]
fn drain_in_the_same_poll_as_the_last_heartbeat_takes_effect() {
    play(async {
        let (node, engines) = (node().await, fixture::engines(2, ms(10)).await.unwrap());
        register_engines(&[&node], &engines);
        let folder = folder("heartbeat");
        let program = start(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&node], "")),
        )
        .await;
        program.until("two engines", |p| ready(p, 2)).await.unwrap();
        let clients = load(&program);
        pass(300).await;
        node.watch("engine-0");
        // One instant: it registers itself as up, newer than before, and operators take it out of service.
        let mut last = Instance::engine(
            "ENGINES",
            "engine-0",
            engines[0].address().port(),
            testbed::now() + 5.0,
        );
        last.renewed = testbed::now();
        node.register(last);
        node.set_status("ENGINES", "engine-0", Some(Status::OutOfService));
        program.until("it drains", |p| ready(p, 1)).await.unwrap();
        pass(1_200).await;
        check_drain(&engines[0], node.told("engine-0").unwrap()).unwrap();
        sound(&*clients.stop().await, &engines);
    });
}

#[test]
fn start_during_a_registry_outage_serves_the_snapshot_with_its_age() {
    play(async {
        let (node, engines) = (node().await, fixture::engines(3, ms(10)).await.unwrap());
        register_engines(&[&node], &engines);
        node.set_status("ENGINES", "engine-2", Some(Status::OutOfService));
        let folder = folder("snapshot");
        let text = dispatcher_file("state_dir = \"FOLDER\"", &eureka_section(&[&node], ""));
        let program = start(&folder, "a", &text).await;
        program.until("two engines", |p| ready(p, 2)).await.unwrap();
        let kept = folder.path().join("hitchwinch/members");
        while !kept.exists() {
            pass(20).await;
        }
        program.kill().await.unwrap();
        node.away();
        let program = start(&folder, "b", &text).await;
        program.says("a snapshot of 3 engines").await.unwrap();
        let page = program
            .until("two engines", |p| p["serving"] == true && ready(p, 2))
            .await
            .unwrap();
        assert!(page["snapshot_age_ms"].as_f64().unwrap() > 0.0);
        assert_eq!(page["counts"]["unproven"], 3);
        assert_eq!(program.call("GET", "/_ready").await.unwrap().0, 200);
        let clients = load(&program);
        pass(800).await;
        assert_eq!(engines[2].count(), 0, "it drained when it was last known");
        // The registry is back, and proves them.
        node.back().await.unwrap();
        program
            .until("proven", |p| p["counts"]["unproven"] == 0)
            .await
            .unwrap();
        sound(&*clients.stop().await, &engines);
        program.kill().await.unwrap();
        // What cannot be read is told of and set aside, and never fatal.
        let good = std::fs::read(&kept).unwrap();
        let future = [&good[..12], &9u32.to_be_bytes(), &good[16..]].concat();
        for (i, (bytes, what)) in [
            (&good[..good.len() / 2], "torn"),
            (b"#!/bin/sh", "no record"),
            (&future, "later program"),
        ]
        .into_iter()
        .enumerate()
        {
            std::fs::write(&kept, bytes).unwrap();
            let program = start(&folder, &format!("c{i}"), &text).await;
            let line = program.says("set aside").await.unwrap();
            assert!(line.contains(what), "{line}");
            assert_eq!(
                std::fs::read(kept.with_extension(format!("unread-{i}"))).unwrap(),
                bytes
            );
            program.until("two engines", |p| ready(p, 2)).await.unwrap();
            program.kill().await.unwrap();
        }
    });
}

#[test]
fn registry_with_malformed_answers_is_skipped_and_the_list_stays() {
    play(async {
        let (a, b) = (node().await, node().await);
        let engines = fixture::engines(2, ms(10)).await.unwrap();
        register_engines(&[&a], &engines);
        let folder = folder("nonsense");
        let program = start(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&a], "max_body = 100000")),
        )
        .await;
        program.until("two engines", |p| ready(p, 2)).await.unwrap();
        let clients = load(&program);
        let faults = [
            (Fault::Html, "neither JSON nor XML"),
            (
                Fault::Huge {
                    bytes: 3 << 30,
                    told: true,
                },
                "above the bound",
            ),
            (
                Fault::Huge {
                    bytes: 3 << 30,
                    told: false,
                },
                "above the bound",
            ),
            (Fault::Drip(ms(1000)), "no whole answer within"),
            (Fault::Torn, "eureka"),
            (Fault::Status(500), "status 500"),
            (Fault::Delay(ms(1500)), "no whole answer within"),
            (Fault::Redirect(b.url()), "no server of the configuration"),
            (Fault::Redirect(a.url()), "redirects more than"),
        ];
        for (fault, what) in faults {
            let before = program.members("").await.unwrap()["sources"][0]["failures"].as_u64();
            a.fault(fault.clone());
            let page = program
                .until(what, |p| {
                    let source = &p["sources"][0];
                    source["failures"].as_u64() > before
                        && source["last_failure"]
                            .as_str()
                            .is_some_and(|f| f.contains(what) || what == "eureka")
                })
                .await
                .unwrap_or_else(|e| panic!("{fault:?}: {e}"));
            assert!(ready(&page, 2), "{fault:?}: {page}");
            a.fault(Fault::None);
            let whole = page["sources"][0]["whole_lists"].as_u64();
            program
                .until("answered", |p| {
                    p["sources"][0]["whole_lists"].as_u64() > whole
                })
                .await
                .unwrap();
        }
        assert!(program.memory().1 < 100.0, "{:?} MB", program.memory());
        assert!(
            b.calls().is_empty(),
            "nothing went where the configuration does not lead"
        );
        sound(&*clients.stop().await, &engines);
    });
}

#[test]
fn address_outside_the_allowed_networks_is_never_connected_to() {
    play(async {
        let (node, engines) = (node().await, fixture::engines(2, ms(10)).await.unwrap());
        register_engines(&[&node], &engines);
        let decoy = Engine::start("decoy", "127.9.9.9:0".parse().unwrap(), ms(1))
            .await
            .unwrap();
        let folder = folder("poison");
        let text = dispatcher_file(
            "",
            &eureka_section(&[&node], "networks = [\"127.0.0.0/24\"]"),
        );
        let program = start(&folder, "a", &text).await;
        program.until("two engines", |p| ready(p, 2)).await.unwrap();
        let clients = load(&program);
        let poisoned = |id: &str, now| Instance {
            ip: "127.9.9.9".into(),
            ..Instance::engine("ENGINES", id, decoy.address().port(), now)
        };
        node.register(poisoned("engine-x", testbed::now()));
        let page = program
            .until("rejected", |p| p["counts"]["rejections"].as_u64() > Some(0))
            .await
            .unwrap();
        assert_eq!(page["rejected"][0]["address"], decoy.address().to_string());
        assert!(
            program
                .says("is rejected")
                .await
                .unwrap()
                .contains("engine-x")
        );
        // A known engine that is led there takes nothing more.
        node.register(poisoned("engine-1", testbed::now() + 1.0));
        program.until("led astray", |p| ready(p, 1)).await.unwrap();
        pass(500).await;
        assert_eq!(decoy.count(), 0);
        sound(&*clients.stop().await, &engines);
    });
}

#[test]
fn no_request_is_lost_in_a_registry_outage_and_the_nearest_registry_is_preferred_after() {
    play(async {
        let (near, far) = (node().await, node().await);
        let engines = fixture::engines(3, ms(10)).await.unwrap();
        near.peer(&far);
        register_engines(&[&near], &engines);
        pass(50).await;
        let folder = folder("away");
        let zoned = format!(
            "[eureka]\nservers = [{{ url = {:?}, zone = \"far\" }}, {{ url = {:?}, zone = \"home\" }}]
             app = \"ENGINES\"\nperiod_s = 0.2\ntimeout_ms = 1000\nask = 1",
            far.url(),
            near.url()
        );
        let program = start(&folder, "a", &dispatcher_file("zone = \"home\"", &zoned)).await;
        program
            .until("three engines", |p| ready(p, 3))
            .await
            .unwrap();
        assert!(far.calls().is_empty(), "the own zone goes first");
        let clients = load(&program);
        near.away();
        program
            .until("fail-over", |p| {
                p["sources"].as_array().is_some_and(|s| s.len() == 2)
            })
            .await
            .unwrap();
        far.away();
        pass(3_000).await;
        assert!(ready(&program.members("").await.unwrap(), 3));
        far.back().await.unwrap();
        near.back().await.unwrap();
        let calls = near.calls().len();
        while near.calls().len() < calls + 3 {
            pass(50).await;
        }
        let of_far = far.calls().len();
        pass(1_000).await;
        assert_eq!(far.calls().len(), of_far, "the return to the nearest");
        sound(&*clients.stop().await, &engines);
    });
}

#[test]
fn sighup_replaces_servers_without_loss_and_ignores_an_invalid_file() {
    play(async {
        let (a, b) = (node().await, node().await);
        let engines = fixture::engines(3, ms(10)).await.unwrap();
        register_engines(&[&a, &b], &engines);
        let folder = folder("swap");
        let program = start(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&a], "")),
        )
        .await;
        program
            .until("three engines", |p| ready(p, 3))
            .await
            .unwrap();
        let clients = load(&program);
        program
            .configure(&dispatcher_file(
                "",
                &eureka_section(&[&b], "networks = [\"x\"]"),
            ))
            .await
            .unwrap();
        assert!(
            program
                .says("SIGHUP")
                .await
                .unwrap()
                .contains("eureka.networks[0]")
        );
        b.fault(Fault::Delay(ms(800))); // the list in hand stays until the new one is here
        let (asked, seen) = (a.calls().len(), b.calls().len());
        program
            .configure(&dispatcher_file("", &eureka_section(&[&b], "")))
            .await
            .unwrap();
        program.says("in force").await.unwrap();
        pass(400).await;
        assert!(ready(&program.members("").await.unwrap(), 3));
        b.fault(Fault::None);
        pass(1_200).await;
        assert!(ready(&program.members("").await.unwrap(), 3));
        assert!(
            b.calls().len() > seen && a.calls().len() <= asked + 2,
            "the old one is asked no more"
        );
        sound(&*clients.stop().await, &engines);
    });
}

#[test]
fn dispatcher_registers_itself_as_up_when_ready_and_deregisters_on_shutdown() {
    play(async {
        let (node, engines) = (node().await, fixture::engines(1, ms(400)).await.unwrap());
        let folder = folder("register");
        let more = "[eureka.register]\nip = \"127.0.0.1\"\nport = 3390\ninstance_id = \"us\"\nrenew_s = 0.3\n\
                    metadata = { zone = \"depot\" }";
        node.fault(Fault::Status(503)); // no list yet
        let program = start(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&node], more)),
        )
        .await;
        let status = || node.instance("HITCHWINCH", "us").map(|i| i.listed());
        while status().is_none() {
            pass(20).await;
        }
        assert_eq!(status(), Some(Status::Starting), "it is not ready");
        register_engines(&[&node], &engines);
        node.fault(Fault::None);
        while status() != Some(Status::Up) {
            pass(20).await;
        }
        let us = node.instance("HITCHWINCH", "us").unwrap();
        assert_eq!(
            (us.port, us.metadata["zone"].as_str(), us.vip.as_str()),
            (3390, "depot", "hitchwinch")
        );
        // The registry forgets it: a heartbeat finds that out, and it registers again.
        node.cancel("HITCHWINCH", "us");
        while status() != Some(Status::Up) {
            pass(20).await;
        }
        // Operators set another status over it, and it is shown.
        node.set_status("HITCHWINCH", "us", Some(Status::OutOfService));
        program
            .until("the override is shown", |p| {
                p["registration"]
                    .as_str()
                    .is_some_and(|t| t.contains("shows OUT_OF_SERVICE"))
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
        pass(300).await;
        program.signal("TERM").await.unwrap();
        while status() == Some(Status::Up) {
            pass(5).await;
        }
        assert_eq!(status(), Some(Status::OutOfService), "while it winds down");
        while status().is_some() {
            pass(10).await;
        }
        assert!(
            node.calls()
                .iter()
                .any(|c| c.starts_with("DELETE /eureka/apps/HITCHWINCH/us"))
        );
        drop(clients);
    });
}

#[test]
fn registration_passes_to_the_new_process_on_takeover() {
    play(async {
        let (node, engines) = (node().await, fixture::engines(1, ms(10)).await.unwrap());
        register_engines(&[&node], &engines);
        let folder = folder("upgrade");
        let more = "[eureka.register]\nport = 3390\ninstance_id = \"us\"\nrenew_s = 0.3";
        let text = dispatcher_file("state_dir = \"FOLDER\"", &eureka_section(&[&node], more));
        let old = start(&folder, "old", &text).await;
        let status = || node.instance("HITCHWINCH", "us").map(|i| i.listed());
        while status() != Some(Status::Up) {
            pass(20).await;
        }
        let new = start(&folder, "new", &text).await;
        new.until("one engine", |p| p["serving"] == true && ready(p, 1))
            .await
            .unwrap();
        old.says("2 processes").await.unwrap();
        assert!(old.ends().await.unwrap());
        pass(700).await;
        assert_eq!(
            status(),
            Some(Status::Up),
            "whoever looks for it finds the new one"
        );
        assert!(!node.calls().iter().any(|c| c.starts_with("DELETE")));
        assert!(new.ends().await.unwrap());
        assert_eq!(status(), None);
    });
}

#[test]
fn lists_are_read_by_name_as_compressed_xml_with_credentials_and_regions() {
    play(async {
        let (node, engines) = (node().await, fixture::engines(4, ms(5)).await.unwrap());
        register_engines(&[&node], &engines);
        node.authorize("Basic YW5uOnNAY3JldA==");
        let with = node.url().replace("http://", "http://ann:s%40cret@");
        let folder = folder("forms");
        let forms = [
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
        for (i, (form, call)) in forms.into_iter().enumerate() {
            let section = format!("[eureka]\nservers = [{with:?}]\nperiod_s = 0.1\n{form}");
            let program = start(&folder, &format!("f{i}"), &dispatcher_file("", &section)).await;
            let page = program
                .until("four engines", |p| ready(p, 4))
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
            // A drain comes by each of them.
            node.set_status("ENGINES", "engine-3", Some(Status::Down));
            program.until("it drains", |p| ready(p, 3)).await.unwrap();
            node.set_status("ENGINES", "engine-3", None);
            program.until("it is back", |p| ready(p, 4)).await.unwrap();
            assert!(!program.log().iter().any(|l| l.contains("cret")));
            program.kill().await.unwrap();
        }
    });
}

#[test]
fn queued_or_half_prepared_statements_of_a_draining_engine_go_elsewhere() {
    play(async {
        let (node, engines) = (node().await, fixture::engines(2, ms(100)).await.unwrap());
        register_engines(&[&node], &engines);
        let folder = folder("queued");
        let program = start(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&node], "")),
        )
        .await;
        program.until("two engines", |p| ready(p, 2)).await.unwrap();
        // Sessions that have their statements prepared, and more requests than engines bear.
        let mut sessions = vec![];
        for n in 0..16u32 {
            let mut c = mysql_async::Conn::new(testbed::clients::load::opts(program.address))
                .await
                .unwrap();
            let s = c
                .prep("select engine from stock where n = ?")
                .await
                .unwrap();
            sessions.push((n, c, s));
        }
        node.watch("engine-0");
        node.set_status("ENGINES", "engine-0", Some(Status::Down));
        let asked = sessions.into_iter().map(|(n, mut c, s)| {
            tokio::task::spawn_local(async move {
                let mut engines = vec![];
                for k in 0..12u32 {
                    // More than engines bear is refused, and comes again.
                    let row = loop {
                        match c
                            .exec_first::<(String, String), _, _>(&s, (1000 * n + k,))
                            .await
                        {
                            Ok(row) => break row,
                            Err(mysql_async::Error::Server(e)) if e.code == 3168 => pass(100).await,
                            Err(e) => panic!("{e}"),
                        }
                    };
                    engines.push(row.unwrap().0);
                }
                c.disconnect().await.unwrap();
                engines
            })
        });
        let mut last = vec![];
        for task in asked.collect::<Vec<_>>() {
            last.push(task.await.unwrap().pop().unwrap());
        }
        assert!(last.iter().all(|e| e == "engine-1"), "{last:?}");
        check_drain(&engines[0], node.told("engine-0").unwrap()).unwrap();
        let answered = engines
            .iter()
            .flat_map(Engine::executions)
            .filter(|r| r.answered)
            .count();
        assert!(answered >= 16 * 12);
    });
}

#[test]
fn instance_churn_leaks_nothing() {
    play(async {
        let (node, engines) = (node().await, fixture::engines(12, ms(2)).await.unwrap());
        let folder = folder("churn");
        let program = start(
            &folder,
            "a",
            &dispatcher_file("", &eureka_section(&[&node], "[eureka.hold]\nfor_s = 0")),
        )
        .await;
        let name = |i: usize| format!("c{i}");
        let add = |i: usize| {
            let port = engines[i % 12].address().port();
            node.register(Instance::engine("ENGINES", &name(i), port, testbed::now()));
        };
        (0..6).for_each(add);
        program.until("six engines", |p| ready(p, 6)).await.unwrap();
        let clients = load(&program);
        // One goes and another comes under a new id, at an address that an earlier one had.
        for i in 6..60 {
            add(i);
            node.set_status("ENGINES", &name(i - 6), Some(Status::Down));
            pass(30).await;
            node.cancel("ENGINES", &name(i - 6));
        }
        let page = program.until("six engines", |p| ready(p, 6)).await.unwrap();
        assert!(page["counts"]["gone"].as_u64() <= Some(54), "{page}");
        let account = clients.stop().await;
        assert_eq!(
            account.count(End::Lost),
            0,
            "{:?}",
            account.troubles.borrow()
        );
        check_loads_run_once(&engines).unwrap();
    });
}
