//! Two toy engines that speak MySQL, for trying the dispatcher: each takes every statement, takes its time
//! over it and answers with its own name and the statement. `cargo run --example toy`, then
//! `hitchwinch --mysql examples/toy/toy.toml`.

use futures_util::SinkExt;
use hitchwinch::net::mysql::packet::*;
use hitchwinch::net::mysql::{SqlError, auth, code};
use std::collections::HashMap;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_stream::StreamExt;
use tokio_util::codec::Framed;

const WORK: Duration = Duration::from_millis(50);

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let first = TcpListener::bind("127.0.0.1:4001").await?;
    let second = TcpListener::bind("127.0.0.1:4002").await?;
    println!("toy engines listen on 127.0.0.1:4001 and 127.0.0.1:4002");
    loop {
        let (name, (tcp, _)) = tokio::select! {
            tcp = first.accept() => ("engine-1", tcp?),
            tcp = second.accept() => ("engine-2", tcp?),
        };
        tokio::spawn(async move {
            if let Err(e) = session(name, tcp).await {
                println!("{name}: {e}");
            }
        });
    }
}

fn text(s: &str) -> Vec<u8> {
    let mut p = vec![];
    put_lenenc(&mut p, s.len() as u64);
    p.extend(s.bytes());
    p
}

fn column(name: &str) -> Vec<u8> {
    let words: Vec<u8> = ["def", "", "", "", name, name].into_iter().flat_map(text).collect();
    [&words[..], &[0x0c, UTF8, 0, 0, 1, 0, 0, 0xfd, 0, 0, 0, 0, 0]].concat()
}

async fn session(name: &str, tcp: TcpStream) -> Result<(), PacketError> {
    let mut wire = Framed::new(tcp, PacketCodec { most: 1 << 20, sequence: 0 });
    let nonce = b"a toy needs no secret".iter().take(20).copied().collect();
    let greeting = Greeting { connection: 1, nonce, plugin: auth::NATIVE.into(), capabilities: CAPABILITIES };
    wire.send(&greeting.write("8.0.0-toy")[..]).await?;
    let Some(login) = wire.next().await else { return Ok(()) };
    let login = Login::read(login?)?;
    if !auth::proves(&login.plugin, "toy", &greeting.nonce, &login.auth) {
        return wire.send(&err(&SqlError::new(code::ACCESS, "the toys' password is `toy`"))[..]).await;
    }
    wire.send(&ok()[..]).await?;
    let mut statements: HashMap<u32, String> = HashMap::new();
    let eof: &[u8] = &[0xfe, 0, 0, 2, 0];
    loop {
        wire.codec_mut().sequence = 0;
        let Some(command) = wire.next().await else { return Ok(()) };
        let command = command?;
        let Some((&kind, body)) = command.split_first() else { return Ok(()) };
        let said = String::from_utf8_lossy(body).into_owned();
        let id = Reader(command.slice(1..)).u32().unwrap_or(0);
        let (sql, binary) = match kind {
            QUIT => return Ok(()),
            // What sets something, or kills, brings no rows.
            QUERY if said.starts_with("SET ") || said.starts_with("KILL ") => {
                wire.send(&ok()[..]).await?;
                continue;
            }
            QUERY => (said, false),
            STMT_EXECUTE => (statements.get(&id).cloned().unwrap_or_default(), true),
            STMT_PREPARE => {
                let id = statements.len() as u32 + 1;
                let parameters = said.matches('?').count() as u8;
                let head = [&[0][..], &id.to_le_bytes(), &[2, 0, parameters, 0, 0, 0, 0]].concat();
                wire.feed(&head[..]).await?;
                for _ in 0..parameters {
                    wire.feed(&column("?")[..]).await?;
                }
                if parameters > 0 {
                    wire.feed(eof).await?;
                }
                wire.feed(&column("engine")[..]).await?;
                wire.feed(&column("statement")[..]).await?;
                wire.send(eof).await?;
                statements.insert(id, said);
                continue;
            }
            STMT_CLOSE | STMT_SEND_LONG_DATA => continue,
            _ => {
                wire.send(&ok()[..]).await?;
                continue;
            }
        };
        println!("{name} runs {sql}");
        tokio::time::sleep(WORK).await;
        let head: &[u8] = if binary { &[0, 0] } else { &[] };
        let row = [head, &text(name), &text(&sql)].concat();
        for p in [&[2][..], &column("engine"), &column("statement"), eof, &row, eof] {
            wire.feed(p).await?;
        }
        SinkExt::<&[u8]>::flush(&mut wire).await?;
    }
}
