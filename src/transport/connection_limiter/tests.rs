use super::*;

#[test]
fn eviction_prefers_clients_without_requests_then_the_longest_idle_and_never_busy_ones() {
    let (limiter, now) = (ConnectionLimiter::new(3, Activity::Idle), Instant::now());
    let at = |s| now + Duration::from_secs(s);
    let three: Vec<PermitGuard> = (0..3)
        .map(|s| limiter.try_acquire(at(s)).unwrap())
        .collect();
    three[0].set_activity(Activity::Idle, at(5));
    three[1].set_activity(Activity::Idle, at(4));
    let notified = |p: &PermitGuard| {
        use futures_util::FutureExt;
        p.eviction.notified().now_or_never().is_some()
    };
    let fourth = limiter.try_acquire(at(6)).unwrap();
    assert!(notified(&three[2]), "the client has sent no request");
    fourth.set_activity(Activity::Busy, at(6));
    let fifth = limiter.try_acquire(at(7)).unwrap();
    assert!(
        notified(&three[1]) && !notified(&three[0]),
        "the connection has been idle for longest"
    );
    fifth.set_activity(Activity::Busy, at(7));
    three[0].set_activity(Activity::Busy, at(8));
    assert!(
        limiter.try_acquire(at(9)).is_none(),
        "all connections are busy"
    );
    drop(fourth);
    let sixth = limiter.try_acquire(at(9)).unwrap();
    sixth.set_activity(Activity::Probed, at(10));
    drop(fifth);
    let younger = limiter.try_acquire(at(11)).unwrap();
    let _seventh = limiter.try_acquire(at(12)).unwrap();
    assert!(
        notified(&sixth) && !notified(&younger),
        "the older of two clients without a request is evicted, although it has probed"
    );
}

/// Guards against a connection that is accepted without a permit and lost when the listener closes.
#[test]
fn connection_without_a_permit_stays_in_the_listen_queue_for_other_processes() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let here = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        here.set_nonblocking(true).unwrap();
        let other = TcpListener::from_std(here.try_clone().unwrap()).unwrap();
        let here = TcpListener::from_std(here).unwrap();
        let limiter = ConnectionLimiter::new(1, Activity::Idle);
        let at = here.local_addr().unwrap();
        let _a = TcpStream::connect(at).await.unwrap();
        let (_, busy) = limiter.accept(&here).await.unwrap();
        busy.set_activity(Activity::Busy, Instant::now());
        let _b = TcpStream::connect(at).await.unwrap();
        tokio::select! {
            _ = limiter.accept(&here) => panic!("accepted without a permit"),
            taken = other.accept() => assert!(taken.is_ok()),
        }
        let _c = TcpStream::connect(at).await.unwrap();
        let (free, accepted) = (async { drop(busy) }, limiter.accept(&here));
        assert!(
            tokio::join!(free, accepted).1.is_ok(),
            "accepted once a permit is free"
        );
    });
}

/// Guards against clients that hold more descriptors than their budget: an evicted connection
/// counts until it closes.
#[test]
fn evicted_connection_holds_its_permit_until_it_closes_and_a_second_one_is_evicted_meanwhile() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (limiter, at) = (
            ConnectionLimiter::new(2, Activity::Idle),
            listener.local_addr().unwrap(),
        );
        let mut clients = vec![];
        let mut taken = vec![];
        for _ in 0..2 {
            clients.push(TcpStream::connect(at).await.unwrap());
            taken.push(limiter.accept(&listener).await.unwrap());
        }
        taken
            .iter()
            .for_each(|(_, permit)| permit.set_activity(Activity::Idle, Instant::now()));
        clients.push(TcpStream::connect(at).await.unwrap());
        clients.push(TcpStream::connect(at).await.unwrap());
        let soon = Duration::from_millis(20);
        assert!(
            tokio::time::timeout(soon, limiter.accept(&listener))
                .await
                .is_err(),
            "the evicted connection has not closed"
        );
        let evicted = taken
            .iter()
            .filter(|t| t.1.evicted_at.get().is_some())
            .count();
        assert_eq!(
            (evicted, limiter.permits.borrow().len()),
            (1, 2),
            "one connection is evicted and still holds its permit"
        );
        assert!(
            tokio::time::timeout(2 * EVICTION_GRACE, limiter.accept(&listener))
                .await
                .is_err()
        );
        assert!(
            taken.iter().all(|t| t.1.evicted_at.get().is_some()),
            "the other connection is evicted as well"
        );
        drop(taken.pop());
        let (tcp, permit) = limiter.accept(&listener).await.unwrap();
        assert_eq!(
            tcp.peer_addr().unwrap(),
            clients[2].local_addr().unwrap(),
            "clients are served in the order of their arrival"
        );
        permit.set_activity(Activity::Busy, Instant::now());
        assert!(
            tokio::time::timeout(soon, limiter.accept(&listener))
                .await
                .is_err()
        );
        assert!(
            limiter.take_pending_accept().is_some(),
            "the last connection was accepted and is available at shutdown"
        );
    });
}

/// A lowered limit evicts at once, and a connection without a complete request closes even if a
/// frame has begun.
#[test]
fn lowered_limit_evicts_at_once_and_only_clients_without_requests_close_immediately() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let (limiter, now) = (ConnectionLimiter::new(4, Activity::Idle), Instant::now());
        let four: Vec<PermitGuard> = (0..4).map(|_| limiter.try_acquire(now).unwrap()).collect();
        four[0].set_activity(Activity::Busy, now);
        four[1].set_activity(Activity::Idle, now);
        limiter.set_limit(1);
        let evicted: Vec<_> = four.iter().map(|p| p.evicted_at.get().is_some()).collect();
        assert_eq!(evicted, [false, true, true, true]);
        let soon = Duration::from_millis(20);
        assert!(
            tokio::time::timeout(soon, four[2].evicted_before_request())
                .await
                .is_ok(),
            "a client without a request is not awaited"
        );
        assert!(
            tokio::time::timeout(soon, four[1].evicted_before_request())
                .await
                .is_err(),
            "an idle client may have a pending answer"
        );
    });
}
