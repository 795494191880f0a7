//! Nodes as processes of their own, started with the command of the deploy file.

use std::{
    fs::{self, OpenOptions},
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Channel, Message},
    store::Store,
};

/// All nodes that were started.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all nodes.
pub fn end_all() {
    for child in CHILDREN.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

pub struct NodeProcess {
    /// Position among all nodes that were started.
    place: usize,
    program: String,
    folder: PathBuf,
    name: String,
    settings: String,
    pub control: SocketAddr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

impl NodeProcess {
    /// Starts a node at an address of its own; its settings and log lie in `folder`.
    pub fn start(
        program: &str,
        folder: &Path,
        name: &str,
        ip: &str,
        seeds: &[SocketAddr],
        store: &Store,
    ) -> NodeProcess {
        let seeds = seeds.iter().map(|seed| format!("\"{seed}\"")).collect::<Vec<_>>().join(",");
        let [front, ready, control, directory, inner] = [(); 5].map(|()| free_port(ip));
        let address = |port: u16| format!("{ip}:{port}");
        let settings = format!(
            r#"{{"nodeName":"{name}","role":"entry","machineClass":"front","serves":["front","control","directory"],
"ip":"{ip}","zone":"z1","region":"r1","zones":{{"z1":"r1"}},
"listen":{{"front":"{}","readyAddr":"{}","control":"{}","directory":"{}"}},
"internalPorts":[{inner},{}],"seeds":[{seeds}],"bootstrap":true,"inTolerance":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":110,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},"dataDir":null,
"discovery":"platform","entry":"directory","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"],
"faultTolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"addrReuseS":2,"stableMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,
"configApplyMs":2000,"rollbackSlackMs":250,"stretchMaxMs":5000,"strictRevoke":false,"revokeMs":5000,"retryBudgetRatio":0.2,
"budgetWindowS":10,"retryBudgetSlack":58,"recoveryS":12,"transitMs":120,"reuseWindowS":10,"requireFencing":false,
"leaseMs":3000,"thawSlackMs":300,"versionMs":8000,"versionAllMs":11000,"ttl_max_s":5}},
"platform":{{"address":"{}","form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,"valueBytes":1048576,"ttlMinMs":1000}}}}"#,
            address(front),
            address(ready),
            address(control),
            address(directory),
            inner.saturating_add(15),
            store.address,
        );
        let parse = |port| address(port).parse().expect("an address");
        let mut node = NodeProcess {
            place: 0,
            program: program.to_string(),
            folder: folder.to_path_buf(),
            name: name.to_string(),
            settings,
            control: parse(control),
            front: parse(front),
            ready: parse(ready),
        };
        let child = node.spawn();
        let mut children = CHILDREN.lock().unwrap();
        node.place = children.len();
        children.push(child);
        node
    }

    /// Kills the node, and starts it again after a while.
    pub fn restart(&mut self, after: Duration) {
        {
            let child = &mut CHILDREN.lock().unwrap()[self.place];
            let _ = child.kill();
            let _ = child.wait();
        }
        thread::sleep(after);
        // The whole system has started before.
        self.settings = self.settings.replace("\"bootstrap\":true", "\"bootstrap\":false");
        CHILDREN.lock().unwrap()[self.place] = self.spawn();
    }

    fn spawn(&self) -> Child {
        let path = self.folder.join(format!("{}.json", self.name));
        fs::write(&path, &self.settings).expect("settings that can be written");
        let log = self.folder.join(format!("{}.log", self.name));
        let log = OpenOptions::new().create(true).append(true).open(log).expect("a log");
        let child = Command::new(&self.program)
            .env("CAROBVANE_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("a node that starts");
        // For the script, should this process be ended early.
        let pids = OpenOptions::new().create(true).append(true).open(self.folder.join("pids"));
        let _ = pids.and_then(|mut file| writeln!(file, "{}", child.id()));
        child
    }

    /// Waits until the node says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if get(self.ready, "/readyz").is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_running(&self) -> bool {
        matches!(CHILDREN.lock().unwrap()[self.place].try_wait(), Ok(None))
    }
}

/// Calls an address once; `None` without a whole answer within two seconds.
pub fn get(address: SocketAddr, target: &str) -> Option<Message> {
    let mut channel = Channel::connect(address).ok()?;
    channel.stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    channel.send(&format!("GET {target} HTTP/1.1"), &[("Host", "node")], b"").ok()?;
    channel.message().ok()
}
