//! Leaving servers, overload and planned stops, under load.

use std::{
    io::{BufRead, BufReader},
    process::{Command, Stdio},
    sync::Arc,
    time::Duration,
};

use fuchsiausher::{
    Balancer, LoadRequest, RequestKind, TestCluster, TestClusterConfig, account_entry, chat_body,
    check_promises, free_address, run_load,
};
use serde_json::json;
use stand::{CallError, Config, HttpResponse, Pace, Role, Server, call};

/// Time after its declaration from which a leaving server must get no new requests.
const LEAVE_GRACE: Duration = Duration::from_secs(3);

fn chat_requests(length: Duration, rate: u32, tiers: u8) -> Vec<LoadRequest> {
    let mut requests = Vec::new();
    let mut offset = Duration::ZERO;
    let mut n = 0_u32;
    while offset < length {
        let tier = u8::try_from(n % u32::from(tiers)).unwrap();
        let prompt = if n.is_multiple_of(19) { 1_500 } else { 15 + (n as usize * 31) % 100 };
        requests.push(LoadRequest {
            offset,
            account: format!("tier-{tier}"),
            tier,
            deadline: Duration::from_secs(2),
            kind: RequestKind::Chat {
                model: "loom-model".into(),
                prefix: None,
                prompt,
                tokens: 15,
            },
        });
        n += 1;
        offset += Duration::from_secs(1) / rate;
    }
    requests
}

async fn assert_promises(cluster: &TestCluster, results: &[fuchsiausher::LoadResult]) {
    let promises = check_promises(cluster, 0, results, 0).await.unwrap();
    for promise in promises {
        assert_eq!(promise.broken, 0, "{}: {:?}", promise.statement, promise.examples);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_no_new_work_and_loses_nothing_in_flight() {
    let mut config = TestClusterConfig::small();
    config.groups[0].count = 3;
    config.groups[0].pace = Pace { prefill_us: 20, decode_us: 10_000 };
    let cluster = TestCluster::start(config).await.unwrap();
    let balancer = Arc::new(Balancer::new(&cluster));
    let load = tokio::spawn(run_load(balancer, chat_requests(Duration::from_secs(6), 40, 1)));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let duty = json!({ "duty": "maintenance" });
    cluster.admin(0).post("/servers/loom-model-1/duty", &duty).await.unwrap();
    tokio::time::sleep(LEAVE_GRACE).await;
    let before = cluster.servers[0].stats().totals();
    let results = load.await.unwrap();
    let after = cluster.servers[0].stats().totals();
    assert!(before.received > 0, "the server was in use before");
    assert_eq!(after.received, before.received, "the server got no new requests");
    assert_eq!(after.finished, after.received, "nothing in flight was cut off");
    assert_promises(&cluster, &results).await;
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn load_of_ten_times_capacity_serves_the_highest_tiers() {
    let mut config = TestClusterConfig::small();
    config.groups[0].count = 2;
    config.groups[0].slots = 2;
    config.groups[0].pace = Pace { prefill_us: 20, decode_us: 10_000 };
    let cluster = TestCluster::start(config).await.unwrap();
    let balancer = Arc::new(Balancer::new(&cluster));
    // Four slots with about 150 ms for each request serve about 25 requests per second.
    let results = run_load(balancer, chat_requests(Duration::from_secs(6), 250, 5)).await;
    assert_promises(&cluster, &results).await;
    let good = |tier| results.iter().filter(|r| r.request.tier == tier && r.complete).count();
    let counts: Vec<usize> = (0..5).map(good).collect();
    assert!(counts[0] > 0, "the highest tier is served: {counts:?}");
    // All lower tiers together are served less often than the highest tier.
    assert!(counts[1..].iter().sum::<usize>() < counts[0], "{counts:?}");
    cluster.stop().await;
}

/// An entry VM that runs as a process.
struct Process {
    child: std::process::Child,
    folder: std::path::PathBuf,
    callers: std::net::SocketAddr,
    admin: std::net::SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Ends the process if a failed assertion left it running.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn spawn_process() -> Process {
    let folder = std::env::temp_dir().join(format!("fuchsiausher-stop-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (callers, admin, listen) = (free_address(), free_address(), free_address());
    let settings = format!(
        "vm = \"vm-1\"\nzone = \"zone-a\"\ncallers = \"{callers}\"\nadmin = \"{admin}\"\n\
         peers_listen = \"{listen}\"\ndata = \"{}\"\nfounders = [\"vm-1\"]\n\
         [secrets]\ncluster = \"a key that is long enough\"\nadmin = \"a\"\nannounce = \"b\"\n",
        folder.join("data").display()
    );
    let path = folder.join("settings.toml");
    std::fs::write(&path, settings).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_fuchsiausher"))
        .arg("run")
        .arg(&path)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    Process { child, folder, callers, admin }
}

async fn wait_ready(process: &Process) {
    for _ in 0..400 {
        let answer = call(process.callers, "GET", "/health/ready", &[], vec![]).await;
        if answer.is_ok_and(|a| a.status == 200) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the process did not become ready");
}

async fn long_answer(callers: std::net::SocketAddr) -> Result<HttpResponse, CallError> {
    let headers = [("authorization", "Bearer tier-0".to_owned())];
    let body = chat_body("loom-model", 20, 40, true);
    call(callers, "POST", "/v1/chat/completions", &headers, body).await
}

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_under_load_cuts_nothing_off_and_exits_with_0() {
    let mut process = spawn_process();
    wait_ready(&process).await;
    let admin = fuchsiausher::AdminClient::new(process.admin, "a");
    let entry = account_entry("tier-0", 0, &["loom-model"]);
    let edit = json!({ "id": "e1", "base": 0, "put": [entry] });
    admin.post("/catalogue/edits", &edit).await.unwrap();
    let config = Config {
        id: "engine-1".into(),
        service: "loom-model".into(),
        role: Role::Engine,
        slots: 64,
        pace: Pace { prefill_us: 20, decode_us: 400_000 },
        cache: 4,
        zone: "zone-a".into(),
        checks_fences: false,
        holders: std::sync::Arc::default(),
    };
    let mut server = Server::start(config).await.unwrap();
    server.announce(stand::Announcer { admin_addresses: vec![process.admin], secret: "b".into() });
    let callers = process.callers;
    while long_answer(callers).await.is_ok_and(|a| a.status != 200) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // Answers take about four seconds. The signal is sent while all of them are streamed.
    let in_flight: Vec<_> = (0..20).map(|_| tokio::spawn(long_answer(callers))).collect();
    while server.stats().running() < 20 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let signalled = Command::new("kill").arg("-TERM").arg(process.child.id().to_string()).status();
    assert!(signalled.unwrap().success());
    for call in in_flight {
        let answer = call.await.unwrap().expect("the answer arrives whole");
        assert_eq!(answer.status, 200);
        assert!(answer.body.ends_with(b"data: [DONE]\n\n"));
    }
    let status = process.child.wait().unwrap();
    let errors = BufReader::new(process.child.stderr.take().unwrap()).lines();
    let errors: Vec<String> = errors.map_while(Result::ok).collect();
    assert_eq!(status.code(), Some(0), "{errors:?}");
}
