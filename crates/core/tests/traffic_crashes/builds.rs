//! Crashes of servers of some builds.

use carobvane_core::{
    ids::WeightsVersion,
    suspects::ServerBuild,
    traffic::{MAX_CRASHES, RunEnd},
};

use crate::fixture::{Fixture, REFUTING_RUNS, incarnation, request};

/// Guards against a whole response from a server of another build that clears the crashes of a request.
#[test]
fn crashes_are_refuted_only_at_servers_of_the_same_build() {
    struct Case {
        name: &'static str,
        crashed: ServerBuild,
        completed: ServerBuild,
        crashes: usize,
    }
    let build = |software, weights| ServerBuild::new(Some(software), Some(WeightsVersion(weights)));
    let unknown = ServerBuild::UNKNOWN;
    let cases = [
        Case { name: "same", crashed: build("v1", 1), completed: build("v1", 1), crashes: 0 },
        Case { name: "software", crashed: build("v1", 1), completed: build("v2", 1), crashes: 3 },
        Case { name: "weights", crashed: build("v1", 1), completed: build("v1", 2), crashes: 3 },
        Case { name: "completed unknown", crashed: build("v1", 1), completed: unknown, crashes: 3 },
        Case { name: "crashed unknown", crashed: unknown, completed: build("v1", 1), crashes: 0 },
    ];
    for case in cases {
        let mut fixture = Fixture::new();
        let mut run = |server: usize, build, end| {
            let key = fixture.servers[server];
            let incarnation = incarnation(server);
            let run = fixture.tracker.start_run(&request(0).into(), key, incarnation, build);
            fixture.tracker.end_run(fixture.now, run, end, true, &mut fixture.events);
        };
        (0..MAX_CRASHES).for_each(|server| run(server, case.crashed, RunEnd::Broken));
        (0..REFUTING_RUNS).for_each(|_| run(5, case.completed, RunEnd::Completed));
        assert_eq!(fixture.crashes(), case.crashes, "{}", case.name);
    }
}
