//! Tests of the notices about limits of workspaces.

use carobvane_core::{
    clock::ClockTime,
    plans::workspace_limit::{
        AskOutcome, HandedSlot, HomeAnswer, HomeCheck, NamedLimit, NodeName, SlotKey, TokenAnswer,
        TokenAsk, TokenReturn, WorkspaceId,
    },
};

use crate::fleet::{
    node_notice::{HomeMessage, NodeNotice},
    wire::batch::{self, BatchRoute, MAX_DATAGRAM_BYTES},
};

const LARGE: u64 = u64::MAX - 1;
const KEY: SlotKey = SlotKey { workspace: WorkspaceId(LARGE), slot: 2 };
/// An hour in microseconds, as long as clocks of nodes usually show.
const NOW: ClockTime = ClockTime::from_millis(3_600_000);

/// Guards against notices that change on the way, or cost more bytes than the design note says.
#[test]
fn notices_survive_and_are_small() {
    struct Case {
        name: &'static str,
        notice: NodeNotice,
        bytes: usize,
    }
    let ask = |limit| {
        NodeNotice::TokensWanted(TokenAsk {
            id: LARGE,
            key: KEY,
            amount: 57_000_000,
            max_delay: 600_000,
            version: 1_000,
            limit,
        })
    };
    let answer = |outcome| {
        NodeNotice::TokensAnswered(TokenAnswer { id: LARGE, key: KEY, outcome, version: 1_000 })
    };
    let handed = HandedSlot { key: KEY, level: 1_000_000, used: 1_000_000, due: 600_000 };
    let home_answer = |gone: usize, handed: Vec<HandedSlot>| {
        NodeNotice::HomeCheck(HomeMessage::Answered(HomeAnswer {
            node: NodeName(LARGE),
            incarnation: LARGE,
            asked_at: NOW,
            knows: true,
            gone: vec![NodeName(LARGE); gone],
            handed,
            is_partial: true,
        }))
    };
    let check =
        HomeCheck { node: NodeName(LARGE), incarnation: LARGE, asked_at: NOW, grants: true };
    let named = NamedLimit { rate: 29_000.0, burst: 29_000.0 };
    let cases = [
        Case { name: "ask", notice: ask(None), bytes: 67 },
        Case { name: "first ask of a version", notice: ask(Some(named)), bytes: 86 },
        Case { name: "grant", notice: answer(AskOutcome::Granted(600_000)), bytes: 65 },
        Case {
            name: "shortage",
            notice: answer(AskOutcome::Short { wait: 600_000, level: -9_000_000 }),
            bytes: 70,
        },
        Case {
            name: "return",
            notice: NodeNotice::TokensUnused(TokenReturn { id: LARGE, key: KEY }),
            bytes: 55,
        },
        Case { name: "check", notice: NodeNotice::HomeCheck(HomeMessage::Asked(check)), bytes: 62 },
        Case { name: "answer", notice: home_answer(0, Vec::new()), bytes: 65 },
        Case { name: "largest answer", notice: home_answer(60, vec![handed; 12]), bytes: 930 },
    ];
    for case in cases {
        let segments =
            batch::encode_segments(LARGE, &mut || 1_000_000, std::slice::from_ref(&case.notice));
        let datagrams = batch::pack_datagrams(LARGE, BatchRoute::default(), &segments);
        assert_eq!(datagrams.len(), 1, "{}", case.name);
        assert!(datagrams[0].len() <= MAX_DATAGRAM_BYTES, "{}", case.name);
        let decoded = batch::decode_batch(&datagrams[0]).expect("a datagram");
        let notices = decoded.segments[0].decode().expect("notices").notices;
        assert_eq!(notices, [case.notice], "{}", case.name);
        assert_eq!(datagrams[0].len(), case.bytes, "{}", case.name);
    }
}
