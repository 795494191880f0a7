//! Tests of `PermitRegistry`.

use carobvane_core::{
    claims::{
        MAX_OPEN_PERMITS, PERMIT_LIFETIME, Permit, PermitError, PermitRegistry, RedeemOutcome,
    },
    clock::ClockTime,
    ids::{IncarnationId, NodeId, NodeIncarnation},
};

const FLEET_KEY: [u8; 32] = [3; 32];

fn registry(node: u32, incarnation: u64) -> PermitRegistry {
    let own = NodeIncarnation { node: NodeId(node), incarnation: IncarnationId(incarnation) };
    PermitRegistry::new(own, FLEET_KEY)
}

/// Guards against a permit that lets a request run twice, at another entry, after a restart of its
/// issuer, or for another workspace or fleet.
#[test]
fn permit_runs_once_where_it_was_issued() {
    struct Case {
        name: &'static str,
        registry: PermitRegistry,
        workspace: &'static str,
        outcomes: [RedeemOutcome; 2],
    }
    let mut issuer = registry(1, 5);
    let permit = issuer.issue("irazabal", ClockTime::ZERO).expect("the registry issues a permit");
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
            name: "a later incarnation",
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
        // The text form must preserve every field.
        let permit = permit.to_string().parse::<Permit>().expect("a permit's text parses");
        let outcomes = [0, 1].map(|_| case.registry.redeem(&permit, case.workspace));
        assert_eq!(outcomes, case.outcomes, "{}", case.name);
    }
}

/// Guards against malformed text that is accepted as a permit.
#[test]
fn malformed_text_is_rejected() {
    for text in ["", "1-2-3", "1-2-3-4", "a-2-3-00", "1-2-3-4-5"] {
        assert_eq!(text.parse::<Permit>(), Err(PermitError::Malformed), "{text:?}");
    }
}

/// Guards against unbounded memory, and against a permit that can be redeemed again, or for the
/// first time, after the entry has forgotten its block.
#[test]
fn registry_is_bounded() {
    let mut registry = registry(1, 5);
    let permits = (0..MAX_OPEN_PERMITS)
        .map(|_| registry.issue("irazabal", ClockTime::ZERO).expect("the registry issues a permit"))
        .collect::<Vec<_>>();
    assert_eq!(registry.redeem(&permits[0], "irazabal"), RedeemOutcome::Run);
    assert_eq!(registry.issue("irazabal", ClockTime::ZERO), Err(PermitError::Full));
    let later = ClockTime::ZERO + PERMIT_LIFETIME;
    let newest = registry.issue("irazabal", later).expect("the oldest block has expired");
    for forgotten in [&permits[0], &permits[63]] {
        assert_eq!(registry.redeem(forgotten, "irazabal"), RedeemOutcome::AlreadyRedeemed);
    }
    for valid in [&permits[64], &newest] {
        assert_eq!(registry.redeem(valid, "irazabal"), RedeemOutcome::Run);
    }
}

/// Guards against a permit that stays redeemed although no byte of its request left the entry.
#[test]
fn restored_permit_runs_once_more() {
    let mut registry = registry(1, 5);
    let permit = registry.issue("irazabal", ClockTime::ZERO).expect("the registry issues a permit");
    assert_eq!(registry.redeem(&permit, "irazabal"), RedeemOutcome::Run);
    registry.restore(&permit);
    let outcomes = [0, 1].map(|_| registry.redeem(&permit, "irazabal"));
    assert_eq!(outcomes, [RedeemOutcome::Run, RedeemOutcome::AlreadyRedeemed]);
}
