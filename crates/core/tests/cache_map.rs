//! What a node knows of the parts that engines and stores hold.

use std::time::Duration;

use carobvane_core::{
    arena::KeyArena,
    clock::ClockTime,
    ids::ServerKey,
    traffic::{CacheConfidence, CacheMap, PromptPart, PromptShape, StoreId},
};

const SALT: u64 = 77;
const CONFIRMED: CacheConfidence = CacheConfidence::Confirmed;
const EXPECTED: CacheConfidence = CacheConfidence::Expected;

fn servers() -> Vec<ServerKey> {
    let mut arena: KeyArena<ServerKey, ()> = KeyArena::default();
    (0..2).map(|_| arena.insert(())).collect()
}

fn prompt(id: u64) -> PromptShape {
    let part = |id: u64, tokens: u32| PromptPart { id, tokens };
    PromptShape {
        parts: [part(id, 100), part(1 << 40, 10)].into_iter().collect(),
        prompt_tokens: 110,
        max_output_tokens: 9,
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A request with this number is sent.
    Sent(u64),
    /// It gets a response.
    Answered(u64),
    /// It ends without having run.
    Failed(u64),
    /// An event says whether the part is cached.
    Event(bool),
    Wait(u64),
}

/// Guards against prefixes that are computed again although they are cached, since their entries expired,
/// and against entries of requests that never ran, which keep a server from a fetch.
#[test]
fn entries_follow_what_requests_and_events_show() {
    use Step::{Answered, Event, Failed, Sent, Wait};
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        /// Tokens that are expected, and that are known, to be cached.
        expected: u32,
        confirmed: u32,
    }
    let case = |name, steps, expected, confirmed| Case { name, steps, expected, confirmed };
    let cases = [
        case("sent", &[Sent(1)], 100, 0),
        case("answered", &[Sent(1), Answered(1)], 100, 100),
        case("rejected", &[Sent(1), Failed(1)], 0, 0),
        case("one of two rejected", &[Sent(1), Sent(2), Failed(1)], 100, 0),
        case("both rejected", &[Sent(1), Sent(2), Failed(1), Failed(2)], 0, 0),
        case("rejected later", &[Sent(1), Answered(1), Sent(2), Failed(2)], 100, 100),
        case("rejected at first", &[Sent(1), Failed(1), Sent(2), Answered(2)], 100, 100),
        case("told twice", &[Sent(1), Sent(1), Failed(1)], 0, 0),
        case("unused for a minute", &[Sent(1), Answered(1), Wait(60_000)], 100, 100),
        case("unused for long", &[Sent(1), Answered(1), Wait(90_000)], 0, 0),
        case("no answer for long", &[Sent(1), Wait(20_000)], 0, 0),
        case("evicted", &[Sent(1), Answered(1), Wait(60_000), Event(false)], 0, 0),
        case("event before the answer", &[Sent(1), Event(true), Failed(1)], 100, 100),
    ];
    for case in cases {
        let (mut map, server) = (CacheMap::default(), servers()[0]);
        let mut now = ClockTime::from_millis(50_000);
        let prompt = prompt(5);
        for step in case.steps {
            match *step {
                Sent(number) => map.on_sent(now, server, number, SALT, prompt.shared_parts()),
                Answered(number) => {
                    map.record(now, server, SALT, prompt.shared_parts(), CONFIRMED);
                    map.on_ended(server, number);
                }
                Failed(number) => map.on_ended(server, number),
                Event(held) => drop(map.apply_events(now, server, [(5 ^ SALT, held)].into_iter())),
                Wait(ms) => now = now + Duration::from_millis(ms),
            }
        }
        let tokens = |least| map.cached_tokens(now, server, SALT, &prompt, least);
        assert_eq!(tokens(EXPECTED), case.expected, "{}", case.name);
        assert_eq!(tokens(CONFIRMED), case.confirmed, "{}", case.name);
    }
}

/// Guards against new prefixes that are recorded nowhere once the map is full, by requests and by events.
#[test]
fn a_full_map_drops_what_was_not_used_lately() {
    for by_events in [false, true] {
        let (mut map, server) = (CacheMap::default(), servers()[0]);
        let at = |id: u64| ClockTime::from_millis(50_000 + id / 20);
        let count = 150_000_u64;
        for id in 0..count {
            match by_events {
                true => {
                    drop(map.apply_events(at(id), server, [(id ^ SALT, true)].into_iter()));
                }
                false => map.record(at(id), server, SALT, prompt(id).shared_parts(), CONFIRMED),
            }
        }
        let now = at(count);
        let is_held = |id: u64| map.cached_tokens(now, server, SALT, &prompt(id), CONFIRMED) > 0;
        assert!((count - 50_000..count).all(is_held), "the newest are known");
        let held = (0..count).filter(|id| is_held(*id)).count();
        assert!(held <= 65_536, "{held} entries");
    }
}

/// Guards against records of a server or store that outlive it.
#[test]
fn records_of_one_place_are_dropped_alone() {
    let (mut map, servers) = (CacheMap::default(), servers());
    let now = ClockTime::from_millis(50_000);
    let prompt = prompt(5);
    for server in &servers {
        map.record(now, *server, SALT, prompt.shared_parts(), CONFIRMED);
    }
    for store in [StoreId(1), StoreId(2)] {
        map.record_stored(now, store, SALT, prompt.shared_parts());
    }
    let held = map.confirmed_parts(servers[0]);
    assert_eq!(held, [5 ^ SALT]);
    map.apply_events(now, servers[0], held.into_iter().map(|part| (part, false)));
    map.clear_store(StoreId(1));
    let cached = |server| map.cached_tokens(now, server, SALT, &prompt, EXPECTED);
    assert_eq!((cached(servers[0]), cached(servers[1])), (0, 100));
    let stored = |store| map.stored_tokens(now, StoreId(store), SALT, &prompt);
    assert_eq!((stored(1), stored(2)), (0, 100));
}
