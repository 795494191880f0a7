//! Tables over `PermitLedger`.

use carobvane_core::{
    claims::{MAX_OPEN_PERMITS, PERMIT_LIFETIME, Permit, PermitError, PermitLedger, PermitVerdict},
    clock::ClockTime,
    ids::{IncarnationId, NodeId, NodeIncarnation},
};

const FLEET_KEY: [u8; 32] = [3; 32];

fn ledger(node: u32, incarnation: u64) -> PermitLedger {
    let life = NodeIncarnation { node: NodeId(node), incarnation: IncarnationId(incarnation) };
    PermitLedger::new(life, FLEET_KEY)
}

/// Guards against a permit that runs twice, at another entry, in another life or workspace.
#[test]
fn permit_runs_once_where_it_was_issued() {
    struct Case {
        name: &'static str,
        ledger: PermitLedger,
        workspace: &'static str,
        verdicts: [PermitVerdict; 2],
    }
    let mut issuer = ledger(1, 5);
    let permit = issuer.issue("irazabal", ClockTime::ZERO).expect("the ledger has room");
    let elsewhere = PermitVerdict::Elsewhere(NodeId(1));
    let foreign = PermitLedger::new(permit.issuer, [4; 32]);
    let cases = [
        Case {
            name: "issuer",
            ledger: issuer,
            workspace: "irazabal",
            verdicts: [PermitVerdict::Run, PermitVerdict::Spent],
        },
        Case {
            name: "another entry",
            ledger: ledger(2, 5),
            workspace: "irazabal",
            verdicts: [elsewhere; 2],
        },
        Case {
            name: "a later life",
            ledger: ledger(1, 6),
            workspace: "irazabal",
            verdicts: [PermitVerdict::IssuerGone; 2],
        },
        Case {
            name: "another workspace",
            ledger: ledger(1, 5),
            workspace: "kelani",
            verdicts: [PermitVerdict::Invalid; 2],
        },
        Case {
            name: "another fleet",
            ledger: foreign,
            workspace: "irazabal",
            verdicts: [PermitVerdict::Invalid; 2],
        },
    ];
    for mut case in cases {
        // The text form keeps every field.
        let permit = permit.to_string().parse::<Permit>().expect("a permit's text parses");
        let verdicts = [0, 1].map(|_| case.ledger.redeem(&permit, case.workspace));
        assert_eq!(verdicts, case.verdicts, "{}", case.name);
    }
}

/// Guards against text that is accepted although it is no permit.
#[test]
fn malformed_text_is_refused() {
    for text in ["", "1-2-3", "1-2-3-4", "a-2-3-00", "1-2-3-4-5"] {
        assert_eq!(text.parse::<Permit>(), Err(PermitError::Malformed), "{text:?}");
    }
}

/// Guards against unbounded memory, and against a spent permit that becomes valid again when its
/// block leaves memory.
#[test]
fn ledger_is_bounded() {
    let mut ledger = ledger(1, 5);
    let permits = (0..MAX_OPEN_PERMITS)
        .map(|_| ledger.issue("irazabal", ClockTime::ZERO).expect("the ledger has room"))
        .collect::<Vec<_>>();
    assert_eq!(ledger.redeem(&permits[0], "irazabal"), PermitVerdict::Run);
    assert_eq!(ledger.issue("irazabal", ClockTime::ZERO), Err(PermitError::Full));
    let later = ClockTime::ZERO + PERMIT_LIFETIME;
    let newest = ledger.issue("irazabal", later).expect("the oldest block has expired");
    for spent in [&permits[0], &permits[63]] {
        assert_eq!(ledger.redeem(spent, "irazabal"), PermitVerdict::Spent);
    }
    for valid in [&permits[64], &newest] {
        assert_eq!(ledger.redeem(valid, "irazabal"), PermitVerdict::Run);
    }
}

/// Guards against a permit that is lost although no byte of its request left the entry.
#[test]
fn restored_permit_runs_once_more() {
    let mut ledger = ledger(1, 5);
    let permit = ledger.issue("irazabal", ClockTime::ZERO).expect("the ledger has room");
    assert_eq!(ledger.redeem(&permit, "irazabal"), PermitVerdict::Run);
    ledger.restore(&permit);
    let verdicts = [0, 1].map(|_| ledger.redeem(&permit, "irazabal"));
    assert_eq!(verdicts, [PermitVerdict::Run, PermitVerdict::Spent]);
}
