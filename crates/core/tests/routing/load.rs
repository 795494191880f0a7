//! Tests how decisions account for requests of other entries and for slow servers.

use std::time::Duration;

use super::*;

/// Guards against a slow server that keeps its share of the traffic until its load report shows the
/// slowness, and against a recovered server that receives no more traffic.
#[test]
fn straggler_loses_traffic_and_recovers_by_probes() {
    let mut fleet = Fleet::<CostPolicy>::new(6);
    let slow = fleet.servers[2];
    let mut counts = [0u32; 3];
    for round in 0..900u64 {
        let phase = (round / 300) as usize;
        let prompt: Vec<u8> = round.to_le_bytes().repeat(32);
        let salt = ChainSalt::new("a", "m", WEIGHTS);
        let chain = PrefixChain::from_prompt(&salt, &prompt, PIECE_BYTES);
        let decision = fleet.decide(&chain).expect("five servers are fast");
        let request = fleet.request(&chain, RequestClass::Short);
        let key = fleet.router.record_dispatch(fleet.now, &request, &decision);
        counts[phase] += u32::from(decision.server == slow);
        let slowed = decision.server == slow && phase == 1;
        let took = decision.cost.first_token_ms() * if slowed { 6.0 } else { 1.0 };
        fleet.advance(took.max(1.0) as u64);
        fleet.router.record_first_token(fleet.now, key, None);
        fleet.advance(20);
        fleet.router.finish_dispatch(fleet.now, key);
    }
    let [before, during, after] = counts;
    assert!(during * 2 < before, "straggler got {during} of 300, normally {before}");
    assert!(after > during, "recovered server got {after} of 300, as straggler {during}");
}

/// Guards against detecting engines as stragglers because they compute prompts between the tokens
/// of their streams. At peak load this excluded half of a fleet for as long as one stream ran.
#[test]
fn prefilling_engine_is_not_a_straggler() {
    struct Case {
        name: &'static str,
        own_prompt: bool,
        reported_tokens: u64,
        is_straggler: bool,
    }
    let cases = [
        Case { name: "idle", own_prompt: false, reported_tokens: 0, is_straggler: true },
        Case { name: "own prompt", own_prompt: true, reported_tokens: 0, is_straggler: false },
        Case {
            name: "prompts of other entries",
            own_prompt: false,
            reported_tokens: 24_000,
            is_straggler: false,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::<CostPolicy>::new(4);
        let chain = chain("a", WEIGHTS, 4);
        let mut streams = Vec::new();
        for _ in 0..4 {
            let decision = fleet.decide(&chain).expect("servers are idle");
            let request = fleet.request(&chain, RequestClass::Short);
            for server in fleet.servers.clone() {
                let decision = RouteDecision { server, ..decision };
                let key = fleet.router.record_dispatch(fleet.now, &request, &decision);
                fleet.advance(decision.cost.first_token_ms().max(5.0) as u64);
                fleet.router.record_first_token(fleet.now, key, None);
                streams.push((server, key));
            }
        }
        fleet.advance(2_000);
        let busy = fleet.servers[0];
        let is_straggler = |fleet: &Fleet| {
            let record = fleet.router.table().get(busy);
            record.is_some_and(|record| record.straggler.is_straggler())
        };
        assert!(!is_straggler(&fleet), "{}: before the gaps", case.name);
        if case.own_prompt {
            let decision = fleet.decide(&chain).expect("servers are idle");
            let decision = RouteDecision { server: busy, hit_pieces: 0, ..decision };
            let request = fleet.request(&chain, RequestClass::Short);
            fleet.router.record_dispatch(fleet.now, &request, &decision);
        }
        let report = ReportedLoad { running: 4, waiting: 1, waiting_tokens: case.reported_tokens };
        fleet.router.apply_load_report(fleet.now, busy, IncarnationId(1), report);
        for _ in 0..20 {
            fleet.advance(100);
            for &(server, key) in &streams {
                let gap = if server == busy { 32 } else { 9 };
                fleet.router.record_token_gap(fleet.now, key, Duration::from_millis(gap));
            }
        }
        assert_eq!(is_straggler(&fleet), case.is_straggler, "{}", case.name);
    }
}

/// Guards against entries that compute one prefix on several servers, or queue behind each other,
/// because each learns of the other's requests only after their prompts were computed.
#[test]
fn announced_requests_count_as_load() {
    struct Case {
        name: &'static str,
        incarnation: u64,
        reported_after_ms: Option<u64>,
        announces_pieces: bool,
        held: u16,
        waits: bool,
    }
    let announced = Case {
        name: "announced",
        incarnation: 1,
        reported_after_ms: None,
        announces_pieces: true,
        held: 4,
        waits: true,
    };
    let cases = [
        Case { name: "another incarnation", incarnation: 9, held: 0, waits: false, ..announced },
        Case { name: "other prompt", announces_pieces: false, held: 0, ..announced },
        Case { name: "report without it", reported_after_ms: Some(50), ..announced },
        Case { name: "report with it", reported_after_ms: Some(600), waits: false, ..announced },
        announced,
    ];
    for case in cases {
        let mut fleet = Fleet::<CostPolicy>::new(1);
        let chain = chain("a", WEIGHTS, 4);
        let request = fleet.request(&chain, RequestClass::Short);
        let decision = fleet.decide(&chain).expect("the server is idle");
        let mut other = Fleet::<CostPolicy>::new(1);
        let key = other.router.record_dispatch(other.now, &request, &decision);
        let mut notice =
            other.router.placement_notice(key, &chain).expect("the request is in flight");
        notice.incarnation = IncarnationId(case.incarnation);
        if !case.announces_pieces {
            notice.pieces.clear();
        }
        fleet.router.apply_placement_notice(fleet.now, &notice);
        if let Some(millis) = case.reported_after_ms {
            fleet.advance(millis);
            let load = ReportedLoad::default();
            fleet.router.apply_load_report(fleet.now, fleet.servers[0], IncarnationId(1), load);
        }
        let decision = fleet.decide(&chain).expect("the server has slots");
        assert_eq!(decision.hit_pieces, case.held, "{}", case.name);
        assert_eq!(decision.cost.queue > 100.0, case.waits, "{}", case.name);
    }
}

/// Guards against refusing a request because the only remaining server is a straggler or full. A
/// straggler must be used, and for a full server the request must wait.
#[test]
fn last_server_is_used_or_request_waits() {
    struct Case {
        name: &'static str,
        in_flight: usize,
        is_saturated: bool,
    }
    let cases = [
        Case { name: "straggler with a slot", in_flight: 0, is_saturated: false },
        Case { name: "straggler without a slot", in_flight: 64, is_saturated: true },
    ];
    for case in cases {
        let mut fleet = Fleet::<CostPolicy>::new(3);
        let chain = chain("a", WEIGHTS, 0);
        let excluded = [fleet.servers[0], fleet.servers[1]];
        let request =
            RouteRequest { excluded: &excluded, ..fleet.request(&chain, RequestClass::Short) };
        let slow = fleet.router.decide(fleet.now, &request, &mut fleet.rng).unwrap();
        for _ in 0..20 {
            let key = fleet.router.record_dispatch(fleet.now, &request, &slow);
            fleet.advance(5_000);
            fleet.router.record_first_token(fleet.now, key, None);
            fleet.router.finish_dispatch(fleet.now, key);
        }
        for _ in 0..case.in_flight {
            fleet.router.record_dispatch(fleet.now, &request, &slow);
        }
        let refusal = fleet.router.decide(fleet.now, &request, &mut fleet.rng).err();
        let is_saturated = matches!(refusal, Some(RouteRefusal::Saturated { .. }));
        assert_eq!(is_saturated, case.is_saturated, "{}: {refusal:?}", case.name);
        assert_eq!(refusal.is_some(), case.is_saturated, "{}: {refusal:?}", case.name);
    }
}
