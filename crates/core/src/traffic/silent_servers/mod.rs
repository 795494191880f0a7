//! Servers that do not respond, as the nodes find out together.
//!
//! Load pattern: a quarter of the servers stop responding for 14 s without closing connections, while some
//! 80 nodes send them requests. If each node found out by itself, each would lose several requests at
//! each of them. A node whose own links work reports what got no response; two such nodes suffice for all
//! to avoid the server. A few nodes probe it, and it gets requests again once any node reports a response.
//! A report is void if any node has heard the server since the request behind it was sent, so a server
//! that is only slow, or a lost response, has no lasting effect.

mod probe_schedule;
mod report_rule;
mod server_silence;

pub use self::{
    probe_schedule::{PROBERS, ProbeSchedule},
    report_rule::{ReportRule, overdue_after},
    server_silence::{HEARD_NOTICE_AGE, ServerSilence, SilenceChange},
};
