//! Clients of the soak: some use a connection until it ends, others connect in a burst and stay idle.

use super::*;

impl SoakRun {
    /// Runs one client, which opens a new connection whenever the previous one has ended.
    pub(super) async fn client(self: Rc<Self>, node: Rc<Node>, mut random: Stream) {
        while !self.is_finished.get() {
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
            // Closes it while requests may be open.
            0 => connection.close().await,
            1 => {
                let malformed = crate::platform::clients::encode_frame(kind::REQUEST, 0, &[9]);
                let _ = connection.send_raw(&malformed).await;
                connection.wait_until_idle(MAX_DEADLINE * 2).await;
                connection.close().await;
            }
            _ => {
                connection.wait_until_idle(MAX_DEADLINE * 2).await;
                connection.close().await;
            }
        }
    }

    async fn send(&self, connection: &Rc<Connection>, random: &mut Stream) -> std::io::Result<()> {
        let (class, max_deadline) = match random.below(10) {
            0 => ("load", MAX_DEADLINE),
            1..=3 => ("ledger", Duration::from_millis(1200)),
            _ => ("lookup", Duration::from_millis(800)),
        };
        let deadline_share = if random.chance(0.1) {
            0.02
        } else {
            random.between(0.2, 1.0)
        };
        let id = format!("{:016x}", random.bits());
        let stream = connection
            .send(&id, class, max_deadline.mul_f64(deadline_share))
            .await?;
        if random.chance(0.1) {
            let cancel_delay = Duration::from_millis(random.below(150) as u64);
            let connection = connection.clone();
            spawn_local(async move {
                tokio::time::sleep(cancel_delay).await;
                let _ = connection.cancel(stream).await;
            });
        }
        Ok(())
    }

    /// Opens many idle connections to one dispatcher at once and holds them for 500 ms.
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
            self.count_fault("crowd");
            let mut crowd = vec![];
            for _ in 0..self.scale.crowd {
                crowd.extend(tokio::net::TcpStream::connect(target.address).await.ok());
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    }
}
