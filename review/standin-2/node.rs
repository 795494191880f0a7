//! Starts `carobvane-node` as a separate process, with settings in the platform's format.

use std::{
    fs::File,
    net::{IpAddr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Bounds of the small deployments.
const BOUNDS: &str = r#"{"seedLagS":3,"addrReuseS":2,"stableMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"stretchMaxMs":5000,"strictRevoke":false,"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetSlack":58,"recoveryS":12,"transitMs":120,"reuseWindowS":10,"requireFencing":false,"leaseMs":3000,"thawSlackMs":300,"versionMs":8000,"versionAllMs":11000,"ttl_max_s":5}"#;

/// A node and its process. Dropping it ends the process.
pub struct Node {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Node {
    /// Starts a node of machine `number` with the memory limit of a machine of the site.
    pub fn start(folder: &Path, number: u32, store: SocketAddr, memory_mb: u32) -> Node {
        let process_part = 10 + std::process::id() % 200;
        let ip = format!("127.{}.{process_part}.{number}", 20 + std::process::id() / 200 % 200);
        let address = || free_address(&ip);
        let (front, ready, control, directory) = (address(), address(), address(), address());
        let port = address().port();
        let text = format!(
            r#"{{"nodeName":"front-z1-{number}","role":"entry","machineClass":"front","serves":["front","control","directory"],"ip":"{ip}","zone":"z1","region":"r1","zones":{{"z1":"r1"}},"listen":{{"front":"{front}","readyAddr":"{ready}","control":"{control}","directory":"{directory}"}},"internalPorts":[{port},{port}],"seeds":[],"bootstrap":true,"inTolerance":false,"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":{memory_mb},"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},"dataDir":null,"discovery":"platform","entry":"directory","heartbeatMs":1200,"contracts":["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"],"faultTolerance":{{"machines":2,"zones":0,"regions":0}},"bounds":{BOUNDS},"platform":{{"address":"{store}","form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,"valueBytes":1048576,"ttlMinMs":1000}}}}"#
        );
        let settings = folder.join(format!("node-{number}.json"));
        std::fs::write(&settings, text).expect("the settings are written");
        let log = folder.join(format!("node-{number}.log"));
        let mut node = Node { front, ready, settings, log, process: None };
        node.launch();
        node
    }

    /// Starts the process, with the command of the deploy file.
    pub fn launch(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let mut command = Command::new("target/release/carobvane-node");
        command
            .env("CAROBVANE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log);
        // SAFETY: between fork and exec, only a system call is made.
        unsafe { command.pre_exec(end_with_parent) };
        self.process = Some(command.spawn().expect("carobvane-node starts"));
    }

    /// Kills the process and waits for its end. Later starts are not the first one of the whole system.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().expect("the process is killed");
            process.wait().expect("the process ends");
        }
        let text = std::fs::read_to_string(&self.settings).expect("the settings are read");
        let later = text.replace(r#""bootstrap":true"#, r#""bootstrap":false"#);
        std::fs::write(&self.settings, later).expect("the settings are written");
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if let Some(process) = &self.process {
            let command = format!("kill -{name} {}", process.id());
            Command::new("sh").args(["-c", &command]).status().expect("a signal is sent");
        }
    }

    /// Whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = "GET /readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        let answer = http::exchange(self.ready, request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            // It may have ended already.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// Has the kernel kill this process when its parent ends in any way.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    unsafe extern "C" {
        fn prctl(option: i32, ...) -> i32;
    }
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL, 0_u64, 0_u64, 0_u64) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// Returns an address whose port is free now.
fn free_address(ip: &str) -> SocketAddr {
    let ip: IpAddr = ip.parse().expect("an address");
    TcpListener::bind((ip, 0)).and_then(|listener| listener.local_addr()).expect("a free port")
}

/// Waits for a condition, and ends the case as one that could not run if it does not come about.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(15), "waited in vain for {what}");
        thread::sleep(Duration::from_millis(20));
    }
}
