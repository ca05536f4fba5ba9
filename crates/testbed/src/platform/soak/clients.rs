//! The clients of the soak: they use a connection for as long as their dispatcher does, and some come in a crowd.

use super::*;

impl World {
    /// One client: it keeps a connection for as long as the dispatcher does.
    pub(super) async fn client(self: Rc<Self>, node: Rc<Node>, mut random: Stream) {
        while !self.is_over.get() {
            let connection = match Self::target(&node) {
                Some(target) => Connection::open(target, &self.log).await.ok(),
                None => None,
            };
            if let Some(connection) = connection {
                self.use_connection(&connection, &mut random).await;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn use_connection(&self, connection: &Rc<Connection>, random: &mut Stream) {
        let requests = 1 + random.below(60);
        for _ in 0..requests {
            let pause = random.exponential(self.scale.think_time_ms).min(1500.0);
            tokio::time::sleep(Duration::from_secs_f64(pause / 1000.0)).await;
            let burst = if random.chance(0.05) { 8 } else { 1 };
            for _ in 0..burst {
                if connection.has_ended() || connection.open_requests() >= 30 {
                    break;
                }
                if self.send(connection, random).await.is_err() {
                    return;
                }
            }
            if connection.has_ended() {
                return;
            }
        }
        match random.below(4) {
            // With whatever is open on it.
            0 => connection.close().await,
            1 => {
                let garbage = crate::platform::clients::encode_frame(kind::REQUEST, 0, &[9]);
                let _ = connection.send_raw(&garbage).await;
                connection.until_idle(LONGEST_DEADLINE * 2).await;
                connection.close().await;
            }
            _ => {
                connection.until_idle(LONGEST_DEADLINE * 2).await;
                connection.close().await;
            }
        }
    }

    async fn send(&self, connection: &Rc<Connection>, random: &mut Stream) -> std::io::Result<()> {
        let (class, longest) = match random.below(10) {
            0 => ("load", LONGEST_DEADLINE),
            1..=3 => ("ledger", Duration::from_millis(1200)),
            _ => ("lookup", Duration::from_millis(800)),
        };
        let part = if random.chance(0.1) {
            0.02
        } else {
            random.between(0.2, 1.0)
        };
        let id = format!("{:016x}", random.bits());
        let stream = connection.send(&id, class, longest.mul_f64(part)).await?;
        if random.chance(0.1) {
            let patience = Duration::from_millis(random.below(150) as u64);
            let connection = connection.clone();
            spawn_local(async move {
                tokio::time::sleep(patience).await;
                let _ = connection.cancel(stream).await;
            });
        }
        Ok(())
    }

    /// Idle clients come in a crowd and stay for a while.
    pub(super) async fn crowds(self: Rc<Self>, mut random: Stream) {
        if self.scale.crowd == 0 {
            return;
        }
        loop {
            random.pause(2000.0).await;
            let node = &self.nodes[random.below(self.nodes.len())];
            let Some(target) = Self::target(node) else {
                continue;
            };
            self.count("crowd");
            let mut crowd = vec![];
            for _ in 0..self.scale.crowd {
                crowd.extend(tokio::net::TcpStream::connect(target.address).await.ok());
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    }
}
