//! One attempt of a request at one backend server.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use carobvane_core::{
    clock::ClockTime,
    ids::ServerKey,
    traffic::{
        AttemptOutcome, CacheSource, PlacementChoice, PlacementRefusal, PlacementRequest,
        ServerLoad, cache_salt,
    },
};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    body::AnswerBody,
    channel::{ChannelError, read_whole},
    clock,
    flight::FlightGuard,
    headers::{caller_answer, keep_time, origin_form},
    node::Node,
    notices::NodeNotice,
    pool::PooledChannel,
    request::RequestJob,
    salt::write_salt,
    wire::{AnswerHead, NodeWire, ServerCall},
};

/// Most bytes of an answer that is no stream.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Expected wait, as a part of the wanted latency, up to which a request is sent: in overload the
/// real wait is about a third longer than the expected one.
const PATIENCE_FACTOR: f64 = 0.7;
/// Multiple of the expected time after which a repeatable request is sent elsewhere.
const SILENCE_FACTOR: f64 = 4.0;
/// Part of the wanted latency for which every server is waited for.
const SILENCE_SHARE: f64 = 0.8;

/// A request at a server.
#[derive(Debug)]
pub struct Attempt {
    /// The server and why it was chosen.
    pub choice: PlacementChoice,
    /// Instance of the server.
    pub instance: String,
    /// Address from which the server may fetch KV cache.
    fetch_from: Option<SocketAddr>,
    /// Address to which the server should save KV cache.
    save_to: Option<SocketAddr>,
    /// The connection.
    pub channel: PooledChannel,
    /// When the request was sent.
    pub sent_at: ClockTime,
    flight: FlightGuard,
}

/// How an attempt ended.
pub enum AttemptResult {
    /// A whole answer for the caller.
    Whole(Response<AnswerBody>),
    /// A stream that has begun.
    Stream(Response<Incoming>, Box<Attempt>),
    /// The server's own failure; may be passed on.
    Failed(Response<AnswerBody>),
    /// Nothing for the caller.
    Ended(AttemptOutcome),
}

impl Attempt {
    /// Chooses a server and takes a connection to it. The inner error is the end of an attempt
    /// that could not be sent.
    pub async fn open(
        node: &Rc<Node>,
        job: &mut RequestJob,
    ) -> Result<Attempt, Result<AttemptOutcome, PlacementRefusal>> {
        let (choice, instance) = choose(node, job).map_err(Err)?;
        job.tried.push(choice.server);
        let flight = FlightGuard::start(node, job, &choice, &instance);
        let Some((address, most)) = node.server_address(choice.server) else {
            return Err(Ok(AttemptOutcome::NotSent));
        };
        match node.pool.take(choice.server, address, most).await {
            Ok(channel) => {
                let sent_at = clock::now();
                let (fetch_from, save_to) = cache_addresses(node, &choice);
                Ok(Attempt { choice, instance, fetch_from, save_to, channel, sent_at, flight })
            }
            Err(cause) => {
                log_failure(job, &instance, &choice, &cause.to_string());
                on_silent(node, choice.server);
                Err(Ok(AttemptOutcome::NotSent))
            }
        }
    }

    /// Sends the request, and reads the answer unless it is a stream. `last_event` is the last
    /// event that the caller has.
    pub async fn send<W: NodeWire>(
        mut self,
        node: &Rc<Node>,
        job: &RequestJob,
        last_event: Option<u64>,
    ) -> AttemptResult {
        self.sent_at = clock::now();
        let request = self.request::<W>(job, last_event);
        let patience = self.patience(job);
        let response = match self.channel.channel.send(request, patience).await {
            Ok(response) => response,
            Err(cause) => return self.on_lost(node, job, &cause),
        };
        let head = W::read_answer(response.headers());
        self.learn(node, job, &head);
        if head.request_id.as_deref() != Some(job.call.request_id.as_str()) {
            // An answer to an earlier request: nothing of this connection can be trusted.
            let cause = ChannelError::Broken("answer to another request".to_string());
            return self.on_lost(node, job, &cause);
        }
        if head.not_run || response.status() == StatusCode::MISDIRECTED_REQUEST {
            return self.on_rejected(node, job, response).await;
        }
        if job.is_stream() && response.status().is_success() {
            self.on_begun(node, job, head.load);
            return AttemptResult::Stream(response, Box::new(self));
        }
        self.read_answer(node, job, response, &head).await
    }

    async fn read_answer(
        mut self,
        node: &Rc<Node>,
        job: &RequestJob,
        response: Response<Incoming>,
        head: &AnswerHead,
    ) -> AttemptResult {
        let (parts, body) = response.into_parts();
        let left = job.time_left(clock::now());
        let body = match timeout(left, read_whole(body, ANSWER_BYTES)).await {
            Ok(Ok(body)) => body,
            Ok(Err(cause)) => return self.on_lost(node, job, &cause),
            Err(_) => return self.on_lost(node, job, &ChannelError::TimedOut),
        };
        let status = parts.status;
        if status.is_success() && !head.signed {
            let cause = ChannelError::Broken("success without the server's proof".to_string());
            return self.on_lost(node, job, &cause);
        }
        let answer = caller_answer(status, &parts.headers, AnswerBody::whole(body));
        let failed = status.is_server_error();
        if failed {
            log_failure(job, &self.instance, &self.choice, status.as_str());
        }
        self.flight.on_answer(head.load, 0, &[], false);
        on_answer(node, job, &self, failed);
        self.channel.keep(keep_time(&parts.headers));
        if failed { AttemptResult::Failed(answer) } else { AttemptResult::Whole(answer) }
    }

    async fn on_rejected(
        self,
        node: &Rc<Node>,
        job: &RequestJob,
        response: Response<Incoming>,
    ) -> AttemptResult {
        log_failure(job, &self.instance, &self.choice, "rejected without running");
        let now = clock::now();
        if let Some(server) = node.state.borrow_mut().roster.get_mut(self.choice.server) {
            server.health.on_rejected(now);
        }
        let keep = keep_time(response.headers());
        // The rest of a rejection is short; a connection whose rest does not come is closed.
        if timeout(Duration::from_millis(100), read_whole(response.into_body(), ANSWER_BYTES))
            .await
            .is_ok_and(|read| read.is_ok())
        {
            self.channel.keep(keep);
        }
        AttemptResult::Ended(AttemptOutcome::Rejected)
    }

    fn on_lost(self, node: &Rc<Node>, job: &RequestJob, cause: &ChannelError) -> AttemptResult {
        log_failure(job, &self.instance, &self.choice, &cause.to_string());
        let end = match cause {
            ChannelError::NotSent(_) => AttemptOutcome::NotSent,
            ChannelError::Broken(_) | ChannelError::TimedOut => AttemptOutcome::Unknown,
        };
        match cause {
            // A loaded server that answers others is not silent.
            ChannelError::TimedOut => on_timeout(node, self.choice.server, self.sent_at),
            // A kept connection that its server had closed says nothing about the server.
            ChannelError::NotSent(_) if !self.channel.fresh => {}
            _ => on_silent(node, self.choice.server),
        }
        if matches!(cause, ChannelError::Broken(_)) {
            note_crash(node, job, self.choice.server);
        }
        AttemptResult::Ended(end)
    }

    /// The first event has come.
    fn on_begun(&mut self, node: &Rc<Node>, job: &RequestJob, load: Option<ServerLoad>) {
        on_answer(node, job, self, false);
        let Some(weights) = self.choice.weights else { return };
        let salt = cache_salt(job.cache_scope, weights);
        self.flight.on_answer(load, salt, job.call.prompt.shared_parts(), self.save_to.is_some());
    }

    fn learn(&self, node: &Rc<Node>, job: &RequestJob, head: &AnswerHead) {
        let now = clock::now();
        let state = &mut *node.state.borrow_mut();
        if let Some(load) = head.load
            && let Some(server) = state.roster.get_mut(self.choice.server)
        {
            server.health.on_load_report(now, load);
        }
        if let (Some(model), Some(version)) = (&job.call.model, head.weights) {
            state.on_weights(self.choice.server, model, version);
        }
    }

    /// How long the head of the answer is waited for.
    fn patience(&self, job: &RequestJob) -> Duration {
        let now = clock::now();
        let left = job.time_left(now);
        let may_move = job.rule.may_rerun() && job.history.runs + 1 < job.rule.max_servers;
        if !may_move {
            return left;
        }
        let expected =
            Duration::from_secs_f64(self.choice.base_latency_ms * SILENCE_FACTOR / 1_000.0);
        let patience = expected.max(job.rule.target_latency.mul_f64(SILENCE_SHARE)).min(left);
        self.choice.start_by.map_or(patience, |by| patience.min(by.since(now)))
    }

    fn request<W: NodeWire>(
        &self,
        job: &RequestJob,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let workspace = job.workspace.as_ref();
        let salt = self.choice.weights.map(|version| write_salt(version, workspace));
        let headers = W::write_call(&ServerCall {
            headers: &job.head.headers,
            request_id: &job.call.request_id,
            instance: &self.instance,
            deadline: job.deadline.min(job.ends).since(clock::now()),
            workspace: job.workspace.as_ref().map(|workspace| workspace.name.as_str()),
            priority: job.call.model.is_some().then(|| job.priority()),
            weights: self.choice.weights,
            cache_salt: salt.as_deref(),
            fetch_from: self.fetch_from,
            save_to: self.save_to,
            last_event,
        });
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.head.method.clone();
        *request.uri_mut() = origin_form(&job.head.uri);
        *request.headers_mut() = headers;
        request
    }
}

/// Where KV cache is to be fetched from and saved to.
fn cache_addresses(
    node: &Node,
    choice: &PlacementChoice,
) -> (Option<SocketAddr>, Option<SocketAddr>) {
    let store = node.state.borrow().cache_store();
    let fetch_from = choice.fetch_from.and_then(|from| match from {
        CacheSource::Server(server) => node.server_address(server).map(|(address, _)| address),
        CacheSource::Store => store,
    });
    (fetch_from, store.filter(|_| choice.save_to_store))
}

/// Notes that a run broke in a way that a crash of the server explains.
pub fn note_crash(node: &Rc<Node>, job: &RequestJob, server: ServerKey) {
    let state = &mut *node.state.borrow_mut();
    let Some(life) = state.life_number(server) else { return };
    if state.crashes.on_crash(clock::now(), job.fingerprint, life) {
        node.tell_nodes(NodeNotice::Crash { fingerprint: job.fingerprint, life });
    }
}

/// Notes that a server has not answered in time, unless it has told anything since `since`.
pub fn on_timeout(node: &Rc<Node>, server: ServerKey, since: ClockTime) {
    if let Some(known) = node.state.borrow_mut().roster.get_mut(server)
        && !known.health.was_seen_since(since)
    {
        known.health.on_no_response(clock::now());
    }
}

/// Notes that a server did not answer, and tells the other nodes.
pub fn on_silent(node: &Rc<Node>, server: ServerKey) {
    if let Some(known) = node.state.borrow_mut().roster.get_mut(server) {
        known.health.on_no_response(clock::now());
        node.tell_nodes(NodeNotice::Silent { instance: known.listing.instance.clone() });
    }
}

fn on_answer(node: &Rc<Node>, job: &RequestJob, attempt: &Attempt, failed: bool) {
    let now = clock::now();
    let took = now.since(attempt.sent_at);
    let state = &mut *node.state.borrow_mut();
    let ratio = took.as_secs_f64() * 1_000.0 / attempt.choice.base_latency_ms.max(1.0);
    if let Some(server) = state.roster.get_mut(attempt.choice.server) {
        if failed {
            server.health.on_error_response(now);
        } else {
            server.health.on_response(now, ratio);
        }
    }
    if !failed {
        state.crashes.on_completed(job.fingerprint);
        if !job.is_stream() {
            state.planner.on_plain_response(&job.service, took);
        }
    }
    let id = &job.call.request_id;
    let choice = &attempt.choice;
    log::debug!(
        request = id, server = attempt.instance, cost_ms = choice.cost_ms, failed,
        took_ms = took.as_millis() as u64;
        "server answered"
    );
}

fn choose(
    node: &Rc<Node>,
    job: &RequestJob,
) -> Result<(PlacementChoice, String), PlacementRefusal> {
    let now = clock::now();
    let state = &mut *node.state.borrow_mut();
    let request = PlacementRequest {
        service: &job.service,
        model: job.call.model.as_deref(),
        prompt: &job.call.prompt,
        cache_scope: job.cache_scope,
        bytes: job.body.len(),
        has_cache_store: state.cache_store().is_some(),
        nodes: state.members.live().count().max(1),
        max_wait: answer_patience(job),
        time_left: job.time_left(now),
    };
    let choice = state.planner.choose(now, &state.roster, &request, &job.tried, &mut state.rng)?;
    let server = state.roster.get(choice.server).ok_or(PlacementRefusal::NoServer)?;
    log::info!(
        request = job.call.request_id, server = server.listing.instance, cost_ms = choice.cost_ms,
        expected_ms = choice.base_latency_ms, held_tokens = choice.cached_tokens,
        shared_tokens = choice.shared_tokens, fetches = choice.fetch_from.is_some(),
        prompt_tokens = job.call.prompt.prompt_tokens, in_flight = server.in_flight,
        weighed = choice.candidate_count, config:? = state.routes.version();
        "server chosen"
    );
    Ok((choice, server.listing.instance.clone()))
}

/// Longest expected wait with which a request is still sent. One that would be late only delays
/// those that can still be on time; its caller is told when to return instead.
fn answer_patience(job: &RequestJob) -> Duration {
    job.rule.target_latency.mul_f64(PATIENCE_FACTOR)
}

fn log_failure(job: &RequestJob, instance: &str, choice: &PlacementChoice, cause: &str) {
    log::info!(
        request = job.call.request_id, server = instance, cause = cause,
        attempt = job.history.attempts + 1, expected_ms = choice.base_latency_ms;
        "attempt failed"
    );
    metrics::counter!("carobvane_failed_attempts_total").increment(1);
}
