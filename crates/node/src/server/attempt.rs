//! One attempt to run a client request at one backend server.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use carobvane_core::{
    clock::ClockTime,
    ids::ServerKey,
    suspects::ServerBuild,
    traffic::{
        AttemptOutcome, LinkFailure, PlacementChoice, RunEnd, ServerLoad, cache_salt, overdue_after,
    },
};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    adapter::{PlatformAdapter, ResponseInfo, ServerRequest},
    client::{body::ResponseBody, headers::origin_form, request_context::RequestContext},
    clock,
    node::Node,
    server::{
        cache_salt::format_salt,
        checked_response::{CheckedHead, ServerStream},
        connection::ConnectionError,
        crashes::RunGuard,
        flight::FlightGuard,
        links,
        pool::PooledConnection,
        server_choice::{
            OpenError, cache_transfer_addresses, check_suspect, choose_server, is_open,
            known_software,
        },
        server_limits::{record_max_rejections, record_named_limit, record_rejection},
        server_outcomes::{
            log_failure, record_lost, record_pool_full, record_timeout, record_unusable,
        },
        server_signals::record_signals,
        server_speed::record_speed,
        silent_servers::{self, ResponseWait},
    },
};

/// Maximum size of a response that is not streamed.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// The rest of a rejection is read for at most this long.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum size of the body of a rejection, which no client sees.
const MAX_REJECTION_BYTES: usize = 16 * 1024;
/// A repeatable request is retried at another server after this multiple of its expected duration.
const TIMEOUT_FACTOR: f64 = 4.0;
/// Every server gets at least this fraction of the target latency to respond.
const MIN_TIMEOUT_FRACTION: f64 = 0.8;

/// A client request for which a server has been chosen and a connection taken.
#[derive(Debug)]
pub struct Attempt {
    /// The chosen server and the estimates behind the choice.
    pub choice: PlacementChoice,
    /// Instance name of the chosen server.
    pub instance: String,
    /// Version of the server's software; `None` if it is not known.
    pub software: Option<String>,
    /// Where the server may fetch missing KV cache.
    fetch_from: Option<SocketAddr>,
    /// KV cache store to which the server should save the prompt's KV cache.
    save_to: Option<SocketAddr>,
    /// Connection to the server. Dropping it cancels the request there.
    pub connection: PooledConnection<ServerKey>,
    /// When the request was sent; before that, when the connection was taken.
    pub sent_at: ClockTime,
    flight: FlightGuard,
    /// The run at the server, once the request is sent.
    run: Option<RunGuard>,
}

/// Outcome of an attempt.
pub enum AttemptResult {
    /// The whole response, ready for the client.
    Complete(Response<ResponseBody>),
    /// A streamed response whose head has arrived.
    Stream(ServerStream),
    /// An error response from the server; returned to the client if no further attempt is made.
    Failed(Response<ResponseBody>),
    /// The attempt brought no response that a client may see.
    Ended(AttemptOutcome),
}

impl Attempt {
    /// Chooses a server and takes a connection to it. The caller sends the request without waiting
    /// for anything else, since crashes may become known at any time.
    pub async fn open(node: &Rc<Node>, context: &mut RequestContext) -> Result<Attempt, OpenError> {
        let (choice, instance) = choose_server(node, context).await?;
        context.tried_servers.push(choice.server);
        let flight = FlightGuard::start(node, context, &choice, &instance);
        let Some((address, max_open)) = node.server_endpoint(choice.server) else {
            return Err(OpenError::Ended(AttemptOutcome::NotSent));
        };
        match node.pool.take(choice.server, address, max_open).await {
            Ok(connection) => {
                let sent_at = clock::now();
                if connection.newly_opened {
                    links::record_connected(node, choice.server);
                }
                check_suspect(node, context)?;
                if !is_open(node, choice.server) {
                    return Err(OpenError::Ended(AttemptOutcome::NotSent));
                }
                let (fetch_from, save_to) = cache_transfer_addresses(node, &choice);
                let run = None;
                let software = known_software(node, choice.server);
                Ok(Attempt {
                    choice,
                    instance,
                    software,
                    fetch_from,
                    save_to,
                    connection,
                    sent_at,
                    flight,
                    run,
                })
            }
            Err(cause) => {
                log_failure(context, &instance, &choice, &cause.to_string());
                match cause {
                    ConnectionError::PoolFull => record_pool_full(node, choice.server),
                    ConnectionError::ConnectTimedOut => {
                        record_lost(node, choice.server, LinkFailure::ConnectTimedOut);
                    }
                    _ => record_lost(node, choice.server, LinkFailure::NotConnected),
                }
                Err(OpenError::Ended(AttemptOutcome::NotSent))
            }
        }
    }

    /// Sends the request and reads the response, unless it is a stream. `last_event` is the id of
    /// the last event that the client has received.
    pub async fn send<A: PlatformAdapter>(
        mut self,
        node: &Rc<Node>,
        context: &RequestContext,
        last_event: Option<u64>,
    ) -> AttemptResult {
        self.sent_at = clock::now();
        let build = ServerBuild::new(self.software.as_deref(), self.choice.weights);
        let run = RunGuard::start(node, context, self.choice.server, &self.instance, build);
        self.run = Some(run);
        let request = self.build_request::<A>(context, last_event);
        let response_timeout = self.response_timeout(context);
        let wait = ResponseWait {
            context,
            server: self.choice.server,
            sent_at: self.sent_at,
            overdue_after: self.overdue_after(context),
            move_after: self.may_retry(context).then(|| self.move_after(context)),
        };
        let sending = self.connection.connection.send(request, response_timeout);
        let response = match silent_servers::wait_for_response(node, &wait, sending).await {
            Ok(response) => response,
            Err(cause) => return self.on_connection_error(node, context, &cause),
        };
        links::record_heard(node, &mut node.state.borrow_mut(), self.choice.server);
        let (head, body) = match CheckedHead::of_server::<A>(response, &context.info.request_id) {
            Ok(checked) => checked,
            // Nothing on this connection can be trusted.
            Err(error) => {
                let cause = ConnectionError::Invalid(error.to_string());
                return self.on_connection_error(node, context, &cause);
            }
        };
        self.record_response_info(node, context, head.info());
        self.record_limits(node, context, head.info());
        if head.is_rejection() {
            return self.on_rejected(node, context, &head, body).await;
        }
        if context.is_stream() && head.is_success() {
            self.on_stream_started(node, context, head.info().load);
            return AttemptResult::Stream(ServerStream { head, body, attempt: Box::new(self) });
        }
        self.read_response(node, context, &head, body).await
    }

    async fn read_response(
        mut self,
        node: &Rc<Node>,
        context: &RequestContext,
        head: &CheckedHead,
        body: Incoming,
    ) -> AttemptResult {
        let left = context.time_left(clock::now());
        let memory = Some(node.response_memory.share());
        let reading = self.connection.connection.read_body(body, MAX_RESPONSE_BYTES, memory);
        let body = match timeout(left, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(cause)) => return self.on_connection_error(node, context, &cause),
            Err(_) => return self.on_connection_error(node, context, &ConnectionError::TimedOut),
        };
        let response = head.client_response(ResponseBody::whole(body));
        let failed = head.status().is_server_error();
        if failed {
            log_failure(context, &self.instance, &self.choice, head.status().as_str());
        }
        let end = match head.is_success() {
            true if head.has_explicit_end() => RunEnd::Completed,
            // The end of the response may be the end of the server.
            true => RunEnd::Unanswered,
            false => RunEnd::Refused,
        };
        self.finish_run(end, "response without a length");
        record_response(node, context, &mut self, failed);
        self.flight.report(head.info().load, 0, &[], None);
        self.connection.return_to_pool(head.keep_alive());
        if failed { AttemptResult::Failed(response) } else { AttemptResult::Complete(response) }
    }

    async fn on_rejected(
        mut self,
        node: &Rc<Node>,
        context: &RequestContext,
        head: &CheckedHead,
        body: Incoming,
    ) -> AttemptResult {
        let load = head.info().load;
        self.finish_run(RunEnd::Refused, "");
        self.flight.report(load, 0, &[], None);
        log_failure(context, &self.instance, &self.choice, "rejected without running");
        {
            let state = &mut *node.state.borrow_mut();
            if let Some(server) = state.registry.get_mut(self.choice.server) {
                server.health.on_rejected(clock::now());
            }
            record_rejection(node, state, self.choice.server, load);
            state.admission.on_rejected(clock::now(), &context.service);
        }
        // The rest of a rejection is short. If it does not arrive in time, the connection is
        // closed.
        let reading = self.connection.connection.read_body(body, MAX_REJECTION_BYTES, None);
        if timeout(REJECTION_TIMEOUT, reading).await.is_ok_and(|read| read.is_ok()) {
            self.connection.return_to_pool(head.keep_alive());
        }
        AttemptResult::Ended(AttemptOutcome::Rejected)
    }

    fn on_connection_error(
        mut self,
        node: &Rc<Node>,
        context: &RequestContext,
        cause: &ConnectionError,
    ) -> AttemptResult {
        let run_end = match cause {
            cause if cause.is_unsent() => RunEnd::Refused,
            ConnectionError::Broken(_) => RunEnd::Broken,
            _ => RunEnd::Unanswered,
        };
        self.finish_run(run_end, &cause.to_string());
        log_failure(context, &self.instance, &self.choice, &cause.to_string());
        let end = if cause.is_unsent() { AttemptOutcome::NotSent } else { AttemptOutcome::Unknown };
        match cause {
            // A server that still answers other requests under load is not silent.
            ConnectionError::TimedOut => record_timeout(node, self.choice.server, self.sent_at),
            // The server closed an idle connection, which says nothing about its health.
            ConnectionError::NotSent(_) if !self.connection.newly_opened => {}
            ConnectionError::PoolFull => record_pool_full(node, self.choice.server),
            ConnectionError::Invalid(_) => record_unusable(node, self.choice.server),
            ConnectionError::NotSent(_)
            | ConnectionError::ConnectTimedOut
            | ConnectionError::Broken(_) => {
                record_lost(node, self.choice.server, LinkFailure::Broken);
            }
        }
        AttemptResult::Ended(end)
    }

    /// Records how the run at the server ended. `cause` is for the log.
    pub fn finish_run(&mut self, end: RunEnd, cause: &str) {
        if let Some(run) = &mut self.run {
            run.finish(end, cause);
        }
    }

    /// Records that the server has read the prompt, since the head of the stream has arrived.
    fn on_stream_started(
        &mut self,
        node: &Rc<Node>,
        context: &RequestContext,
        load: Option<ServerLoad>,
    ) {
        record_response(node, context, self, false);
        let Some(weights) = self.choice.weights else { return };
        let salt = cache_salt(context.cache_scope.number(), weights);
        let store = self.choice.save_to_store.filter(|_| self.save_to.is_some());
        self.flight.report(load, salt, context.info.prompt.shared_parts(), store);
    }

    fn record_limits(&self, node: &Rc<Node>, context: &RequestContext, head: &ResponseInfo) {
        let state = &mut *node.state.borrow_mut();
        let id = &context.info.request_id;
        record_named_limit(node, state, self.choice.server, id, head.limit, self.sent_at);
        if let Some(limit) = head.max_rejections {
            record_max_rejections(node, state, self.choice.server, limit);
        }
    }

    fn record_response_info(&self, node: &Rc<Node>, context: &RequestContext, head: &ResponseInfo) {
        let now = clock::now();
        let state = &mut *node.state.borrow_mut();
        record_signals(node, state, self.choice.server, &context.info.request_id, head);
        state.crashes.on_server_alive(self.choice.server, self.sent_at);
        if let Some(load) = head.load
            && let Some(server) = state.registry.get_mut(self.choice.server)
        {
            server.health.on_load_report(now, load);
        }
        if let (Some(model), Some(version)) = (&context.info.model, head.weights) {
            state.update_weights(self.choice.server, model, version);
        }
    }

    /// Whether the request may run at another server if this one does not respond.
    fn may_retry(&self, context: &RequestContext) -> bool {
        context.rule.may_rerun() && context.history.runs + 1 < context.rule.max_servers
    }

    fn overdue_after(&self, context: &RequestContext) -> Duration {
        let expected = Duration::from_secs_f64(self.choice.base_latency_ms.max(0.0) / 1_000.0);
        overdue_after(expected, context.rule.target_latency)
    }

    /// Returns how long to wait for the head of the response. A server whose weights have been replaced must
    /// not start the request too late.
    fn response_timeout(&self, context: &RequestContext) -> Duration {
        let now = clock::now();
        let left = context.time_left(now);
        let start_by = self.choice.start_by.filter(|_| self.may_retry(context));
        start_by.map_or(left, |by| left.min(by.since(now)))
    }

    /// Returns how long to wait before another server is looked for.
    fn move_after(&self, context: &RequestContext) -> Duration {
        let expected =
            Duration::from_secs_f64(self.choice.base_latency_ms * TIMEOUT_FACTOR / 1_000.0);
        expected.max(context.rule.target_latency.mul_f64(MIN_TIMEOUT_FRACTION))
    }

    fn build_request<A: PlatformAdapter>(
        &self,
        context: &RequestContext,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let scope = &context.cache_scope;
        let salt = self.choice.weights.map(|version| format_salt(version, scope));
        let headers = A::encode_request_headers(&ServerRequest {
            headers: &context.head.headers,
            request_id: &context.info.request_id,
            instance: &self.instance,
            deadline: context.deadline.min(context.response_due).since(clock::now()),
            workspace: context.workspace.as_ref().map(|workspace| workspace.name.as_str()),
            priority: context.info.model.is_some().then(|| context.priority()),
            weights: self.choice.weights,
            cache_salt: salt.as_deref(),
            fetch_from: self.fetch_from,
            save_to: self.save_to,
            last_event,
        });
        let mut request = Request::new(Full::new(context.body.clone()));
        *request.method_mut() = context.head.method.clone();
        *request.uri_mut() = origin_form(&context.head.uri);
        *request.headers_mut() = headers;
        request
    }
}

fn record_response(node: &Rc<Node>, context: &RequestContext, attempt: &mut Attempt, failed: bool) {
    let now = clock::now();
    let took = now.since(attempt.sent_at);
    let state = &mut *node.state.borrow_mut();
    if let Some(server) = state.registry.get_mut(attempt.choice.server) {
        if failed {
            server.health.on_error_response(now);
        } else {
            server.health.on_response(now);
        }
    }
    // Nothing shows when an engine would have sent the first event of a response that is no stream.
    if !failed && context.is_stream() == attempt.choice.weights.is_some() {
        let choice = &attempt.choice;
        attempt.flight.speed = record_speed(state, &context.service, choice, took);
    }
    let id = &context.info.request_id;
    let choice = &attempt.choice;
    log::debug!(
        request = id, server = attempt.instance, cost_ms = choice.cost_ms, failed,
        took_ms = took.as_millis() as u64;
        "server responded"
    );
}
