//! Tables over `PermitRegistry`.

use carobvane_core::{
    claims::{
        MAX_OPEN_PERMITS, PERMIT_LIFETIME, Permit, PermitError, PermitRegistry, RedeemOutcome,
    },
    clock::ClockTime,
    ids::{IncarnationId, NodeId, NodeIncarnation},
};

const FLEET_KEY: [u8; 32] = [3; 32];

fn registry(node: u32, incarnation: u64) -> PermitRegistry {
    let life = NodeIncarnation { node: NodeId(node), incarnation: IncarnationId(incarnation) };
    PermitRegistry::new(life, FLEET_KEY)
}

/// Guards against a permit that runs twice, at another entry, in another life or workspace.
#[test]
fn permit_runs_once_where_it_was_issued() {
    struct Case {
        name: &'static str,
        registry: PermitRegistry,
        workspace: &'static str,
        outcomes: [RedeemOutcome; 2],
    }
    let mut issuer = registry(1, 5);
    let permit = issuer.issue("irazabal", ClockTime::ZERO).expect("the registry has room");
    let elsewhere = RedeemOutcome::IssuedElsewhere(NodeId(1));
    let foreign = PermitRegistry::new(permit.issuer, [4; 32]);
    let cases = [
        Case {
            name: "issuer",
            registry: issuer,
            workspace: "irazabal",
            outcomes: [RedeemOutcome::Run, RedeemOutcome::AlreadyRedeemed],
        },
        Case {
            name: "another entry",
            registry: registry(2, 5),
            workspace: "irazabal",
            outcomes: [elsewhere; 2],
        },
        Case {
            name: "a later life",
            registry: registry(1, 6),
            workspace: "irazabal",
            outcomes: [RedeemOutcome::IssuerRestarted; 2],
        },
        Case {
            name: "another workspace",
            registry: registry(1, 5),
            workspace: "kelani",
            outcomes: [RedeemOutcome::Invalid; 2],
        },
        Case {
            name: "another fleet",
            registry: foreign,
            workspace: "irazabal",
            outcomes: [RedeemOutcome::Invalid; 2],
        },
    ];
    for mut case in cases {
        // The text form keeps every field.
        let permit = permit.to_string().parse::<Permit>().expect("a permit's text parses");
        let outcomes = [0, 1].map(|_| case.registry.redeem(&permit, case.workspace));
        assert_eq!(outcomes, case.outcomes, "{}", case.name);
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
    let mut registry = registry(1, 5);
    let permits = (0..MAX_OPEN_PERMITS)
        .map(|_| registry.issue("irazabal", ClockTime::ZERO).expect("the registry has room"))
        .collect::<Vec<_>>();
    assert_eq!(registry.redeem(&permits[0], "irazabal"), RedeemOutcome::Run);
    assert_eq!(registry.issue("irazabal", ClockTime::ZERO), Err(PermitError::Full));
    let later = ClockTime::ZERO + PERMIT_LIFETIME;
    let newest = registry.issue("irazabal", later).expect("the oldest block has expired");
    for spent in [&permits[0], &permits[63]] {
        assert_eq!(registry.redeem(spent, "irazabal"), RedeemOutcome::AlreadyRedeemed);
    }
    for valid in [&permits[64], &newest] {
        assert_eq!(registry.redeem(valid, "irazabal"), RedeemOutcome::Run);
    }
}

/// Guards against a permit that is lost although no byte of its request left the entry.
#[test]
fn restored_permit_runs_once_more() {
    let mut registry = registry(1, 5);
    let permit = registry.issue("irazabal", ClockTime::ZERO).expect("the registry has room");
    assert_eq!(registry.redeem(&permit, "irazabal"), RedeemOutcome::Run);
    registry.restore(&permit);
    let outcomes = [0, 1].map(|_| registry.redeem(&permit, "irazabal"));
    assert_eq!(outcomes, [RedeemOutcome::Run, RedeemOutcome::AlreadyRedeemed]);
}
