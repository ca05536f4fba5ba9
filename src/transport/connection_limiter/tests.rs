use super::*;

#[test]
fn at_the_bound_the_silent_give_way_then_the_longest_idle_and_never_the_busy() {
    let (limiter, now) = (ConnectionLimiter::new(3, Activity::Idle), Instant::now());
    let at = |s| now + Duration::from_secs(s);
    let three: Vec<PermitGuard> = (0..3)
        .map(|s| limiter.try_acquire(at(s)).unwrap())
        .collect();
    three[0].set_activity(Activity::Idle, at(5));
    three[1].set_activity(Activity::Idle, at(4));
    let cut = |p: &PermitGuard| {
        use futures_util::FutureExt;
        p.eviction.notified().now_or_never().is_some()
    };
    let fourth = limiter.try_acquire(at(6)).unwrap();
    assert!(cut(&three[2]), "never asked anything");
    fourth.set_activity(Activity::Busy, at(6));
    let fifth = limiter.try_acquire(at(7)).unwrap();
    assert!(cut(&three[1]) && !cut(&three[0]), "idle for longest");
    fifth.set_activity(Activity::Busy, at(7));
    three[0].set_activity(Activity::Busy, at(8));
    assert!(limiter.try_acquire(at(9)).is_none(), "all are busy");
    drop(fourth);
    let sixth = limiter.try_acquire(at(9)).unwrap();
    sixth.set_activity(Activity::Probed, at(10));
    drop(fifth);
    let young = limiter.try_acquire(at(11)).unwrap();
    let _seventh = limiter.try_acquire(at(12)).unwrap();
    assert!(cut(&sixth) && !cut(&young), "older, and no more than asked");
}

/// Guards against a connection that is taken off the queue, has no permit, and is lost when accepting ends.
#[test]
fn without_a_place_a_connection_stays_in_the_queue_for_others() {
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
            _ = limiter.accept(&here) => panic!("there is no permit"),
            taken = other.accept() => assert!(taken.is_ok()),
        }
        let _c = TcpStream::connect(at).await.unwrap();
        let (free, accepted) = (async { drop(busy) }, limiter.accept(&here));
        assert!(
            tokio::join!(free, accepted).1.is_ok(),
            "once a place is free"
        );
    });
}

/// Guards against clients that hold more descriptors than their share: what has to go counts until it has gone.
#[test]
fn one_that_goes_holds_its_place_until_it_has_gone_and_another_is_told_beside_it() {
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
            "it has not gone"
        );
        let told = taken
            .iter()
            .filter(|t| t.1.evicted_at.get().is_some())
            .count();
        assert_eq!(
            (told, limiter.permits.borrow().len()),
            (1, 2),
            "one is told, and holds its permit"
        );
        assert!(
            tokio::time::timeout(2 * EVICTION_GRACE, limiter.accept(&listener))
                .await
                .is_err()
        );
        assert!(
            taken.iter().all(|t| t.1.evicted_at.get().is_some()),
            "the other is told as well"
        );
        drop(taken.pop());
        let (tcp, permit) = limiter.accept(&listener).await.unwrap();
        assert_eq!(
            tcp.peer_addr().unwrap(),
            clients[2].local_addr().unwrap(),
            "it kept its turn"
        );
        permit.set_activity(Activity::Busy, Instant::now());
        assert!(
            tokio::time::timeout(soon, limiter.accept(&listener))
                .await
                .is_err()
        );
        assert!(
            limiter.take_pending_accept().is_some(),
            "the last was accepted, and is served at the end"
        );
    });
}

/// A lower bound, and the place of one that has asked nothing whole: it ends though its client has begun a frame.
#[test]
fn a_lower_bound_is_kept_at_once_and_only_the_silent_are_not_waited_for() {
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
        let told: Vec<_> = four.iter().map(|p| p.evicted_at.get().is_some()).collect();
        assert_eq!(told, [false, true, true, true]);
        let soon = Duration::from_millis(20);
        assert!(
            tokio::time::timeout(soon, four[2].evicted_before_request())
                .await
                .is_ok(),
            "silent"
        );
        assert!(
            tokio::time::timeout(soon, four[1].evicted_before_request())
                .await
                .is_err(),
            "it may owe something"
        );
    });
}
