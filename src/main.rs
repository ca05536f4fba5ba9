//! The real dispatcher: wiring and signals. Without arguments it serves the platform; with `--mysql FILE` it
//! serves the MySQL protocol as that file says.

use hitchwinch::config::{Mysql, Platform, Source};
use hitchwinch::core::{Bounds, Core};
use hitchwinch::net::discovery::{Discovery, fixed, journal::Journal};
use hitchwinch::net::frames::{self, Budget, Front};
use hitchwinch::net::hub::{Hub, Leg};
use hitchwinch::net::mysql;
use hitchwinch::net::pool::Pool;
use hitchwinch::net::resp::RespLeg;
use hitchwinch::net::{span, unix_ms};
use hitchwinch::say;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

/// An answer has to be written and read before its client gives up.
const MARGIN: f64 = 40.0;
/// A result that has begun may stay without its next page for this long.
const PAGE_WAIT: f64 = 600.0;

type Error = Box<dyn std::error::Error>;

fn main() {
    let run = || -> Result<(), Error> {
        let args: Vec<String> = std::env::args().skip(1).collect();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let local = LocalSet::new();
        match &args[..] {
            [] => local.block_on(&runtime, platform(Platform::from_env(|v| std::env::var(v).ok())?)),
            [flag, file] if flag == "--mysql" => local.block_on(&runtime, serve_mysql(Mysql::read(file)?)),
            _ => Err("usage: hitchwinch [--mysql FILE]".into()),
        }
    };
    if let Err(e) = run() {
        eprintln!("hitchwinch: {e}");
        std::process::exit(1);
    }
}

/// Serves the platform until SIGTERM and the last answer.
async fn platform(config: Platform) -> Result<(), Error> {
    let mut term = signal(SignalKind::terminate())?;
    let pool = Pool::default();
    let bounds = Bounds { open: config.sockets.most_open, margin: MARGIN, page_wait: PAGE_WAIT };
    let core = Core::new(config.settings, config.seed, bounds)?;
    let leg = RespLeg::new(config.sockets.clone(), config.names.report_fields.clone(), pool.clone());
    let hub = Hub::new(core, config.names, leg);
    let journal = Journal::new(config.journal, config.known).map_err(|e| format!("known: {e}"))?;
    let listener = TcpListener::bind(config.listen).await?;
    let listen = listener.local_addr()?;
    // A quarter of the memory for statements. Clients hold up to a third of the descriptors, so this many
    // are let in; further ones wait in the machine's own queue.
    let budget = Budget::new(config.limits.memory_mb * 1024 * 1024 / 4);
    let front = Front::new(hub.clone(), pool, budget, config.limits.sockets * 2 / 5);

    let sink = hub.clone();
    spawn_local(journal.run(Box::new(move |change| sink.change(&change))));
    spawn_local(hub.clone().clock());
    let accepting = spawn_local(front.clone().accept(listener));
    say!("{} listens on {listen}", config.name);
    wind_down(&mut term, &hub, config.sockets.longest, || {
        accepting.abort();
        front.farewell.send_replace(true);
    })
    .await;
    Ok(())
}

/// Serves MySQL clients until SIGTERM and the last answer.
async fn serve_mysql(config: Mysql) -> Result<(), Error> {
    let mut term = signal(SignalKind::terminate())?;
    let pool = Pool::default();
    let bounds = Bounds { open: config.sockets.most_open, margin: MARGIN, page_wait: PAGE_WAIT };
    let core = Core::new(config.settings, unix_ms() as u64, bounds)?;
    let leg = mysql::leg::MysqlLeg::new(config.access, config.sockets.clone(), pool.clone());
    let hub = Hub::new(core, config.names, leg);
    let listener = TcpListener::bind(config.listen).await?;
    let listen = listener.local_addr()?;
    let front = mysql::front::Front::new(hub.clone(), pool, config.front);
    let sink = hub.clone();
    match config.source {
        Source::Fixed(engines) => hub.change(&fixed(&engines)),
        Source::Eureka(source) => {
            let registry = hitchwinch::net::discovery::eureka::Eureka::new(source);
            spawn_local(registry.run(Box::new(move |change| sink.change(&change))));
        }
    }
    spawn_local(hub.clone().clock());
    let accepting = spawn_local(front.clone().accept(listener));
    say!("the MySQL front listens on {listen}");
    wind_down(&mut term, &hub, config.sockets.longest, || {
        accepting.abort();
        front.stop();
    })
    .await;
    Ok(())
}

/// Waits for SIGTERM. Clients go on coming for a while: they are served, told that this dispatcher is not
/// ready, and then asked to go elsewhere. The last answers are given before the kill can come.
async fn wind_down<L: Leg>(term: &mut Signal, hub: &Rc<Hub<L>>, longest: f64, farewell: impl FnOnce()) {
    term.recv().await;
    say!("SIGTERM: {} requests are open", hub.owed());
    let began = tokio::time::Instant::now();
    hub.stop(unix_ms() + frames::stop_span(longest).as_secs_f64() * 1000.0);
    tokio::time::sleep(frames::ACCEPT_FOR).await;
    farewell();
    tokio::time::sleep(span(300.0)).await;
    while hub.owed() > 0 && began.elapsed() < Duration::from_secs(30) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // The last answers are still being written.
    tokio::time::sleep(Duration::from_millis(50)).await;
    say!("stopped after {} ms", began.elapsed().as_millis());
}
