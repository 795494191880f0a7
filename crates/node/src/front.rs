//! What callers and the platform ask a node.

use std::{marker::PhantomData, rc::Rc};

use carobvane_core::traffic::EntrySelector;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::{
    answers,
    body::AnswerBody,
    ingress::RequestHandler,
    node::Node,
    request,
    wire::{CallerWire, NodeWire},
};

/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";

/// Answers callers.
pub struct CallerHandler<W> {
    /// This node.
    pub node: Rc<Node>,
    /// The adapter.
    pub wire: PhantomData<W>,
}

impl<W: NodeWire> RequestHandler for CallerHandler<W> {
    fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + 'static {
        request::answer::<W>(self.node.clone(), request)
    }
}

/// Answers the platform's readiness check.
pub struct ReadyHandler<W> {
    /// This node.
    pub node: Rc<Node>,
    /// The adapter.
    pub wire: PhantomData<W>,
}

impl<W: NodeWire> RequestHandler for ReadyHandler<W> {
    fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + 'static {
        let known = request.uri().path() == <W as CallerWire>::READY_PATH;
        let ready =
            !self.node.draining.get() && self.node.state.borrow().routes.version().is_some();
        let status = match (known, ready) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { answers::empty(status) }
    }
}

/// Answers callers that ask where to connect.
pub struct DirectoryHandler<W> {
    /// This node.
    pub node: Rc<Node>,
    /// The adapter.
    pub wire: PhantomData<W>,
}

impl<W: NodeWire> RequestHandler for DirectoryHandler<W> {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        if request.uri().path() != <W as CallerWire>::DIRECTORY_PATH {
            return answers::empty(StatusCode::NOT_FOUND);
        }
        let question = W::read_question(request.uri());
        let members = self.members();
        let chooser = EntrySelector::new(&members);
        let mut answer = chooser.select_entries(&question.region, &question.data_centre);
        answer.ttl = answer.ttl.min(self.node.settings.bounds.directory_lifetime);
        if answer.addresses.is_empty() {
            return answers::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        answers::json(W::write_directory(&answer))
    }
}

impl<W> DirectoryHandler<W> {
    /// Live nodes, with this one unless it stops.
    fn members(&self) -> Vec<carobvane_core::traffic::EntryNode> {
        let settings = &self.node.settings;
        let mut members = self.node.state.borrow().members.directory();
        members.retain(|member| member.name != settings.name);
        if !self.node.draining.get() {
            members.push(carobvane_core::traffic::EntryNode {
                name: settings.name.clone(),
                address: settings.callers,
                data_centre: settings.data_centre.clone(),
                region: settings.region.clone(),
            });
        }
        members
    }
}

/// Answers with the metrics page.
pub struct MetricsHandler {
    /// Where metrics are recorded.
    pub metrics: PrometheusHandle,
}

impl RequestHandler for MetricsHandler {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        if request.uri().path() != METRICS_PATH {
            return answers::empty(StatusCode::NOT_FOUND);
        }
        Response::new(AnswerBody::whole(self.metrics.render()))
    }
}
