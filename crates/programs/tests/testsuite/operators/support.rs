//! Runs the command-line tool on folders of lists, against a key-value stand-in and nodes with
//! scripted responses.

use std::{
    fs,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU64, Ordering},
};

use actix_web::{App, HttpResponse, HttpServer, web};
use carobvane_cli::{Console, run};
use carobvane_core::lists::ListDocument;
use carobvane_lists::{FLEET_FILE, GRANTS_FILE, PLANS_FILE, format_files};
use carobvane_proto::admin::{
    DECISIONS_PATH, DRAIN_PATH, DecisionReport, DrainReport, NodeRole, NodeStatus, STATUS_PATH,
};
use carobvane_standin::keyvalue::{self, KeyValueHandle, KeyValueSettings};

/// The responses of a scripted node.
#[derive(Debug, Default)]
pub struct NodeScript {
    /// Response to a status request.
    pub status: NodeStatus,
    /// Whether the node reports each version of the lists as soon as it is written. If true, it
    /// replaces the version in `status`.
    pub holds_each_write: bool,
    /// The only routing decision that the node remembers; `None` if it remembers none.
    pub decision: Option<DecisionReport>,
    /// Response to a drain request.
    pub drain: DrainReport,
}

/// An entry that always reports the same version of the lists, or none if `list_version` is 0.
pub fn scripted_entry(node: u32, list_version: u64) -> NodeScript {
    let status = NodeStatus {
        node,
        role: NodeRole::Entry,
        data_centre: "irazabal-a".into(),
        list_version: Some(list_version).filter(|version| *version > 0),
        ..NodeStatus::default()
    };
    NodeScript { status, ..NodeScript::default() }
}

/// An entry that reports each version of the lists as soon as it is written.
pub fn following_entry(node: u32) -> NodeScript {
    NodeScript { holds_each_write: true, ..scripted_entry(node, 0) }
}

/// A running node: its script, and the key-value service whose writes it follows.
struct ScriptedNode {
    script: NodeScript,
    keyvalue: KeyValueHandle,
}

type NodeData = web::Data<ScriptedNode>;

/// Starts a scripted node and returns its admin URL.
fn start_node(script: NodeScript, keyvalue: &KeyValueHandle) -> String {
    let node = web::Data::new(ScriptedNode { script, keyvalue: keyvalue.clone() });
    let server = HttpServer::new(move || {
        App::new()
            .app_data(node.clone())
            .route(STATUS_PATH, web::get().to(status))
            .route(&format!("{DECISIONS_PATH}{{id}}"), web::get().to(decision))
            .route(DRAIN_PATH, web::post().to(drain))
    });
    let server = server
        .workers(1)
        .disable_signals()
        .bind(("127.0.0.1", 0))
        .expect("a loopback port is free");
    let url = format!("http://{}", server.addrs()[0]);
    actix_rt::spawn(server.run());
    url
}

async fn status(node: NodeData) -> HttpResponse {
    let mut status = node.script.status.clone();
    if node.script.holds_each_write {
        // In these tests each write to the service creates one version, so that the number of
        // writes is the number of the latest version.
        let written = node.keyvalue.counters().writes;
        status.list_version = Some(written).filter(|version| *version > 0);
    }
    HttpResponse::Ok().json(status)
}

async fn decision(node: NodeData, id: web::Path<String>) -> HttpResponse {
    match node.script.decision.as_ref().filter(|decision| decision.request_id == *id) {
        Some(decision) => HttpResponse::Ok().json(decision),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn drain(node: NodeData) -> HttpResponse {
    HttpResponse::Ok().json(&node.script.drain)
}

/// A temporary folder of list files that is removed when the value is dropped.
pub struct ListFolder {
    path: PathBuf,
}

impl ListFolder {
    fn create() -> ListFolder {
        static COUNTER: AtomicU64 = AtomicU64::new(0);
        let number = COUNTER.fetch_add(1, Ordering::Relaxed);
        let path = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("lists-{}-{number}", std::process::id()));
        fs::create_dir_all(&path).expect("the temporary folder is writable");
        ListFolder { path }
    }

    /// Copies the files of an example of the repository into a new folder.
    pub fn from_example(name: &str) -> ListFolder {
        let folder = ListFolder::create();
        for file in fs::read_dir(example_folder(name)).expect("the example exists") {
            let file = file.expect("the example is readable");
            fs::copy(file.path(), folder.path.join(file.file_name()))
                .expect("the folder is writable");
        }
        folder
    }

    /// Writes the list files of a document into a new folder.
    pub fn from_document(document: &ListDocument) -> ListFolder {
        let folder = ListFolder::create();
        let texts = format_files(document);
        let files =
            [(PLANS_FILE, texts.plans), (GRANTS_FILE, texts.grants), (FLEET_FILE, texts.fleet)];
        for (name, text) in files {
            fs::write(folder.path.join(name), text.unwrap_or_default())
                .expect("the folder is writable");
        }
        folder
    }

    /// Path of the folder, as an argument of the program.
    pub fn path(&self) -> &str {
        self.path.to_str().expect("the path is valid UTF-8")
    }

    /// Replaces the first occurrence of `from` in a file of the folder. Panics if there is none.
    pub fn replace_text(&self, file: &str, from: &str, to: &str) {
        let path = self.path.join(file);
        let text = fs::read_to_string(&path).expect("the file exists");
        assert!(text.contains(from), "{file} has no {from:?}");
        fs::write(&path, text.replacen(from, to, 1)).expect("the folder is writable");
    }
}

impl Drop for ListFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// Path of an example in the repository's `examples` folder.
pub fn example_folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

/// A key-value stand-in and the nodes that the program contacts.
pub struct TestDeployment {
    /// The key-value stand-in, which the program reaches by `--keyvalue`.
    pub keyvalue: KeyValueHandle,
    /// Admin URLs of the nodes, which the program gets as `--entries`.
    pub nodes: Vec<String>,
    /// Value of `--wait-seconds`; with 0 the program asks each node once.
    pub wait_seconds: &'static str,
}

impl TestDeployment {
    /// Starts the stand-in and one node for each script.
    pub async fn start(scripts: Vec<NodeScript>) -> TestDeployment {
        let settings = KeyValueSettings { answer_ms: 0.0, ..KeyValueSettings::default() };
        let keyvalue = keyvalue::start(settings).await.expect("the stand-in starts");
        let nodes = scripts.into_iter().map(|script| start_node(script, &keyvalue)).collect();
        TestDeployment { keyvalue, nodes, wait_seconds: "0" }
    }

    /// Runs the program against this deployment and returns its exit code, output and errors as one
    /// text, in which URLs are replaced by `http://KEYVALUE` and `http://NODE1`, `http://NODE2` and
    /// so on.
    pub async fn run(&self, arguments: &[&str]) -> String {
        let keyvalue = format!("http://{}", self.keyvalue.addr());
        let entries = self.nodes.join(",");
        let mut all_arguments =
            vec!["--call-timeout-ms", "20000", "--wait-seconds", self.wait_seconds];
        all_arguments.extend(["--keyvalue", &keyvalue, "--entries", &entries]);
        all_arguments.extend(arguments);
        let mut text = run_program(&all_arguments, "").await;
        text = text.replace(&keyvalue, "http://KEYVALUE");
        for (index, node) in self.nodes.iter().enumerate() {
            text = text.replace(node.as_str(), &format!("http://NODE{}", index + 1));
        }
        text
    }

    /// Plans and applies a folder. Panics if the lists are not accepted; whether the nodes hold
    /// them in time is not checked.
    pub async fn plan_and_apply(&self, folder: &ListFolder) {
        self.run(&["plan", folder.path()]).await;
        let applied = self.run(&["apply", folder.path()]).await;
        assert!(applied.contains("is accepted"), "{applied}");
    }
}

/// Runs the program without environment variables and returns its exit code, output and errors as
/// one text, in which the paths of temporary folders and of the examples are replaced.
pub async fn run_program(arguments: &[&str], input: &str) -> String {
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let mut input = input.as_bytes();
    let mut console =
        Console { input: &mut input, output: &mut output, errors: &mut errors, colour: false };
    let arguments = arguments.iter().map(Into::into).collect();
    let status = run(arguments, |_| None, &mut console).await;
    let text = |bytes| String::from_utf8(bytes).expect("the program prints UTF-8");
    let mut shown = format!("exit {}\n{}", status.code(), text(output));
    let errors = text(errors);
    if !errors.is_empty() {
        shown += &format!("--- errors\n{errors}");
    }
    let folders = shown.split(['/', ' ', '`']).filter(|part| part.starts_with("lists-"));
    let folders: Vec<String> = folders.map(|part| part.trim_end_matches(':').into()).collect();
    for folder in folders {
        shown = shown.replace(&format!("{}/{folder}", env!("CARGO_TARGET_TMPDIR")), "DIR");
    }
    let examples = example_folder("").display().to_string();
    shown.replace(&examples, "examples/")
}
