//! `carobvane-bench decide`: time and memory of routing decisions.
//!
//! Each prompt has 64 pieces in three nested levels: it shares 16 with all prompts of its
//! workspace and 32 with the prompts of its group; 16 are its own. The index is filled through
//! cache events, as in an entry. Each decision uses a random prompt, so that its cache lines of the
//! index are mostly not in the processor's caches.

use std::{hint::black_box, path::PathBuf, time::Instant};

use carobvane_core::{
    arena::ArenaKey,
    clock::ClockTime,
    ids::{AddressId, IncarnationId, ModelKey, ServerKey, WeightsVersion},
    prefix::{BLOCK_BYTES_MAX, ChainSalt, PieceHash, PrefixChain},
    routing::{
        CacheUpdate, CostPolicy, LeastLoaded, PrefixRouter, RequestClass, RouteRequest,
        RouterSettings, RoutingPolicy, ServerUpdate,
    },
};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{BenchFigure, log_slope, print_table, write_json};

/// Number of pieces of a prompt.
const PROMPT_PIECES: u64 = 64;
/// End of the pieces that all prompts of a workspace share.
const WORKSPACE_PIECES: u64 = 16;
/// End of the pieces that all prompts of a group share.
const GROUP_PIECES: u64 = 48;
const WORKSPACES: u64 = 8;
/// Number of blocks in the index for which the design sets targets of size and speed.
const TARGET_BLOCKS: u64 = 2_600_000;
/// Number of prompts among which each measured decision chooses one.
const SAMPLE_PROMPTS: usize = 20_000;
/// Number of decisions before allocations are counted or times are measured. Also the number of
/// requests over which allocations are counted.
const WARM_UP_DECISIONS: usize = 2_000;
const MODEL_WEIGHTS: WeightsVersion = WeightsVersion(1);
const INCARNATION: IncarnationId = IncarnationId(1);

/// Options of the subcommand.
#[derive(Debug, Clone)]
pub struct DecideOptions {
    /// Number of runs per figure.
    pub runs: usize,
    /// Number of decisions per run.
    pub decisions: usize,
    /// Whether to skip the growth over the numbers of servers and blocks.
    pub targets_only: bool,
    /// File to write the figures to as JSON.
    pub json: PathBuf,
    /// Returns the number of allocations since the start of the process.
    pub allocations: fn() -> usize,
}

/// Measures the figures, prints them as a table and writes them as JSON. Fails if the file cannot
/// be written.
pub fn run(options: &DecideOptions) -> eyre::Result<()> {
    let mut figures = Vec::new();
    measure_target_sizes(options, &mut figures);
    measure_hashing(options, &mut figures);
    if !options.targets_only {
        measure_slopes(options, &mut figures);
    }
    print_table(&figures);
    write_json(&options.json, &figures)
}

/// A router whose index is filled with the prompts to be routed.
struct DecisionBench<P: RoutingPolicy> {
    router: PrefixRouter<P>,
    servers: Vec<ServerKey>,
    model: ModelKey,
    shape: PromptShape,
    sequences: Vec<u64>,
    now: ClockTime,
    rng: SmallRng,
}

/// Numbers of distinct groups and prompts that fill an index of a given size.
#[derive(Debug, Clone, Copy)]
struct PromptShape {
    groups: u64,
    prompts: u64,
}

impl PromptShape {
    fn for_blocks(blocks: u64) -> PromptShape {
        // Two fifths of the blocks are shared by groups; the rest belong to single prompts.
        let groups = (blocks * 2 / 5 / (GROUP_PIECES - WORKSPACE_PIECES)).max(1);
        let prompts = (blocks * 3 / 5 / (PROMPT_PIECES - GROUP_PIECES)).max(1);
        PromptShape { groups, prompts }
    }

    /// Returns the chain of prompt number `prompt`.
    fn chain(&self, prompt: u64) -> PrefixChain {
        let group = prompt % self.groups;
        PrefixChain::from_hashes((0..PROMPT_PIECES).map(|piece| {
            let owner = match piece {
                0..WORKSPACE_PIECES => group % WORKSPACES,
                WORKSPACE_PIECES..GROUP_PIECES => group,
                _ => prompt,
            };
            piece_hash(owner, piece)
        }))
    }
}

/// Returns a hash that depends only on the piece, without the cost of hashing text.
fn piece_hash(owner: u64, piece: u64) -> PieceHash {
    PieceHash::from_raw(SmallRng::seed_from_u64(owner * PROMPT_PIECES + piece).random())
}

impl<P: RoutingPolicy> DecisionBench<P> {
    fn new(servers: usize, blocks: u64) -> DecisionBench<P> {
        let settings =
            RouterSettings { block_capacity: blocks as usize, ..RouterSettings::default() };
        let mut router = PrefixRouter::new(settings, P::Settings::default());
        let model = ModelKey::new(0, 0);
        let servers: Vec<ServerKey> = (0..servers)
            .filter_map(|number| {
                router.upsert_server(&ServerUpdate {
                    address: AddressId::from_address(&format!(
                        "10.0.{}.{}",
                        number / 250,
                        number % 250
                    )),
                    incarnation: INCARNATION,
                    models: &[(model, MODEL_WEIGHTS)],
                    slots: 64,
                })
            })
            .collect();
        let sequences = vec![0; servers.len()];
        let shape = PromptShape::for_blocks(blocks);
        let now = ClockTime::from_millis(60_000);
        let rng = SmallRng::seed_from_u64(7);
        DecisionBench { router, servers, model, shape, sequences, now, rng }
    }

    /// Stores each group and its prompts on one server. Returns the time per piece in nanoseconds.
    fn fill(&mut self) -> f64 {
        let started = Instant::now();
        let mut stored = 0;
        for prompt in 0..self.shape.prompts.max(self.shape.groups) {
            let chain = self.shape.chain(prompt);
            let group = prompt % self.shape.groups;
            let server = group as usize % self.servers.len();
            // The first prompt of a group also stores the shared pieces.
            let from = if prompt < self.shape.groups { 0 } else { GROUP_PIECES as usize };
            let to =
                if prompt < self.shape.prompts { PROMPT_PIECES } else { GROUP_PIECES } as usize;
            self.store_pieces(server, &chain.pieces()[from..to]);
            stored += to - from;
        }
        started.elapsed().as_nanos() as f64 / stored as f64
    }

    fn store_pieces(&mut self, server: usize, pieces: &[PieceHash]) {
        self.sequences[server] += 1;
        let (key, sequence) = (self.servers[server], self.sequences[server]);
        self.router.apply_cache_event(
            self.now,
            key,
            INCARNATION,
            sequence,
            CacheUpdate::Stored(pieces),
        );
    }

    fn sample_chains(&mut self) -> Vec<PrefixChain> {
        let count = SAMPLE_PROMPTS.min(self.shape.prompts as usize);
        (0..count)
            .map(|_| {
                let prompt = self.rng.random_range(0..self.shape.prompts);
                self.shape.chain(prompt)
            })
            .collect()
    }

    /// Routes a request and completes it after the expected time. Returns the duration of the
    /// decision alone, in nanoseconds.
    fn route_request(&mut self, chain: &PrefixChain) -> u64 {
        let request = RouteRequest {
            model: self.model,
            weights: MODEL_WEIGHTS,
            chain,
            class: RequestClass::Short,
            prompt_tokens: chain.len() as u32 * 2_000,
            decode_tokens: 50,
            excluded: &[],
            exclusive: false,
        };
        let started = Instant::now();
        let decision = black_box(self.router.decide(self.now, &request, &mut self.rng));
        let took = started.elapsed().as_nanos() as u64;
        if let Ok(decision) = decision {
            let key = self.router.record_dispatch(self.now, &request, &decision);
            let expected = decision.cost.first_token_ms() as f64;
            self.now = self.now + std::time::Duration::from_micros(50);
            let first = self.now + std::time::Duration::from_micros((expected * 1_000.0) as u64);
            self.router.record_first_token(first, key, None);
            self.router.finish_dispatch(first, key);
        }
        took
    }

    /// Runs decisions for random chains and returns their durations in nanoseconds.
    fn run_decisions(&mut self, chains: &[PrefixChain], decisions: usize) -> Histogram<u64> {
        let mut times = new_latency_histogram();
        for _ in 0..decisions {
            let index = self.rng.random_range(0..chains.len());
            let took = self.route_request(&chains[index]);
            times.saturating_record(took.max(1));
        }
        times
    }
}

fn new_latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 1_000_000_000, 3)
        .unwrap_or_else(|error| unreachable!("the bounds are constant: {error}"))
}

/// Returns the median and the p99 decision time of each run, in microseconds.
fn decision_times<P: RoutingPolicy>(
    bench: &mut DecisionBench<P>,
    options: &DecideOptions,
) -> (Vec<f64>, Vec<f64>) {
    let chains = bench.sample_chains();
    bench.run_decisions(&chains, WARM_UP_DECISIONS);
    (0..options.runs)
        .map(|_| {
            let times = bench.run_decisions(&chains, options.decisions);
            let micros = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
            (micros(0.5), micros(0.99))
        })
        .unzip()
}

/// Measures the sizes for which the design sets targets: 18 and 12,000 servers.
fn measure_target_sizes(options: &DecideOptions, figures: &mut Vec<BenchFigure>) {
    for (servers, target) in [(18, 5.0), (12_000, 25.0)] {
        let mut bench = DecisionBench::<CostPolicy>::new(servers, TARGET_BLOCKS);
        let fill = bench.fill();
        let (median, p99) = decision_times(&mut bench, options);
        let name = |what: &str| format!("{what}, {servers} servers");
        let p50 = BenchFigure::new(name("decision p50"), "us", median).with_target(target);
        let mut baseline = DecisionBench::<LeastLoaded>::new(servers, TARGET_BLOCKS);
        let (baseline_p50, _) = decision_times(&mut baseline, options);
        let baseline_p50 =
            BenchFigure::new(name("least loaded p50 (baseline)"), "us", baseline_p50);
        let ratio = vec![p50.median / baseline_p50.median];
        figures.push(p50);
        figures.push(BenchFigure::new(name("decision p99"), "us", p99));
        figures.push(baseline_p50);
        figures.push(BenchFigure::new(name("decision / baseline"), "ratio", ratio));
        measure_allocations(&mut bench, options, servers, figures);
        if servers == 18 {
            figures.push(BenchFigure::new("fill by 16-piece events", "ns/piece", vec![fill]));
            measure_index(&mut bench, options, figures);
        }
    }
}

/// Counts allocations per request after a warm-up.
fn measure_allocations(
    bench: &mut DecisionBench<CostPolicy>,
    options: &DecideOptions,
    servers: usize,
    figures: &mut Vec<BenchFigure>,
) {
    let chains = bench.sample_chains();
    bench.run_decisions(&chains, WARM_UP_DECISIONS);
    let counts = (0..options.runs).map(|_| {
        let before = (options.allocations)();
        for index in 0..WARM_UP_DECISIONS {
            bench.route_request(&chains[index % chains.len()]);
        }
        ((options.allocations)() - before) as f64 / WARM_UP_DECISIONS as f64
    });
    let name = format!("allocations per request, {servers} servers");
    figures.push(BenchFigure::new(name, "count", counts.collect()).with_target(0.0));
}

/// Measures bytes per block, how many records the filled index holds and has replaced, and the time
/// to apply a cache event.
fn measure_index(
    bench: &mut DecisionBench<CostPolicy>,
    options: &DecideOptions,
    figures: &mut Vec<BenchFigure>,
) {
    let bytes = bench.router.state().index.bytes() as f64 / TARGET_BLOCKS as f64;
    let bytes = BenchFigure::new("index bytes a block at 2.6 M", "bytes", vec![bytes]);
    figures.push(bytes.with_target(BLOCK_BYTES_MAX as f64));
    let index = &bench.router.state().index;
    let kept = index.occupied() as f64 / TARGET_BLOCKS as f64;
    figures.push(BenchFigure::new("records in use / capacity after fill", "ratio", vec![kept]));
    let evicted = index.counters().evicted as f64 / TARGET_BLOCKS as f64;
    figures.push(BenchFigure::new("records replaced / capacity", "ratio", vec![evicted]));
    let events = options.decisions;
    let times = (0..options.runs).map(|run| {
        let pieces: Vec<PieceHash> =
            (0..events).map(|n| piece_hash((run * events + n) as u64, PROMPT_PIECES + 1)).collect();
        let started = Instant::now();
        for (number, piece) in pieces.iter().enumerate() {
            bench.store_pieces(number % bench.servers.len(), std::slice::from_ref(piece));
        }
        started.elapsed().as_nanos() as f64 / events as f64 / 1_000.0
    });
    let times = times.collect();
    figures.push(BenchFigure::new("event ingest, one piece", "us", times).with_target(1.0));
}

/// Measures the time to hash a prompt of 64 pieces of 8 KB, which is not part of the decision.
fn measure_hashing(options: &DecideOptions, figures: &mut Vec<BenchFigure>) {
    const PIECE_BYTES: usize = 8_000;
    let salt = ChainSalt::new("a", "m", MODEL_WEIGHTS);
    let prompt = vec![7; PIECE_BYTES * PROMPT_PIECES as usize];
    let mut chain = PrefixChain::new();
    let times = (0..options.runs).map(|_| {
        let started = Instant::now();
        for _ in 0..100 {
            chain.rebuild(&salt, black_box(&prompt), PIECE_BYTES);
        }
        started.elapsed().as_secs_f64() * 1e6 / 100.0
    });
    let times = times.collect();
    figures.push(BenchFigure::new("hash of 64 pieces of 8 KB", "us", times));
}

/// Measures how decision time grows with the number of servers and with the number of blocks.
fn measure_slopes(options: &DecideOptions, figures: &mut Vec<BenchFigure>) {
    let mut slope = |name: &str, sizes: &[(u64, usize, u64)]| {
        let mut points = Vec::new();
        for &(size, servers, blocks) in sizes {
            let mut bench = DecisionBench::<CostPolicy>::new(servers, blocks);
            bench.fill();
            let (median, _) = decision_times(&mut bench, options);
            let figure = BenchFigure::new(format!("decision p50, {size} {name}"), "us", median);
            points.push((size as f64, figure.median));
            figures.push(figure);
        }
        let value = log_slope(&points);
        figures.push(BenchFigure::new(format!("slope over {name}"), "log/log", vec![value]));
    };
    let servers = [10, 100, 1_000, 10_000].map(|n| (n, n as usize, 1_000_000));
    slope("servers", &servers);
    let blocks = [10_000, 100_000, 1_000_000, 10_000_000].map(|n| (n, 18, n));
    slope("blocks", &blocks);
}
