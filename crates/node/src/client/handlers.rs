//! Handlers of what clients and the platform request from a node.

use std::{marker::PhantomData, rc::Rc, time::Duration};

use carobvane_core::traffic::{EntryNode, EntrySelector, LinkState};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::{
    adapter::{ClientAdapter, PlatformAdapter},
    client::{
        body::ResponseBody, connection_bounds::CLIENT_USER_TIMEOUT, ingress::RequestHandler,
        request, responses,
    },
    clock,
    node::Node,
};

/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";

/// Handles the requests of clients.
pub struct ClientHandler<A> {
    pub node: Rc<Node>,
    pub adapter: PhantomData<A>,
}

impl<A: PlatformAdapter> RequestHandler for ClientHandler<A> {
    const USER_TIMEOUT: Duration = CLIENT_USER_TIMEOUT;

    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>> + 'static {
        request::handle::<A>(self.node.clone(), request)
    }
}

/// Handles the platform's readiness check. The node is ready once it has a configuration, until it
/// drains.
pub struct ReadyHandler<A> {
    pub node: Rc<Node>,
    pub adapter: PhantomData<A>,
}

impl<A: PlatformAdapter> RequestHandler for ReadyHandler<A> {
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>> + 'static {
        let path_matches = request.uri().path() == <A as ClientAdapter>::READY_PATH;
        let ready =
            !self.node.draining.get() && self.node.state.borrow().routes.version().is_some();
        let status = match (path_matches, ready) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { responses::empty(status) }
    }
}

/// Handles queries of clients that ask which nodes to connect to.
pub struct DirectoryHandler<A> {
    pub node: Rc<Node>,
    pub adapter: PhantomData<A>,
}

impl<A: PlatformAdapter> RequestHandler for DirectoryHandler<A> {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        if request.uri().path() != <A as ClientAdapter>::DIRECTORY_PATH {
            return responses::empty(StatusCode::NOT_FOUND);
        }
        let query = A::decode_directory_query(request.uri());
        let members = self.members();
        let selector = EntrySelector::new(&members);
        let mut directory = selector.select_entries(&query.region, &query.data_centre);
        directory.ttl = directory.ttl.min(self.node.settings.bounds.directory_lifetime);
        if directory.addresses.is_empty() {
            return responses::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        responses::json(A::encode_directory(&directory))
    }
}

impl<A> DirectoryHandler<A> {
    /// Returns the live nodes that reach servers, including this one unless it drains. Without any, nodes
    /// that reach no server are better than none.
    fn members(&self) -> Vec<EntryNode> {
        let settings = &self.node.settings;
        let state = self.node.state.borrow();
        let mut members = state.members.directory(clock::now());
        members.retain(|member| member.name != settings.name);
        let is_linked = state.links.state() != LinkState::Lost;
        if !self.node.draining.get() && (is_linked || members.is_empty()) {
            members.push(EntryNode {
                name: settings.name.clone(),
                address: settings.client_address,
                data_centre: settings.data_centre.clone(),
                region: settings.region.clone(),
            });
        }
        members
    }
}

/// Serves the metrics page.
pub struct MetricsHandler {
    /// Renders the recorded metrics.
    pub metrics: PrometheusHandle,
}

impl RequestHandler for MetricsHandler {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        if request.uri().path() != METRICS_PATH {
            return responses::empty(StatusCode::NOT_FOUND);
        }
        Response::new(ResponseBody::whole(self.metrics.render()))
    }
}
