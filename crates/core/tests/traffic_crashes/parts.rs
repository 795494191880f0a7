//! Prompt parts that crash servers.

use carobvane_core::{
    suspects::{RequestSuspects, SuspectFingerprint},
    traffic::{CrashVerdict, RunEnd},
};

use crate::fixture::{BUILD, Fixture, incarnation, request};

/// Returns the suspects of a request with these prompt parts.
fn with_parts(number: usize, parts: &[u64]) -> RequestSuspects {
    let parts = parts.iter().map(|part| SuspectFingerprint::of_part(*part));
    RequestSuspects::new(request(number), parts)
}

/// Guards against a response that clears parts which it did not run with, or leaves one blamed that
/// it did run with, and against blaming parts for servers that ended together for another reason.
#[test]
fn whole_responses_clear_exactly_the_parts_that_they_ran_with() {
    use RunEnd::{Broken, Completed, Refused, Unanswered};
    /// A run: its parts, its server and its end.
    type PartRun = (&'static [u64], usize, RunEnd);
    struct Case {
        name: &'static str,
        runs: &'static [PartRun],
        /// Parts of a request, and the verdict on it.
        verdicts: &'static [(&'static [u64], CrashVerdict)],
    }
    use CrashVerdict::{Allow, Reject};
    let cases = [
        Case {
            name: "three crashes, one after the other",
            runs: &[(&[1, 2], 1, Broken), (&[1, 2], 2, Broken), (&[1, 2], 3, Broken)],
            verdicts: &[(&[1, 2], Reject), (&[2, 1, 9], Reject), (&[1], Allow), (&[2], Allow)],
        },
        Case {
            name: "the first part completes elsewhere",
            runs: &[
                (&[1, 2], 1, Broken),
                (&[1, 2], 2, Broken),
                (&[1, 2], 3, Broken),
                (&[1, 3], 4, Completed),
            ],
            verdicts: &[(&[1, 2], Reject), (&[2], Reject), (&[1], Allow), (&[1, 3], Allow)],
        },
        Case {
            name: "no whole response",
            runs: &[
                (&[1, 2], 1, Broken),
                (&[1, 2], 2, Broken),
                (&[1, 2], 3, Broken),
                (&[2], 4, Refused),
                (&[2], 5, Unanswered),
            ],
            verdicts: &[(&[1, 2], Reject)],
        },
        Case {
            name: "the parts beside it differ",
            runs: &[(&[1, 2], 1, Broken), (&[1, 3, 2], 2, Broken), (&[4, 2], 3, Broken)],
            verdicts: &[(&[2], Reject), (&[9, 2], Reject), (&[1, 3], Allow), (&[4], Allow)],
        },
        Case {
            name: "completed once between the crashes",
            runs: &[
                (&[1, 2], 1, Broken),
                (&[1, 2], 2, Broken),
                (&[1, 2], 3, Completed),
                (&[1, 2], 4, Broken),
            ],
            verdicts: &[(&[1, 2], Reject)],
        },
        Case {
            name: "completed often between the crashes",
            runs: &[
                (&[1, 2], 1, Broken),
                (&[1, 2], 2, Broken),
                (&[1, 2], 3, Completed),
                (&[1, 2], 3, Completed),
                (&[1, 2], 3, Completed),
                (&[1, 2], 3, Completed),
                (&[1, 2], 3, Completed),
                (&[1, 2], 3, Completed),
                (&[1, 2], 4, Broken),
            ],
            verdicts: &[(&[1, 2], Allow)],
        },
    ];
    for case in cases {
        let mut fixture = Fixture::new();
        for (number, (parts, server, end)) in case.runs.iter().enumerate() {
            let suspects = with_parts(number, parts);
            let key = fixture.servers[*server];
            let run = fixture.tracker.start_run(&suspects, key, incarnation(*server), BUILD);
            fixture.tracker.end_run(fixture.now, run, *end, true, &mut fixture.events);
        }
        for (parts, verdict) in case.verdicts {
            let suspects = with_parts(99, parts);
            let ruling = fixture.tracker.verdict(fixture.now, &suspects, |_| 0, |_| None);
            assert_eq!(ruling.verdict, *verdict, "{}: {parts:?}", case.name);
        }
    }
}

/// Guards against blaming a part that many requests share for servers that ended together, and against
/// never blaming one that crashes many servers at once.
#[test]
fn servers_that_end_together_blame_only_from_the_fifth_on() {
    for (servers, verdict) in [(4, CrashVerdict::Allow), (5, CrashVerdict::Reject)] {
        let mut fixture = Fixture::new();
        let runs: Vec<_> = (0..servers)
            .map(|server| {
                let suspects = with_parts(server, &[1]);
                let key = fixture.servers[server];
                fixture.tracker.start_run(&suspects, key, incarnation(server), BUILD)
            })
            .collect();
        for run in runs {
            fixture.tracker.end_run(fixture.now, run, RunEnd::Broken, true, &mut fixture.events);
        }
        let ruling = fixture.tracker.verdict(fixture.now, &with_parts(99, &[1]), |_| 0, |_| None);
        assert_eq!(ruling.verdict, verdict, "{servers} servers");
    }
}
