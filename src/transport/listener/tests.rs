use super::*;
use std::os::fd::AsRawFd;

#[test]
fn inherited_descriptor_is_used_only_if_it_listens_on_the_address() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let held = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let (at, number) = (held.local_addr().unwrap(), held.as_raw_fd());
        let inherited = listen(at, Some(number)).await.unwrap();
        let client = tokio::net::TcpStream::connect(at);
        assert!(tokio::join!(client, inherited.accept()).1.is_ok());
        drop(inherited);
        assert!(
            std::net::TcpStream::connect(at).is_ok(),
            "the socket still listens for the other processes"
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
fn rejected_pidfd_getfd_binds_the_address_and_an_address_in_use_reports_both_errors() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let errno =
            |e: rustix::io::Errno| move |_| Err(io::Error::from_raw_os_error(e.raw_os_error()));
        let free = "127.0.0.1:0".parse().unwrap();
        let bound = listen_with(free, Some(7), errno(rustix::io::Errno::NOSYS))
            .await
            .unwrap();
        let at = bound.local_addr().unwrap();
        assert!(
            tokio::join!(tokio::net::TcpStream::connect(at), bound.accept())
                .1
                .is_ok(),
            "the bound socket accepts connections"
        );
        let held = listen_with(at, Some(7), errno(rustix::io::Errno::PERM)).await;
        match held {
            Err(ListenError::Fallback(7, first, address, second)) => {
                assert_eq!(
                    (first.raw_os_error(), address),
                    (Some(rustix::io::Errno::PERM.raw_os_error()), at)
                );
                assert_eq!(second.kind(), io::ErrorKind::AddrInUse);
            }
            other => panic!("{other:?}"),
        }
        let wrong = listen_with(free, Some(7), errno(rustix::io::Errno::BADF)).await;
        assert!(
            matches!(wrong, Err(ListenError::Descriptor(7, _))),
            "an invalid descriptor must not lead to binding the address"
        );
    });
}

#[test]
fn only_a_rejected_system_call_leads_to_the_fallback() {
    let code = |errno: rustix::io::Errno| io::Error::from_raw_os_error(errno.raw_os_error());
    assert!(
        is_call_rejected(&code(rustix::io::Errno::NOSYS)),
        "the error that the fleet bench's filter returns"
    );
    assert!(is_call_rejected(&code(rustix::io::Errno::PERM)));
    assert!(
        !is_call_rejected(&code(rustix::io::Errno::BADF)),
        "an invalid descriptor is an error of the operator"
    );
    assert!(!is_call_rejected(&io::Error::other("no number")));
}

/// Guards against a short listen queue: clients that find it full connect a second later, at their
/// second attempt.
#[test]
fn burst_of_clients_fits_into_the_listen_queue() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let listener = listen("127.0.0.1:0".parse().unwrap(), None).await.unwrap();
        let at = listener.local_addr().unwrap();
        let limit = std::fs::read_to_string("/proc/sys/net/core/somaxconn").unwrap();
        let burst = limit
            .trim()
            .parse()
            .unwrap_or(LISTEN_BACKLOG as usize)
            .min(300);
        let wait = std::time::Duration::from_millis(500);
        let all: Vec<_> = (0..burst)
            .map(|_| std::net::TcpStream::connect_timeout(&at, wait))
            .collect();
        assert!(all.iter().all(Result::is_ok), "{burst} connections at once");
    });
}
