//! Sends the requests of a trace to the entries of a fleet.

use std::{
    cell::RefCell,
    io::IsTerminal,
    rc::Rc,
    time::{Duration, Instant},
};

use futures::future::join_all;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};

use super::faults;
use crate::{
    client::{BookingCall, CallResult, CompletionCall, send_booking, stream_completion},
    fleet::{Fleet, MODEL, SERVICE, workspace_key},
    trace::{TraceClass, TraceRequest, prompt_text},
};

/// Maximum number of retries of a booking that has not succeeded, each through the next entry.
const BOOKING_RETRIES: usize = 2;
/// Delay before each retry of a booking.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The result of one request of a trace.
#[derive(Debug, Clone)]
pub struct TraceResult {
    /// Class of the request.
    pub class: TraceClass,
    /// Result of the last attempt.
    pub result: CallResult,
}

/// Sends every request at its arrival time, injects the faults of the demonstration, and waits for
/// all results. Results are in the order in which the requests ended.
pub async fn send_trace(
    fleet: &Fleet,
    requests: &[TraceRequest],
    piece_bytes: usize,
) -> Vec<TraceResult> {
    let bar = progress_bar(requests.len() as u64);
    let client =
        awc::Client::builder().connector(awc::Connector::new().limit(0)).disable_timeout().finish();
    let started = Instant::now();
    let results = Rc::new(RefCell::new(Vec::with_capacity(requests.len())));
    let sends = requests.iter().enumerate().map(|(number, request)| {
        let results = Rc::clone(&results);
        let (client, bar) = (&client, &bar);
        async move {
            let arrival = Duration::from_millis(request.arrival_ms);
            tokio::time::sleep(arrival.saturating_sub(started.elapsed())).await;
            let result = send_request(fleet, client, request, number, piece_bytes).await;
            if !result.is_valid() {
                bar.println(format!("request {number}: {result:?}"));
            }
            results.borrow_mut().push(TraceResult { class: request.class, result });
            bar.inc(1);
        }
    });
    futures::join!(join_all(sends), faults::inject_faults(fleet));
    bar.finish_and_clear();
    tokio::time::sleep(super::SETTLE_DELAY).await;
    results.take()
}

/// Sends one request through the entry at position `number`. A booking that does not succeed is
/// retried.
pub(crate) async fn send_request(
    fleet: &Fleet,
    client: &awc::Client,
    request: &TraceRequest,
    number: usize,
    piece_bytes: usize,
) -> CallResult {
    let key = workspace_key(&request.workspace);
    if request.class != TraceClass::Booking {
        let call = CompletionCall {
            entry: fleet.entry_url(number),
            key,
            model: MODEL.to_string(),
            weights: fleet.snapshot.document.weights[MODEL].version,
            prompt: prompt_text(&request.pieces, piece_bytes),
            tokens: request.output_tokens,
        };
        return stream_completion(client, &call).await;
    }
    let mut call = BookingCall {
        entry: fleet.entry_url(number),
        key,
        service: SERVICE.to_string(),
        booking: format!("booking-{number}"),
    };
    let mut result = send_booking(client, &call).await;
    for retry in 1..=BOOKING_RETRIES {
        if matches!(result, CallResult::Complete { .. }) {
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
        call.entry = fleet.entry_url(number + retry);
        result = send_booking(client, &call).await;
    }
    result
}

fn progress_bar(length: u64) -> ProgressBar {
    let bar = ProgressBar::new(length);
    if !std::io::stderr().is_terminal() {
        bar.set_draw_target(ProgressDrawTarget::hidden());
    }
    let style = ProgressStyle::with_template("{elapsed_precise} [{bar:40}] {pos}/{len} requests");
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}
