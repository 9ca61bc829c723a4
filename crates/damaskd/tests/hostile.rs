//! Callers that send more than the machine holds: an instance stays within its memory and descriptors,
//! and serves ordinary requests afterwards.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use std::{
    net::SocketAddr,
    time::Duration, //
};

use testkit::{
    Builder,
    Fleet,
    caller::Caller,
    fleet::CALLER_KEY, //
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    sync::Mutex,
    time::timeout, //
};

const MAX_BODY_BYTES: usize = 4 << 20;
/// Memory and descriptors of the machine, as the settings of the instance name them.
const MEMORY_MB: u64 = 120;
const DESCRIPTORS: usize = 600;
/// Memory of the machine less what its system takes, in bytes.
const MAX_MEMORY_BYTES: u64 = 110_000_000;
/// Descriptors that are not for files.
const MAX_DESCRIPTORS: usize = DESCRIPTORS - 200;
/// Callers with large bodies, which send more than the memory together.
const BODIES: usize = 40;
/// Callers with heads, which hyper would hold up to 400 KiB each, and with connections that they leave.
const HEADS: usize = 300;
const CONNECTIONS: usize = 600;
/// Time after which a caller whose bytes are not taken stops sending.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The crowds of one test would take memory and processor time from another.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

async fn start_fleet() -> Fleet {
    let fleet = Builder::default()
        .instances(1)
        .limit("max_body_bytes", MAX_BODY_BYTES)
        .limit("memory_mb", MEMORY_MB)
        .limit("max_fds", DESCRIPTORS)
        .start()
        .await
        .unwrap();
    fleet.apply_example_settings().await.unwrap();
    fleet
}

/// Opens a connection and sends the bytes as far as they are taken.
async fn send(address: SocketAddr, bytes: &[u8]) -> Option<TcpStream> {
    let connected = timeout(WRITE_TIMEOUT, TcpStream::connect(address)).await;
    let mut stream = connected.ok()?.ok()?;
    for piece in bytes.chunks(64 << 10) {
        let written = timeout(WRITE_TIMEOUT, stream.write_all(piece)).await;
        if !matches!(written, Ok(Ok(()))) {
            break;
        }
    }
    Some(stream)
}

/// Lets `count` callers send the bytes at once; returns their connections.
async fn attack(address: SocketAddr, bytes: &[u8], count: usize) -> Vec<TcpStream> {
    let callers = (0..count).map(|_| send(address, bytes));
    let connections = futures::future::join_all(callers).await;
    connections.into_iter().flatten().collect()
}

fn peak_memory(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.unwrap().trim().trim_end_matches(" kB").parse::<u64>();
    kib.unwrap() << 10
}

/// Checks the process while the crowd holds its connections, and that it serves afterwards.
async fn check(mut fleet: Fleet, crowd: Vec<TcpStream>) {
    let pid = fleet.instances[0].id();
    // What was sent may not be read yet.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let open = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap();
    let descriptors = open.count();
    drop(crowd);
    let caller = Caller::new(Some(CALLER_KEY));
    let address = fleet.caller_address(0).unwrap();
    let served = || async {
        let answer = caller.chat(address, "m", "still there?", 2).await.ok()?;
        answer.done.then_some(())
    };
    testkit::wait::until("an ordinary request", served)
        .await
        .unwrap();
    assert_eq!(fleet.instances[0].exit_status().unwrap(), None);
    let memory = peak_memory(pid);
    println!("peak memory: {memory} bytes, descriptors: {descriptors}");
    assert!(memory < MAX_MEMORY_BYTES, "{memory} bytes");
    assert!(descriptors < MAX_DESCRIPTORS, "{descriptors} descriptors");
}

/// Guards against bodies of legal size that stop one byte short and take all memory.
#[tokio::test]
async fn bodies_one_byte_short() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let fleet = start_fleet().await;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    let bytes = [head.into_bytes(), vec![b' '; MAX_BODY_BYTES - 1]].concat();
    let crowd = attack(fleet.caller_address(0).unwrap(), &bytes, BODIES).await;
    check(fleet, crowd).await;
}

/// Guards against heads without end, and empty lines without end, on both planes.
#[tokio::test]
async fn heads_without_end() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let fleet = start_fleet().await;
    let mut crowd = Vec::new();
    let addresses = [
        fleet.caller_address(0).unwrap(),
        fleet.instances[0].plane_address("operator").unwrap(),
    ];
    for address in addresses {
        let head = format!("GET / HTTP/1.1\r\nx: {}", "x".repeat(400 << 10));
        crowd.extend(attack(address, head.as_bytes(), HEADS).await);
        let lines = "\r\n".repeat(200 << 10);
        crowd.extend(attack(address, lines.as_bytes(), HEADS).await);
    }
    check(fleet, crowd).await;
}

/// Guards against connections that take all descriptors.
#[tokio::test]
async fn connections_that_are_left() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let fleet = start_fleet().await;
    let mut crowd = Vec::new();
    for plane in ["caller", "operator", "peer"] {
        let address = fleet.instances[0].plane_address(plane).unwrap();
        crowd.extend(attack(address, b"", CONNECTIONS).await);
    }
    check(fleet, crowd).await;
}
