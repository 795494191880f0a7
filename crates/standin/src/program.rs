//! The `carobvane-standin` program: starts simulators of external systems and prints one JSON line
//! with the address of each.

use std::net::SocketAddr;

use eyre::WrapErr;
use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Logger, Root},
    encode::json::JsonEncoder,
};

use crate::{engine, keyvalue, service, vm_list, weight_store};

mod flags {
    xflags::xflags! {
        /// Starts simulators of external systems on 127.0.0.1.
        cmd carobvane-standin {
            /// Number of model engines to start.
            optional --engines count: usize
            /// Starts a key-value service.
            optional --keyvalue
            /// Number of plain services to start.
            optional --services count: usize
            /// Starts a weight store.
            optional --weight-store
            /// Starts a VM list.
            optional --vm-list
            /// First of the consecutive ports to listen on; without it, ports are ephemeral.
            optional --ports-from port: u16
            /// Simulated milliseconds that pass in one real millisecond.
            optional --time-scale factor: f64
            /// Tokens in one prompt piece.
            optional --piece-tokens tokens: u32
            /// Pieces that an engine's prefix cache holds.
            optional --cache-pieces pieces: usize
            /// Name of the model that the engines serve.
            optional --model name: String
            /// Weights version that the engines have loaded at start.
            optional --weights-version version: u64
            /// Maximum batch size of an engine, in sequences.
            optional --slots slots: usize
            /// Share of cache events that engines lose, from 0 to 1.
            optional --event-loss share: f64
            /// Number of engines, counted from the last, that ignore fencing numbers.
            optional --ignore-fencing count: usize
            /// Seed of the random event losses; engine number n uses this value plus n.
            optional --seed seed: u64
        }
    }
}

/// Hands out loopback addresses with consecutive ports, or with port 0 (ephemeral) if no first port
/// is set.
struct PortRange(Option<u16>);

impl PortRange {
    fn next(&mut self) -> SocketAddr {
        let port = self.0.unwrap_or(0);
        self.0 = self.0.map(|port| port + 1);
        SocketAddr::from(([127, 0, 0, 1], port))
    }
}

fn announce(kind: &str, index: usize, addr: SocketAddr) {
    println!("{}", serde_json::json!({"kind": kind, "index": index, "addr": addr.to_string()}));
}

fn engine_settings(flags: &flags::CarobvaneStandin) -> engine::EngineSettings {
    let mut settings = engine::EngineSettings::default();
    settings.time_scale = flags.time_scale.unwrap_or(settings.time_scale);
    settings.piece_tokens = flags.piece_tokens.unwrap_or(settings.piece_tokens);
    settings.cache_pieces = flags.cache_pieces.unwrap_or(settings.cache_pieces);
    settings.slots = flags.slots.unwrap_or(settings.slots);
    settings.event_loss = flags.event_loss.unwrap_or(settings.event_loss);
    if let Some(model) = &flags.model {
        settings.models[0].model = model.clone();
    }
    settings.models[0].version = flags.weights_version.unwrap_or(settings.models[0].version);
    settings
}

async fn start_all(flags: flags::CarobvaneStandin) -> eyre::Result<()> {
    let mut ports = PortRange(flags.ports_from);
    let mut engine_settings = engine_settings(&flags);
    if flags.weight_store {
        let settings = weight_store::WeightStoreSettings {
            addr: ports.next(),
            ..weight_store::WeightStoreSettings::default()
        };
        let weights =
            weight_store::start(settings).await.wrap_err("failed to start weight store")?;
        engine_settings.weight_store = Some(weights.addr());
        announce("weight_store", 0, weights.addr());
    }
    let engines = flags.engines.unwrap_or(0);
    for index in 0..engines {
        let settings = engine::EngineSettings {
            addr: ports.next(),
            seed: flags.seed.unwrap_or(1) + index as u64,
            check_fencing: index + flags.ignore_fencing.unwrap_or(0) < engines,
            ..engine_settings.clone()
        };
        let engine = engine::start(settings).await.wrap_err("failed to start engine")?;
        announce("engine", index, engine.addr());
    }
    if flags.keyvalue {
        let settings = keyvalue::KeyValueSettings {
            addr: ports.next(),
            ..keyvalue::KeyValueSettings::default()
        };
        let keyvalue =
            keyvalue::start(settings).await.wrap_err("failed to start key-value service")?;
        announce("keyvalue", 0, keyvalue.addr());
    }
    for index in 0..flags.services.unwrap_or(0) {
        let settings =
            service::ServiceSettings { addr: ports.next(), ..service::ServiceSettings::default() };
        let service = service::start(settings).await.wrap_err("failed to start service")?;
        announce("service", index, service.addr());
    }
    if flags.vm_list {
        let settings =
            vm_list::VmListSettings { addr: ports.next(), ..vm_list::VmListSettings::default() };
        let list = vm_list::start(settings).await.wrap_err("failed to start VM list")?;
        announce("vm_list", 0, list.addr());
    }
    tokio::signal::ctrl_c().await.wrap_err("failed to wait for a signal")
}

fn start_logging() -> eyre::Result<()> {
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    // actix_http logs an error for each connection that a peer resets, which the faults do often.
    let silent = Logger::builder().build("actix_http", log::LevelFilter::Off);
    let config = Config::builder()
        .logger(silent)
        .appender(Appender::builder().build("stderr", Box::new(console)))
        .build(Root::builder().appender("stderr").build(log::LevelFilter::Info))?;
    log4rs::init_config(config)?;
    Ok(())
}

/// Runs the program until it receives SIGINT.
pub fn run() -> eyre::Result<()> {
    let flags = flags::CarobvaneStandin::from_env_or_exit();
    start_logging()?;
    actix_rt::System::new().block_on(start_all(flags))
}
