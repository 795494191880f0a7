//! Tests of `SuspectRegistry`, mostly as tables of cases.

use carobvane_core::{
    clock::ClockTime,
    ids::NodeId,
    suspects::{
        EndReason, MAX_SUSPECTS, REPORT_TIMEOUT, SUSPECT_LIFETIME, ServerCrash, ServerIncarnation,
        SuspectAdmission, SuspectEffect, SuspectFingerprint, SuspectMessage, SuspectRegistry,
    },
};

const PEER: NodeId = NodeId(2);

fn suspect(name: &str) -> SuspectFingerprint {
    SuspectFingerprint::new("irazabal", name.as_bytes())
}

fn crash(name: &str, server: &str, incarnation: u64) -> ServerCrash {
    let server = ServerIncarnation::new(server, incarnation);
    ServerCrash { fingerprint: suspect(name), server, round: 1 }
}

fn record_local_crash(registry: &mut SuspectRegistry, crash: ServerCrash) -> Vec<SuspectEffect> {
    let mut effects = Vec::new();
    let (suspects, server) = (crash.fingerprint.into(), crash.server);
    registry.start_run(&suspects, server);
    registry.end_run(&suspects, server, EndReason::Crashed, ClockTime::ZERO, &mut effects);
    effects
}

/// Returns whether the request `r` may run.
fn admit(registry: &SuspectRegistry) -> SuspectAdmission {
    registry.admit(ClockTime::ZERO, &suspect("r").into(), |_| 0)
}

fn receive(registry: &mut SuspectRegistry, message: SuspectMessage) -> Vec<SuspectEffect> {
    let mut effects = Vec::new();
    registry.receive(PEER, message, ClockTime::ZERO, &mut effects);
    effects
}

/// Guards against counting one death twice, and against admitting a request after two crashes.
#[test]
fn admission_depends_on_crash_count() {
    struct Case {
        name: &'static str,
        own: Vec<ServerCrash>,
        reported: Vec<ServerCrash>,
        admission: SuspectAdmission,
    }
    let (one, two) = (crash("r", "a", 1), crash("r", "b", 1));
    let cases = [
        Case {
            name: "another request",
            own: vec![crash("other", "a", 1)],
            reported: vec![crash("third", "a", 1)],
            admission: SuspectAdmission::Run,
        },
        Case {
            name: "one crash here",
            own: vec![one],
            reported: vec![],
            admission: SuspectAdmission::RunAlone,
        },
        Case {
            name: "one crash elsewhere, reported twice",
            own: vec![],
            reported: vec![one, one],
            admission: SuspectAdmission::RunAlone,
        },
        Case {
            name: "the same death seen by two entries",
            own: vec![one],
            reported: vec![one],
            admission: SuspectAdmission::RunAlone,
        },
        Case {
            name: "two deaths of one server",
            own: vec![one],
            reported: vec![crash("r", "a", 2)],
            admission: SuspectAdmission::Reject,
        },
        Case {
            name: "two servers",
            own: vec![],
            reported: vec![one, two],
            admission: SuspectAdmission::Reject,
        },
    ];
    for case in cases {
        let mut registry = SuspectRegistry::new();
        for crash in case.own {
            record_local_crash(&mut registry, crash);
        }
        for crash in case.reported {
            receive(&mut registry, SuspectMessage::Report { id: 0, crashes: vec![crash] });
        }
        assert_eq!(admit(&registry), case.admission, "{}", case.name);
    }
}

/// Guards against running a suspect twice at the same time, and against keeping its crashes after a
/// complete answer or after an answer that shows that the server is alive.
#[test]
fn crashes_are_withdrawn() {
    struct Case {
        name: &'static str,
        end: fn(&mut SuspectRegistry, &mut Vec<SuspectEffect>),
    }
    let cases = [
        Case {
            name: "completed elsewhere",
            end: |registry, effects| {
                let (again, server) = (suspect("r").into(), ServerIncarnation::new("b", 1));
                registry.start_run(&again, server);
                assert_eq!(admit(registry), SuspectAdmission::Busy);
                registry.end_run(&again, server, EndReason::Completed, ClockTime::ZERO, effects);
            },
        },
        Case {
            name: "server alive",
            end: |registry, effects| {
                let server = ServerIncarnation::new("a", 1);
                // This answer may have been sent before the server died.
                registry.record_server_alive(server, ClockTime::ZERO, ClockTime::ZERO, effects);
                assert_eq!(admit(registry), SuspectAdmission::RunAlone);
                let sent = ClockTime::from_millis(1);
                registry.record_server_alive(server, sent, sent, effects);
            },
        },
    ];
    for case in cases {
        let mut registry = SuspectRegistry::new();
        registry.set_peers(vec![PEER], &mut Vec::new());
        record_local_crash(&mut registry, crash("r", "a", 1));
        let mut effects = Vec::new();
        (case.end)(&mut registry, &mut effects);
        assert_eq!(admit(&registry), SuspectAdmission::Run, "{}", case.name);
        let message = SuspectMessage::Withdraw { crashes: vec![crash("r", "a", 1)] };
        assert_eq!(effects, [SuspectEffect::Send { to: PEER, message }], "{}", case.name);
        // A delayed report of the same crash must not count it again.
        let late = SuspectMessage::Report { id: 0, crashes: vec![crash("r", "a", 1)] };
        receive(&mut registry, late);
        assert_eq!(admit(&registry), SuspectAdmission::Run, "{}", case.name);
    }
}

/// Guards against telling a caller of the failure before the other entries know of the crash, and
/// against waiting for acknowledgements forever.
#[test]
fn report_is_closed() {
    struct Case {
        name: &'static str,
        close: fn(&mut SuspectRegistry, &mut Vec<SuspectEffect>),
        everywhere: bool,
    }
    let cases = [
        Case {
            name: "acknowledged",
            close: |registry, effects| {
                let message = SuspectMessage::Acknowledge { id: 1, crashes: vec![] };
                registry.receive(PEER, message, ClockTime::ZERO, effects);
            },
            everywhere: true,
        },
        Case {
            name: "peer left",
            close: |registry, effects| registry.set_peers(vec![], effects),
            everywhere: true,
        },
        Case {
            name: "no answer",
            close: |registry, effects| registry.tick(ClockTime::ZERO + REPORT_TIMEOUT, effects),
            everywhere: false,
        },
    ];
    for case in cases {
        let mut registry = SuspectRegistry::new();
        registry.set_peers(vec![PEER], &mut Vec::new());
        let sent = record_local_crash(&mut registry, crash("r", "a", 1));
        let message = SuspectMessage::Report { id: 1, crashes: vec![crash("r", "a", 1)] };
        assert_eq!(sent, [SuspectEffect::Send { to: PEER, message }], "{}", case.name);
        assert!(registry.is_report_pending(1), "{}", case.name);
        let mut effects = Vec::new();
        (case.close)(&mut registry, &mut effects);
        let closed =
            SuspectEffect::ReportClosed { report: 1, acknowledged_by_all: case.everywhere };
        assert_eq!(effects, [closed], "{}", case.name);
    }
}

/// Guards against a restarted entry that admits a request which the other entries reject.
#[test]
fn acknowledgement_contains_known_crashes() {
    let mut old = SuspectRegistry::new();
    record_local_crash(&mut old, crash("r", "a", 1));
    let report = SuspectMessage::Report { id: 9, crashes: vec![crash("r", "b", 1)] };
    let reply = receive(&mut old, report);
    let [SuspectEffect::Send { message, .. }] = &reply[..] else { panic!("{reply:?}") };
    let mut new = SuspectRegistry::new();
    record_local_crash(&mut new, crash("r", "b", 1));
    receive(&mut new, message.clone());
    assert_eq!(admit(&new), SuspectAdmission::Reject);
    let mut joined = Vec::new();
    old.sync_peer(PEER, &mut joined);
    let [SuspectEffect::Send { message, .. }] = &joined[..] else { panic!("{joined:?}") };
    let mut third = SuspectRegistry::new();
    receive(&mut third, message.clone());
    assert_eq!(admit(&third), SuspectAdmission::Reject);
}

/// Guards against unbounded memory use.
#[test]
fn registry_is_bounded_and_expires_suspects() {
    let mut registry = SuspectRegistry::new();
    for number in 0..MAX_SUSPECTS + 10 {
        record_local_crash(&mut registry, crash(&number.to_string(), "a", 1));
    }
    assert_eq!(registry.len(), MAX_SUSPECTS);
    registry.tick(ClockTime::ZERO + SUSPECT_LIFETIME, &mut Vec::new());
    assert!(registry.is_empty());
}

/// Guards against a request that crashes servers again because requests that merely ran beside
/// others took its place.
#[test]
fn full_registry_keeps_requests_with_the_most_crashes() {
    let mut registry = SuspectRegistry::new();
    record_local_crash(&mut registry, crash("r", "a", 1));
    record_local_crash(&mut registry, crash("r", "b", 1));
    let mut effects = Vec::new();
    for number in 0..MAX_SUSPECTS {
        let crashes = vec![crash(&number.to_string(), "c", 1)];
        let report = SuspectMessage::Report { id: 0, crashes };
        registry.receive(PEER, report, ClockTime::from_millis(1), &mut effects);
    }
    assert_eq!(registry.len(), MAX_SUSPECTS);
    assert_eq!(admit(&registry), SuspectAdmission::Reject);
}

/// Guards against a request that is admitted again because crashes beyond the limit were not
/// recorded and an earlier one is withdrawn.
#[test]
fn crash_beyond_the_limit_replaces_a_withdrawn_one() {
    let mut registry = SuspectRegistry::new();
    for server in ["a", "b", "c"] {
        record_local_crash(&mut registry, crash("r", server, 1));
    }
    let withdrawn = SuspectMessage::Withdraw { crashes: vec![crash("r", "a", 1)] };
    receive(&mut registry, withdrawn);
    assert_eq!(admit(&registry), SuspectAdmission::Reject);
}
