//! TLS of the MySQL frontend, tested on the program itself: server names, client certificates, key
//! rotation and stalled handshakes. The tests act as their own certificate authority.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use testbed::clients::mysql::{Session, SessionOptions, error};
use testbed::fakes::engine::Engine;
use testbed::fixture;
use testbed::program::{Folder, Program};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_rustls::rustls::crypto::ring;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::{ClientConfig, RootCertStore, version};

fn run(test: impl Future<Output = ()>) {
    fixture::run_within(Duration::from_secs(60), test);
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// A certificate authority that signs the certificates of one test.
struct Authority {
    issuer: Issuer<'static, KeyPair>,
    pem: String,
}

impl Authority {
    fn new() -> Self {
        let mut params = CertificateParams::new(vec![]).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        let pem = params.self_signed(&key).unwrap().pem();
        Authority {
            issuer: Issuer::new(params, key),
            pem,
        }
    }

    /// Issues a certificate, and returns it with its private key in PEM form.
    fn issue(&self, hosts: &[&str], name: &str, until: (i32, u8, u8)) -> (String, String) {
        let hosts: Vec<String> = hosts.iter().map(|h| (*h).to_string()).collect();
        let mut params = CertificateParams::new(hosts).unwrap();
        params.distinguished_name.push(DnType::CommonName, name);
        params.not_before = rcgen::date_time_ymd(2020, 1, 1);
        params.not_after = rcgen::date_time_ymd(until.0, until.1, until.2);
        let key = KeyPair::generate().unwrap();
        let cert = params.signed_by(&key, &self.issuer).unwrap();
        (cert.pem(), key.serialize_pem())
    }

    /// Returns the configuration of a client that trusts this authority: TLS 1.2 if `old`, else
    /// 1.3, with the certificate and key `own`, if given.
    fn client(&self, old: bool, own: Option<&(String, String)>) -> Arc<ClientConfig> {
        let mut roots = RootCertStore::empty();
        roots
            .add(CertificateDer::from_pem_slice(self.pem.as_bytes()).unwrap())
            .unwrap();
        let versions = if old {
            vec![&version::TLS12]
        } else {
            vec![&version::TLS13]
        };
        let builder = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_protocol_versions(&versions)
            .unwrap()
            .with_root_certificates(roots);
        Arc::new(match own {
            None => builder.with_no_client_auth(),
            Some((cert, key)) => {
                let chain = vec![CertificateDer::from_pem_slice(cert.as_bytes()).unwrap()];
                let key = PrivateKeyDer::from_pem_slice(key.as_bytes()).unwrap();
                builder.with_client_auth_cert(chain, key).unwrap()
            }
        })
    }
}

const FAR_FUTURE: (i32, u8, u8) = (2040, 1, 1);
const EXPIRED: (i32, u8, u8) = (2021, 1, 1);

struct TestDispatcher {
    authority: Authority,
    folder: Folder,
    program: Program,
    _engines: Vec<Engine>,
}

fn write_key_pair(folder: &Folder, name: &str, pair: &(String, String)) {
    std::fs::write(folder.path().join(format!("{name}.pem")), &pair.0).unwrap();
    std::fs::write(folder.path().join(format!("{name}.key")), &pair.1).unwrap();
}

/// Starts a dispatcher with the certificates `a` and `b`; `tls` holds further lines of the `[tls]` table.
async fn start(name: &str, tls: &str, users: &str) -> TestDispatcher {
    let (authority, folder) = (
        Authority::new(),
        Folder::new(&format!("tls-{name}")).unwrap(),
    );
    write_key_pair(
        &folder,
        "a",
        &authority.issue(&["a.example"], "a", FAR_FUTURE),
    );
    write_key_pair(
        &folder,
        "b",
        &authority.issue(&["*.b.example"], "b", FAR_FUTURE),
    );
    std::fs::write(folder.path().join("ca.pem"), &authority.pem).unwrap();
    let engines = fixture::engines(1, Duration::from_millis(1)).await.unwrap();
    let list = engines.iter().map(|e| {
        format!(
            "[[engine]]\nid = {:?}\naddress = \"{}\"\n",
            e.name(),
            e.address()
        )
    });
    let at = folder.path().to_str().unwrap();
    let keys = "[[tls.key]]\ncert = \"AT/a.pem\"\nkey = \"AT/a.key\"\n[[tls.key]]\ncert = \"AT/b.pem\"\nkey = \"AT/b.key\"\n";
    let text = fixture::dispatcher_file(
        "",
        &format!("{}{users}[tls]\n{tls}\n{keys}", list.collect::<String>()),
    );
    let binary = Path::new(env!("CARGO_BIN_EXE_hitchwinch"));
    let program = Program::start(
        binary,
        &folder,
        "front",
        &text.replace("AT/", &format!("{at}/")),
    )
    .await
    .unwrap();
    TestDispatcher {
        authority,
        folder,
        program,
        _engines: engines,
    }
}

impl TestDispatcher {
    async fn tls(&self, host: &str) -> Result<Session, String> {
        let config = self.authority.client(false, None);
        let s = Session::log_in_tls(self.program.address, "guest", "guest", config, host).await;
        s.map_err(|e| e.to_string())
    }

    async fn expect_log(&self, what: &str) {
        self.program.wait_for_log(what).await.unwrap();
    }
}

#[test]
fn certificate_is_selected_by_sni_and_plain_clients_are_served() {
    run(async {
        let dispatcher = start("names", "", "").await;
        let mut presented = vec![];
        for host in ["a.example", "db.b.example"] {
            let mut s = dispatcher.tls(host).await.unwrap();
            assert_eq!(s.query("select a from t").await.unwrap().rows.len(), 1);
            presented.push(s.certificate().unwrap());
        }
        assert_ne!(presented[0], presented[1]);
        assert!(
            dispatcher.tls("elsewhere.example").await.is_err(),
            "no certificate matches the name, so the client rejects it"
        );
        let mut plain = Session::log_in(
            dispatcher.program.address,
            "guest",
            "guest",
            SessionOptions::default(),
        )
        .await
        .unwrap();
        plain.query("select a from t").await.unwrap();
        let old = dispatcher.authority.client(true, None);
        Session::log_in_tls(
            dispatcher.program.address,
            "guest",
            "guest",
            old,
            "a.example",
        )
        .await
        .unwrap();
    });
}

#[test]
fn downgrade_to_plain_older_tls_or_injected_bytes_is_rejected() {
    run(async {
        let dispatcher = start("downgrade", "required = true\nmin_version = \"1.3\"", "").await;
        let plain = Session::log_in(
            dispatcher.program.address,
            "guest",
            "guest",
            SessionOptions::default(),
        )
        .await;
        assert_eq!(error(plain).unwrap().code, 3159);
        let old = dispatcher.authority.client(true, None);
        assert!(
            Session::log_in_tls(
                dispatcher.program.address,
                "guest",
                "guest",
                old,
                "a.example"
            )
            .await
            .is_err()
        );
        // A request for TLS with a plaintext login injected right behind it.
        let mut tcp = TcpStream::connect(dispatcher.program.address)
            .await
            .unwrap();
        let mut greeting = [0; 256];
        assert!(tcp.read(&mut greeting).await.unwrap() > 0);
        let request = [
            &[32, 0, 0, 1, 0, 0x8a, 0x20, 0][..],
            &[0; 28],
            b"\x05\0\0\x02guest",
        ]
        .concat();
        tcp.write_all(&request).await.unwrap();
        // The injected bytes are parsed as TLS, and rejected.
        dispatcher.expect_log("corrupt message").await;
        dispatcher.tls("a.example").await.unwrap();
    });
}

#[test]
fn user_with_a_certificate_needs_it_and_the_password() {
    run(async {
        let users = "[[user]]\nname = \"till\"\npassword = \"till\"\ncertificate = \"till-7\"\n";
        let dispatcher = start("users", "client_ca = \"AT/ca.pem\"", users).await;
        let log_in = async |own: Option<(String, String)>, password: &str| {
            let config = dispatcher.authority.client(false, own.as_ref());
            let s = Session::log_in_tls(
                dispatcher.program.address,
                "till",
                password,
                config,
                "a.example",
            )
            .await;
            s.map(drop)
        };
        let own = || Some(dispatcher.authority.issue(&[], "till-7", FAR_FUTURE));
        log_in(own(), "till").await.unwrap();
        assert_eq!(error(log_in(own(), "wrong").await).unwrap().code, 1045);
        assert_eq!(error(log_in(None, "till").await).unwrap().code, 1045);
        let other = Some(dispatcher.authority.issue(&[], "till-8", FAR_FUTURE));
        assert_eq!(error(log_in(other, "till").await).unwrap().code, 1045);
        let foreign_certificate = Some(Authority::new().issue(&[], "till-7", FAR_FUTURE));
        assert!(
            log_in(foreign_certificate, "till").await.is_err(),
            "signed by another authority"
        );
        let plain = Session::log_in(
            dispatcher.program.address,
            "till",
            "till",
            SessionOptions::default(),
        )
        .await;
        assert_eq!(error(plain).unwrap().code, 1045);
    });
}

#[test]
fn key_rotation_during_handshakes_keeps_open_sessions() {
    run(async {
        let dispatcher = start("replaced", "", "").await;
        let mut open = dispatcher.tls("a.example").await.unwrap();
        let before = open.certificate().unwrap();
        let (began, mut handshakes, mut since) = (Instant::now(), 0, 0);
        let mut written = false;
        while since < 50 {
            assert!(
                began.elapsed() < Duration::from_secs(20),
                "the new certificate is not presented"
            );
            let presented = dispatcher
                .tls("a.example")
                .await
                .expect("no handshake fails")
                .certificate()
                .unwrap();
            (handshakes, since) = (handshakes + 1, since + u32::from(presented != before));
            if handshakes == 50 && !std::mem::replace(&mut written, true) {
                write_key_pair(
                    &dispatcher.folder,
                    "a",
                    &dispatcher.authority.issue(&["a.example"], "a", FAR_FUTURE),
                );
            }
            sleep_ms(5).await;
        }
        open.query("select a from t").await.unwrap();
        assert_eq!(open.certificate().unwrap(), before);
    });
}

#[test]
fn invalid_expired_or_mismatched_key_is_rejected_and_the_old_one_stays() {
    run(async {
        let dispatcher = start("broken", "", "").await;
        let before = dispatcher
            .tls("a.example")
            .await
            .unwrap()
            .certificate()
            .unwrap();
        let good = dispatcher.authority.issue(&["a.example"], "a", FAR_FUTURE);
        for (pair, message) in [
            (
                ("no certificate".to_string(), good.1.clone()),
                "a.pem: contains no certificate",
            ),
            (
                dispatcher.authority.issue(&["a.example"], "a", EXPIRED),
                "a.pem: the certificate expired ",
            ),
            (
                (
                    good.0.clone(),
                    dispatcher
                        .authority
                        .issue(&["a.example"], "a", FAR_FUTURE)
                        .1,
                ),
                "a.key: ",
            ),
        ] {
            write_key_pair(&dispatcher.folder, "a", &pair);
            let line = dispatcher.program.wait_for_log(message).await.unwrap();
            assert!(line.contains("the previous keys stay in force"), "{line}");
            assert_eq!(
                dispatcher
                    .tls("a.example")
                    .await
                    .unwrap()
                    .certificate()
                    .unwrap(),
                before
            );
        }
        write_key_pair(&dispatcher.folder, "a", &good);
        dispatcher
            .expect_log("the keys have changed and are in force")
            .await;
        assert_ne!(
            dispatcher
                .tls("a.example")
                .await
                .unwrap()
                .certificate()
                .unwrap(),
            before
        );
        std::fs::remove_file(dispatcher.folder.path().join("b.pem")).unwrap();
        dispatcher.program.signal("HUP").await.unwrap();
        dispatcher.expect_log("b.pem").await;
        dispatcher.tls("db.b.example").await.unwrap();
    });
}

#[test]
fn stalled_handshake_times_out_in_every_phase_without_blocking_others() {
    run(async {
        let dispatcher = start("stalls", "", "").await;
        let mut request = vec![32, 0, 0, 1, 0, 0x8a, 0x20, 0];
        request.extend([0; 28]);
        // No bytes; a part of a request for TLS; the whole request; the request and the head of a
        // client hello.
        let hello = [&request[..], &[22, 3, 1, 2, 0, 1, 0]].concat();
        let mut stalled = vec![];
        for bytes in [&[][..], &request[..9], &request, &hello] {
            let mut tcp = TcpStream::connect(dispatcher.program.address)
                .await
                .unwrap();
            tcp.write_all(bytes).await.unwrap();
            stalled.push(tcp);
        }
        let began = Instant::now();
        dispatcher
            .tls("a.example")
            .await
            .unwrap()
            .query("select a from t")
            .await
            .unwrap();
        assert!(began.elapsed() < Duration::from_secs(1));
        for mut tcp in stalled {
            let mut all = vec![];
            tcp.read_to_end(&mut all).await.unwrap();
        }
        let took = began.elapsed();
        assert!(
            (Duration::from_secs(8)..Duration::from_secs(15)).contains(&took),
            "{took:?}"
        );
    });
}
