//! TLS of the MySQL front on the program itself: names, clients' certificates, keys that change in service, handshakes
//! that stall. The tests are their own authority.

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
use tokio::task::LocalSet;
use tokio_rustls::rustls::crypto::ring;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::{ClientConfig, RootCertStore, version};

fn play(f: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let timed = async {
        tokio::time::timeout(Duration::from_secs(60), f)
            .await
            .expect("it takes too long")
    };
    LocalSet::new().block_on(&runtime, timed)
}

async fn pass(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// An authority, and what it has signed.
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

    /// A certificate and its key, in PEM.
    fn signs(&self, hosts: &[&str], name: &str, until: (i32, u8, u8)) -> (String, String) {
        let hosts: Vec<String> = hosts.iter().map(|h| (*h).to_string()).collect();
        let mut params = CertificateParams::new(hosts).unwrap();
        params.distinguished_name.push(DnType::CommonName, name);
        params.not_before = rcgen::date_time_ymd(2020, 1, 1);
        params.not_after = rcgen::date_time_ymd(until.0, until.1, until.2);
        let key = KeyPair::generate().unwrap();
        let cert = params.signed_by(&key, &self.issuer).unwrap();
        (cert.pem(), key.serialize_pem())
    }

    /// A client that trusts it, in these versions, with a certificate of its own or none.
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

const FAR: (i32, u8, u8) = (2040, 1, 1);
const PAST: (i32, u8, u8) = (2021, 1, 1);

struct Stand {
    authority: Authority,
    folder: Folder,
    program: Program,
    _engines: Vec<Engine>,
}

fn write(folder: &Folder, name: &str, pair: &(String, String)) {
    std::fs::write(folder.path().join(format!("{name}.pem")), &pair.0).unwrap();
    std::fs::write(folder.path().join(format!("{name}.key")), &pair.1).unwrap();
}

/// A dispatcher with keys `a` and `b`; `tls` are further keys of its table.
async fn stand(name: &str, tls: &str, users: &str) -> Stand {
    let (authority, folder) = (
        Authority::new(),
        Folder::new(&format!("tls-{name}")).unwrap(),
    );
    write(&folder, "a", &authority.signs(&["a.example"], "a", FAR));
    write(&folder, "b", &authority.signs(&["*.b.example"], "b", FAR));
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
    Stand {
        authority,
        folder,
        program,
        _engines: engines,
    }
}

impl Stand {
    async fn tls(&self, host: &str) -> Result<Session, String> {
        let config = self.authority.client(false, None);
        let s = Session::log_in_tls(self.program.address, "guest", "guest", config, host).await;
        s.map_err(|e| e.to_string())
    }

    async fn says(&self, what: &str) {
        self.program.says(what).await.unwrap();
    }
}

#[test]
fn certificate_is_selected_by_sni_and_plain_clients_are_served() {
    play(async {
        let stand = stand("names", "", "").await;
        let mut shown = vec![];
        for host in ["a.example", "db.b.example"] {
            let mut s = stand.tls(host).await.unwrap();
            assert_eq!(s.query("select a from t").await.unwrap().rows.len(), 1);
            shown.push(s.certificate().unwrap());
        }
        assert_ne!(shown[0], shown[1]);
        assert!(
            stand.tls("elsewhere.example").await.is_err(),
            "no key covers it, and the client says no"
        );
        let mut plain = Session::log_in(
            stand.program.address,
            "guest",
            "guest",
            SessionOptions::default(),
        )
        .await
        .unwrap();
        plain.query("select a from t").await.unwrap();
        let old = stand.authority.client(true, None);
        Session::log_in_tls(stand.program.address, "guest", "guest", old, "a.example")
            .await
            .unwrap();
    });
}

#[test]
fn downgrade_to_plain_older_tls_or_injected_bytes_is_rejected() {
    play(async {
        let stand = stand("downgrade", "required = true\nmin_version = \"1.3\"", "").await;
        let plain = Session::log_in(
            stand.program.address,
            "guest",
            "guest",
            SessionOptions::default(),
        )
        .await;
        assert_eq!(error(plain).unwrap().code, 3159);
        let old = stand.authority.client(true, None);
        assert!(
            Session::log_in_tls(stand.program.address, "guest", "guest", old, "a.example")
                .await
                .is_err()
        );
        // A request for TLS with a login in the clear right behind it.
        let mut tcp = TcpStream::connect(stand.program.address).await.unwrap();
        let mut greeting = [0; 256];
        assert!(tcp.read(&mut greeting).await.unwrap() > 0);
        let request = [
            &[32, 0, 0, 1, 0, 0x8a, 0x20, 0][..],
            &[0; 28],
            b"\x05\0\0\x02guest",
        ]
        .concat();
        tcp.write_all(&request).await.unwrap();
        // They are taken for TLS, which they are not.
        stand.says("corrupt message").await;
        stand.tls("a.example").await.unwrap();
    });
}

#[test]
fn user_with_a_certificate_needs_it_and_the_password() {
    play(async {
        let users = "[[user]]\nname = \"till\"\npassword = \"till\"\ncertificate = \"till-7\"\n";
        let stand = stand("users", "client_ca = \"AT/ca.pem\"", users).await;
        let log_in = async |own: Option<(String, String)>, password: &str| {
            let config = stand.authority.client(false, own.as_ref());
            let s =
                Session::log_in_tls(stand.program.address, "till", password, config, "a.example")
                    .await;
            s.map(drop)
        };
        let own = || Some(stand.authority.signs(&[], "till-7", FAR));
        log_in(own(), "till").await.unwrap();
        assert_eq!(error(log_in(own(), "wrong").await).unwrap().code, 1045);
        assert_eq!(error(log_in(None, "till").await).unwrap().code, 1045);
        let other = Some(stand.authority.signs(&[], "till-8", FAR));
        assert_eq!(error(log_in(other, "till").await).unwrap().code, 1045);
        let record_foreign_message = Some(Authority::new().signs(&[], "till-7", FAR));
        assert!(
            log_in(record_foreign_message, "till").await.is_err(),
            "signed by somebody else"
        );
        let plain = Session::log_in(
            stand.program.address,
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
    play(async {
        let stand = stand("replaced", "", "").await;
        let mut open = stand.tls("a.example").await.unwrap();
        let before = open.certificate().unwrap();
        let (began, mut handshakes, mut since) = (Instant::now(), 0, 0);
        let mut written = false;
        while since < 50 {
            assert!(
                began.elapsed() < Duration::from_secs(20),
                "the new key is never shown"
            );
            let shown = stand
                .tls("a.example")
                .await
                .expect("no handshake fails")
                .certificate()
                .unwrap();
            (handshakes, since) = (handshakes + 1, since + u32::from(shown != before));
            if handshakes == 50 && !std::mem::replace(&mut written, true) {
                write(
                    &stand.folder,
                    "a",
                    &stand.authority.signs(&["a.example"], "a", FAR),
                );
            }
            pass(5).await;
        }
        open.query("select a from t").await.unwrap();
        assert_eq!(open.certificate().unwrap(), before);
    });
}

#[test]
fn invalid_expired_or_mismatched_key_is_rejected_and_the_old_one_stays() {
    play(async {
        let stand = stand("broken", "", "").await;
        let before = stand.tls("a.example").await.unwrap().certificate().unwrap();
        let good = stand.authority.signs(&["a.example"], "a", FAR);
        for (pair, told) in [
            (
                ("no certificate".to_string(), good.1.clone()),
                "a.pem: no certificate stands in it",
            ),
            (
                stand.authority.signs(&["a.example"], "a", PAST),
                "a.pem: it has expired",
            ),
            (
                (
                    good.0.clone(),
                    stand.authority.signs(&["a.example"], "a", FAR).1,
                ),
                "a.key: ",
            ),
        ] {
            write(&stand.folder, "a", &pair);
            let line = stand.program.says(told).await.unwrap();
            assert!(line.contains("the keys before stay in force"), "{line}");
            assert_eq!(
                stand.tls("a.example").await.unwrap().certificate().unwrap(),
                before
            );
        }
        write(&stand.folder, "a", &good);
        stand.says("the keys have changed and are in force").await;
        assert_ne!(
            stand.tls("a.example").await.unwrap().certificate().unwrap(),
            before
        );
        std::fs::remove_file(stand.folder.path().join("b.pem")).unwrap();
        stand.program.signal("HUP").await.unwrap();
        stand.says("b.pem").await;
        stand.tls("db.b.example").await.unwrap();
    });
}

#[test]
fn stalled_handshake_times_out_in_every_phase_without_blocking_others() {
    play(async {
        let stand = stand("stalls", "", "").await;
        let mut request = vec![32, 0, 0, 1, 0, 0x8a, 0x20, 0];
        request.extend([0; 28]);
        // Nothing; half a request for TLS; all of it; the head of a hello and no more.
        let hello = [&request[..], &[22, 3, 1, 2, 0, 1, 0]].concat();
        let mut stalled = vec![];
        for bytes in [&[][..], &request[..9], &request, &hello] {
            let mut tcp = TcpStream::connect(stand.program.address).await.unwrap();
            tcp.write_all(bytes).await.unwrap();
            stalled.push(tcp);
        }
        let began = Instant::now();
        stand
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
