//! Hosts one [`Controller`] for each gateway of the simulator: framing and translation, no decision.

mod wire;

use query_dispatcher::config::NameTable;
use query_dispatcher::gossip::{Broadcaster, PeerReport};
use query_dispatcher::{Action, Controller, EngineState, Event, ListUpdate, Outcome};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use wire::{EndedIn, In, Member, Out};

struct Instance {
    controller: Controller,
    names: NameTable,
    /// What it and its peers tell each other, and the engines that it has in its list.
    bulletin: Option<Broadcaster>,
    listed: BTreeSet<String>,
}

struct Host<W> {
    now: Option<f64>,
    instances: HashMap<String, Instance>,
    tables: BTreeMap<u64, Vec<Member>>,
    reply: Vec<u8>,
    actions: Vec<Action>,
    output: W,
}

impl Instance {
    /// Keeps the account of what its peers may be told of.
    fn follow(&mut self, event: &Event) {
        let Some(bulletin) = &mut self.bulletin else {
            return;
        };
        match event {
            Event::Query(_) => bulletin.credit_request(),
            Event::EngineList { update, entries } => {
                if *update != ListUpdate::Patch {
                    self.listed.clear();
                }
                for e in entries {
                    match e.state {
                        EngineState::Gone => self.listed.remove(&e.engine),
                        _ => self.listed.insert(e.engine.clone()),
                    };
                }
                bulletin.set_engines(self.listed.iter().map(String::as_str));
            }
            _ => {}
        }
    }
}

impl<W: Write> Host<W> {
    fn write(&mut self, line: &Out) -> Result<(), String> {
        serde_json::to_writer(&mut self.reply, line).map_err(|e| e.to_string())?;
        self.reply.push(b'\n');
        Ok(())
    }

    fn line(&mut self, line: &str) -> Result<(), String> {
        let event: In = serde_json::from_str(line).map_err(|e| e.to_string())?;
        match (event, self.now) {
            (In::Turn { ts }, None) => self.now = Some(ts),
            (In::Turn { .. }, Some(_)) => return Err("turn inside a batch".into()),
            (_, None) => return Err("event outside a batch".into()),
            (In::Commit, Some(_)) => {
                self.now = None;
                self.write(&Out::End)?;
                self.output
                    .write_all(&self.reply)
                    .and_then(|()| self.output.flush())
                    .map_err(|e| e.to_string())?;
                self.reply.clear();
            }
            (event, Some(now)) => self.event(now, event)?,
        }
        Ok(())
    }

    fn event(&mut self, now: f64, event: In) -> Result<(), String> {
        let (id, event) = match event {
            In::Turn { .. } | In::Commit => return Ok(()),
            In::Table { list, members } => {
                self.tables.insert(list, members);
                return Ok(());
            }
            In::Provision {
                gateway_id,
                prng,
                profile_data,
            } => {
                let bulletin = profile_data.gossip_budget().map(Broadcaster::new);
                let (settings, names) = profile_data.settings()?;
                let controller = Controller::new(settings, prng).map_err(|e| e.to_string())?;
                let listed = BTreeSet::new();
                self.instances.insert(
                    gateway_id,
                    Instance {
                        controller,
                        names,
                        bulletin,
                        listed,
                    },
                );
                return Ok(());
            }
            In::Killed { gateway_id } => {
                self.names(&gateway_id)?;
                self.instances.remove(&gateway_id);
                return Ok(());
            }
            In::Membership {
                gateway_id,
                how,
                list,
            } => {
                let members = match how {
                    wire::How::Broken => None,
                    _ => {
                        let list = list.ok_or("missing field `list`")?;
                        Some(
                            self.tables
                                .get(&list)
                                .ok_or_else(|| format!("unknown table {list}"))?,
                        )
                    }
                };
                let event = wire::engines(self.names(&gateway_id)?, how, members);
                (gateway_id, event)
            }
            In::Inbound(q) => (
                q.gateway_id.clone(),
                wire::query(self.names(&q.gateway_id)?, q)?,
            ),
            In::Ended(e) => {
                self.tell(now, &e)?;
                (
                    e.gateway_id.clone(),
                    wire::ended(self.names(&e.gateway_id)?, e),
                )
            }
            In::Health {
                gateway_id,
                engine,
                how,
                metrics,
            } => {
                let report = metrics.unwrap_or_default();
                (
                    gateway_id,
                    Event::EngineReport {
                        engine,
                        outcome: how.outcome(),
                        report,
                    },
                )
            }
            In::Progress {
                gateway_id,
                corr,
                go,
                x,
                kind,
            } => match wire::note(kind, x) {
                Some(note) => (
                    gateway_id,
                    Event::Progress {
                        id: corr.into(),
                        attempt: go,
                        note,
                    },
                ),
                None => return self.names(&gateway_id).map(|_| ()),
            },
            In::Message {
                gateway_id,
                content,
            } => {
                self.names(&gateway_id)?;
                let bulletin = self
                    .instances
                    .get_mut(&gateway_id)
                    .and_then(|i| i.bulletin.as_mut());
                let heard = bulletin.map(|b| b.receive(now, content.as_bytes()));
                // What can't be read is passed over, as on sockets.
                let Some(Ok(Some(PeerReport { engine, report }))) = heard else {
                    return Ok(());
                };
                (
                    gateway_id,
                    Event::EngineReport {
                        engine,
                        outcome: Outcome::Served,
                        report,
                    },
                )
            }
            In::ClientLeft { gateway_id, corr } => {
                (gateway_id, Event::ClientDisconnected(corr.into()))
            }
            In::Ring { gateway_id, nonce } => (gateway_id, Event::Timer(nonce)),
            In::UnderWay {
                gateway_id,
                corr,
                go,
            } => (
                gateway_id,
                Event::Streaming {
                    id: corr.into(),
                    attempt: go,
                },
            ),
        };
        self.names(&id)?;
        if let Some(i) = self.instances.get_mut(&id) {
            i.follow(&event);
        }
        self.handle(now, &id, event)
    }

    /// Its peers hear of an engine's load by an answer's report.
    fn tell(&mut self, now: f64, e: &EndedIn) -> Result<(), String> {
        let bulletin = self
            .instances
            .get_mut(&e.gateway_id)
            .and_then(|i| i.bulletin.as_mut());
        let (Some(bulletin), Some(engine)) = (bulletin, &e.engine) else {
            return Ok(());
        };
        let report = e.metrics.as_deref().unwrap_or_default();
        match bulletin
            .offer_report(now, engine, report)
            .map(String::from_utf8)
        {
            Some(Ok(content)) => self.write(&Out::WritePeer {
                gateway_id: &e.gateway_id,
                content: &content,
            }),
            _ => Ok(()),
        }
    }

    fn names(&self, id: &str) -> Result<&NameTable, String> {
        self.instances
            .get(id)
            .map(|i| &i.names)
            .ok_or_else(|| format!("instance {id:?} is not provisioned"))
    }

    fn handle(&mut self, now: f64, id: &str, event: Event) -> Result<(), String> {
        let mut actions = std::mem::take(&mut self.actions);
        actions.clear();
        let ran = self.instances.get_mut(id).map(|instance| {
            catch_unwind(AssertUnwindSafe(|| {
                instance.controller.handle(now, event, &mut actions)
            }))
        });
        if let Some(Err(panic)) = ran {
            let text = panic
                .downcast_ref::<String>()
                .map(String::as_str)
                .or_else(|| panic.downcast_ref::<&str>().copied())
                .unwrap_or("panic");
            self.write(&Out::Fault {
                gateway_id: id,
                text,
            })?;
        } else {
            for action in &actions {
                self.write(&Out::new(id, action))?;
            }
        }
        self.actions = actions;
        Ok(())
    }
}

fn run(mut input: impl BufRead, output: impl Write) -> Result<(), String> {
    let mut host = Host {
        now: None,
        instances: HashMap::new(),
        tables: BTreeMap::new(),
        reply: vec![],
        actions: vec![],
        output,
    };
    let mut line = String::new();
    for number in 1u64.. {
        line.clear();
        let read = input
            .read_line(&mut line)
            .map_err(|e| format!("line {number}: {e}"))?;
        if read == 0 {
            return match host.now {
                None => Ok(()),
                Some(_) => Err(format!("line {number}: input ends inside a batch")),
            };
        }
        if !line.trim().is_empty() {
            host.line(&line)
                .map_err(|e| format!("line {number}: {e}"))?;
        }
    }
    Ok(())
}

fn main() {
    // A panic of the module becomes its instance's fault; standard error keeps its one plain line.
    std::panic::set_hook(Box::new(|_| {}));
    if let Err(e) = run(std::io::stdin().lock(), std::io::stdout().lock()) {
        eprintln!("hitchwinch-simhost: {e}");
        std::process::exit(1);
    }
}
