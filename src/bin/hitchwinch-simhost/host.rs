//! Host of all dispatcher instances: handles the simulator's lines and replies to each batch.

use crate::error::HostError;
use crate::instance::Instance;
use crate::wire::{
    AttemptEndedMessage, EndpointListMessage, Input, InstanceId, ListedEngine, Output, PeerMessage,
    ProgressMessage, QueryMessage,
};
use query_dispatcher::{Event, Millis};
use std::collections::{BTreeMap, HashMap};
use std::io::Write;

/// Host of all instances; writes replies to `W`.
pub(crate) struct Host<W> {
    /// Simulated time of the open batch, in milliseconds; `None` between batches.
    batch_time: Option<Millis>,
    instances: HashMap<InstanceId, Instance>,
    /// Engine lists by the number that the simulator assigned.
    lists: BTreeMap<u64, Vec<ListedEngine>>,
    replies: Replies<W>,
}

/// Buffer of replies, which are written when their batch is complete.
struct Replies<W> {
    buffer: Vec<u8>,
    writer: W,
}

impl<W: Write> Replies<W> {
    fn push(&mut self, reply: &Output) -> Result<(), HostError> {
        serde_json::to_writer(&mut self.buffer, reply)?;
        self.buffer.push(b'\n');
        Ok(())
    }

    fn flush(&mut self) -> Result<(), HostError> {
        self.writer.write_all(&self.buffer)?;
        self.writer.flush()?;
        self.buffer.clear();
        Ok(())
    }
}

impl<W: Write> Host<W> {
    pub(crate) fn new(writer: W) -> Self {
        let buffer = vec![];
        Host {
            batch_time: None,
            instances: HashMap::new(),
            lists: BTreeMap::new(),
            replies: Replies { buffer, writer },
        }
    }

    /// Returns whether a batch has begun and not yet ended.
    pub(crate) fn is_inside_batch(&self) -> bool {
        self.batch_time.is_some()
    }

    /// Handles one line from the simulator.
    pub(crate) fn handle_line(&mut self, line: &str) -> Result<(), HostError> {
        match (serde_json::from_str(line)?, self.batch_time) {
            (Input::BeginBatch { time }, None) => {
                self.batch_time = Some(time);
                Ok(())
            }
            (Input::BeginBatch { .. }, Some(_)) => Err(HostError::NestedBatch),
            (_, None) => Err(HostError::OutsideBatch),
            (Input::Commit, Some(_)) => {
                self.batch_time = None;
                self.replies.push(&Output::End)?;
                self.replies.flush()
            }
            (input, Some(now)) => self.handle_input(now, input),
        }
    }

    fn handle_input(&mut self, now: Millis, input: Input) -> Result<(), HostError> {
        match input {
            Input::BeginBatch { .. } | Input::Commit => Ok(()),
            Input::DefineList { list, engines } => {
                self.lists.insert(list, engines);
                Ok(())
            }
            Input::Provision {
                instance,
                seed,
                settings,
            } => {
                let provisioned = Instance::new(*settings, seed)?;
                self.instances.insert(instance, provisioned);
                Ok(())
            }
            Input::Killed { instance } => {
                self.instance(&instance)?;
                self.instances.remove(&instance);
                Ok(())
            }
            Input::EndpointList(message) => self.handle_list(now, &message),
            Input::Query(message) => self.handle_query(now, message),
            Input::AttemptEnded(message) => self.handle_attempt_ended(now, message),
            Input::Progress(message) => self.handle_progress(now, &message),
            Input::Peer(message) => self.handle_peer_message(now, &message),
            Input::EngineReport(message) => {
                let instance = message.instance.clone();
                self.handle_event(now, &instance, message.event())
            }
            Input::ClientDisconnected { instance, query } => {
                self.handle_event(now, &instance, Event::ClientDisconnected(query.into()))
            }
            Input::Timer { instance, token } => {
                self.handle_event(now, &instance, Event::Timer(token))
            }
            Input::Streaming {
                instance,
                query,
                attempt,
            } => {
                let id = query.into();
                self.handle_event(now, &instance, Event::Streaming { id, attempt })
            }
        }
    }

    fn handle_list(&mut self, now: Millis, message: &EndpointListMessage) -> Result<(), HostError> {
        let engines: &[ListedEngine] = match message.list()? {
            Some(list) => match self.lists.get(&list) {
                Some(engines) => engines,
                None => return Err(HostError::UnknownList { list }),
            },
            None => &[],
        };
        let names = self.instance(&message.instance)?.names();
        let event = message.event(names, engines);
        self.handle_event(now, &message.instance, event)
    }

    fn handle_query(&mut self, now: Millis, message: QueryMessage) -> Result<(), HostError> {
        let instance = message.instance.clone();
        let event = message.event(self.instance(&instance)?.names())?;
        self.handle_event(now, &instance, event)
    }

    /// Handles the end of an attempt, and sends the load report of its answer to the other instances.
    fn handle_attempt_ended(
        &mut self,
        now: Millis,
        message: AttemptEndedMessage,
    ) -> Result<(), HostError> {
        let id = message.instance.clone();
        let instance = instance_mut(&mut self.instances, &id)?;
        let engine = message.engine.as_deref();
        let content =
            engine.and_then(|engine| instance.peer_message(now, engine, message.report()));
        if let Some(content) = content {
            self.replies.push(&Output::PeerMessage {
                instance: &id,
                content: &content,
            })?;
        }
        let event = message.event(instance.names());
        self.handle_event(now, &id, event)
    }

    fn handle_progress(&mut self, now: Millis, message: &ProgressMessage) -> Result<(), HostError> {
        self.instance(&message.instance)?;
        match message.event() {
            Some(event) => self.handle_event(now, &message.instance, event),
            None => Ok(()),
        }
    }

    fn handle_peer_message(&mut self, now: Millis, message: &PeerMessage) -> Result<(), HostError> {
        let instance = instance_mut(&mut self.instances, &message.instance)?;
        match instance.peer_event(now, message.sender, message.content.as_bytes()) {
            Some(event) => self.handle_event(now, &message.instance, event),
            None => Ok(()),
        }
    }

    fn handle_event(&mut self, now: Millis, id: &str, event: Event) -> Result<(), HostError> {
        match instance_mut(&mut self.instances, id)?.handle(now, event) {
            Ok(actions) => {
                for action in actions {
                    self.replies.push(&Output::from_action(id, action))?;
                }
                Ok(())
            }
            Err(panic) => self.replies.push(&Output::Fault {
                instance: id,
                text: &panic,
            }),
        }
    }

    fn instance(&self, id: &str) -> Result<&Instance, HostError> {
        self.instances.get(id).ok_or_else(|| unknown_instance(id))
    }
}

/// Returns the instance named `id`. Borrows only the map, so that replies can be written at the same time.
fn instance_mut<'a>(
    instances: &'a mut HashMap<InstanceId, Instance>,
    id: &str,
) -> Result<&'a mut Instance, HostError> {
    instances.get_mut(id).ok_or_else(|| unknown_instance(id))
}

fn unknown_instance(id: &str) -> HostError {
    HostError::UnknownInstance {
        instance: id.to_string(),
    }
}
