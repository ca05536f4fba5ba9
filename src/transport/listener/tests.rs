use super::*;
use std::os::fd::AsRawFd;

#[test]
fn an_inherited_socket_is_taken_only_if_it_is_the_one() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let held = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let (at, number) = (held.local_addr().unwrap(), held.as_raw_fd());
        let taken = listen(at, Some(number)).await.unwrap();
        let client = tokio::net::TcpStream::connect(at);
        assert!(tokio::join!(client, taken.accept()).1.is_ok());
        drop(taken);
        assert!(
            std::net::TcpStream::connect(at).is_ok(),
            "it still listens for the others"
        );
        let other = "127.0.0.1:1".parse().unwrap();
        assert!(matches!(
            listen(other, Some(number)).await,
            Err(ListenError::Address(..))
        ));
        let client = std::net::TcpStream::connect(at).unwrap();
        let wrong = listen(at, Some(client.as_raw_fd())).await;
        assert!(matches!(wrong, Err(ListenError::NoListener(_))));
        assert!(matches!(
            listen(at, Some(9999)).await,
            Err(ListenError::Descriptor(..))
        ));
    });
}

#[test]
fn a_refused_pidfd_getfd_binds_the_address_and_a_held_one_names_both_errors() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let errno =
            |e: rustix::io::Errno| move |_| Err(io::Error::from_raw_os_error(e.raw_os_error()));
        let free = "127.0.0.1:0".parse().unwrap();
        let bound = listen_taking(free, Some(7), errno(rustix::io::Errno::NOSYS))
            .await
            .unwrap();
        let at = bound.local_addr().unwrap();
        assert!(
            tokio::join!(tokio::net::TcpStream::connect(at), bound.accept())
                .1
                .is_ok(),
            "it serves"
        );
        let held = listen_taking(at, Some(7), errno(rustix::io::Errno::PERM)).await;
        match held {
            Err(ListenError::Fallback(7, first, told, second)) => {
                assert_eq!(
                    (first.raw_os_error(), told),
                    (Some(rustix::io::Errno::PERM.raw_os_error()), at)
                );
                assert_eq!(second.kind(), io::ErrorKind::AddrInUse);
            }
            other => panic!("{other:?}"),
        }
        let wrong = listen_taking(free, Some(7), errno(rustix::io::Errno::BADF)).await;
        assert!(
            matches!(wrong, Err(ListenError::Descriptor(7, _))),
            "a wrong number is no reason to bind"
        );
    });
}

#[test]
fn only_a_refused_call_falls_back() {
    let code = |errno: rustix::io::Errno| io::Error::from_raw_os_error(errno.raw_os_error());
    assert!(
        refused(&code(rustix::io::Errno::NOSYS)),
        "what the fleet bench's filter answers"
    );
    assert!(refused(&code(rustix::io::Errno::PERM)));
    assert!(
        !refused(&code(rustix::io::Errno::BADF)),
        "a wrong number is the operator's to mend"
    );
    assert!(!refused(&io::Error::other("no number")));
}

/// Each would otherwise be let in a second later, by its second try.
#[test]
fn a_crowd_finds_room_in_the_queue_before_any_is_accepted() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let listener = listen("127.0.0.1:0".parse().unwrap(), None).await.unwrap();
        let at = listener.local_addr().unwrap();
        let most = std::fs::read_to_string("/proc/sys/net/core/somaxconn").unwrap();
        let crowd = most.trim().parse().unwrap_or(QUEUE as usize).min(300);
        let wait = std::time::Duration::from_millis(500);
        let all: Vec<_> = (0..crowd)
            .map(|_| std::net::TcpStream::connect_timeout(&at, wait))
            .collect();
        assert!(all.iter().all(Result::is_ok), "{crowd} at once");
    });
}
