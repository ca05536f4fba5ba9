use super::*;
use std::time::Duration;

#[test]
fn at_the_bound_the_silent_give_way_then_the_longest_idle_and_never_the_busy() {
    let (places, now) = (Places::new(3, Use::Idle), Instant::now());
    let at = |s| now + Duration::from_secs(s);
    let three: Vec<Taken> = (0..3).map(|s| places.take(at(s)).unwrap()).collect();
    three[0].uses(Use::Idle, at(5));
    three[1].uses(Use::Idle, at(4));
    let cut = |p: &Taken| {
        use futures_util::FutureExt;
        p.cut.notified().now_or_never().is_some()
    };
    let fourth = places.take(at(6)).unwrap();
    assert!(cut(&three[2]), "never asked anything");
    fourth.uses(Use::Busy, at(6));
    let fifth = places.take(at(7)).unwrap();
    assert!(cut(&three[1]) && !cut(&three[0]), "idle for longest");
    fifth.uses(Use::Busy, at(7));
    three[0].uses(Use::Busy, at(8));
    assert!(places.take(at(9)).is_none(), "all are busy");
    drop(fourth);
    let sixth = places.take(at(9)).unwrap();
    sixth.uses(Use::Asked, at(10));
    drop(fifth);
    let young = places.take(at(11)).unwrap();
    let _seventh = places.take(at(12)).unwrap();
    assert!(cut(&sixth) && !cut(&young), "older, and no more than asked");
}

/// Guards against a connection that is taken off the queue, has no place, and is lost when accepting ends.
#[test]
fn without_a_place_a_connection_stays_in_the_queue_for_others() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let here = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        here.set_nonblocking(true).unwrap();
        let other = TcpListener::from_std(here.try_clone().unwrap()).unwrap();
        let here = TcpListener::from_std(here).unwrap();
        let places = Places::new(1, Use::Idle);
        let at = here.local_addr().unwrap();
        let _a = TcpStream::connect(at).await.unwrap();
        let (_, busy) = places.accept(&here).await.unwrap();
        busy.uses(Use::Busy, Instant::now());
        let _b = TcpStream::connect(at).await.unwrap();
        tokio::select! {
            _ = places.accept(&here) => panic!("there is no place"),
            taken = other.accept() => assert!(taken.is_ok()),
        }
        let _c = TcpStream::connect(at).await.unwrap();
        let (free, accepted) = (async { drop(busy) }, places.accept(&here));
        assert!(tokio::join!(free, accepted).1.is_ok(), "once a place is free");
    });
}
