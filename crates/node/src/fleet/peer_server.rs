//! Serves other nodes: this node's copy of the platform's store, what it knows beyond the store, and the
//! requests that they pass on.

use std::{marker::PhantomData, rc::Rc};

use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::Serialize;

use crate::{
    adapter::{PlatformAdapter, StoreRevision},
    client::{body::ResponseBody, forward, ingress::RequestHandler, request, responses},
    fleet::{
        peer_knowledge::PeerKnowledge,
        peers::{CHANGES_PATH, JSON, KNOWLEDGE_PATH, MIRROR_PATH},
        wire::legacy,
    },
    node::Node,
};

/// Handles requests from other nodes.
pub struct PeerHandler<A> {
    pub node: Rc<Node>,
    pub adapter: PhantomData<A>,
}

impl<A: PlatformAdapter> RequestHandler for PeerHandler<A> {
    async fn handle(self: Rc<Self>, mut request: Request<Incoming>) -> Response<ResponseBody> {
        if let Some(hop) = forward::take_hop(request.headers_mut()) {
            return request::handle_forwarded::<A>(self.node.clone(), request, hop).await;
        }
        match (request.method(), request.uri().path()) {
            (&Method::GET, MIRROR_PATH) => self.send_mirror(&request),
            (&Method::GET, CHANGES_PATH) => self.send_changes(&request),
            (&Method::GET, KNOWLEDGE_PATH) => self.send_knowledge(&request),
            _ => responses::empty(StatusCode::NOT_FOUND),
        }
    }
}

impl<A> PeerHandler<A> {
    fn send_mirror(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        let known = request.uri().query().and_then(parse_revision).unwrap_or_default();
        let state = self.node.state.borrow();
        if state.mirror.revision <= known {
            return responses::empty(StatusCode::NO_CONTENT);
        }
        if wants_json(request) {
            return json_response(&state.mirror);
        }
        postcard_response(postcard::to_stdvec(&state.mirror))
    }

    fn send_changes(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        let known = request.uri().query().and_then(parse_revision).unwrap_or_default();
        let state = self.node.state.borrow();
        match state.removals.changes_after(known, &state.mirror) {
            Some(batch) => json_response(&batch),
            None => responses::empty(StatusCode::NO_CONTENT),
        }
    }

    fn send_knowledge(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        let knowledge = PeerKnowledge::of_node(&self.node.state.borrow());
        if wants_json(request) {
            return json_response(&knowledge);
        }
        postcard_response(legacy::encode_knowledge(knowledge))
    }
}

/// Whether the reader is of a build that reads JSON.
fn wants_json(request: &Request<Incoming>) -> bool {
    request.headers().get(header::ACCEPT).is_some_and(|wanted| wanted == JSON)
}

/// Parses the revision that the reader of a copy already has: its era and number, joined by a dash.
fn parse_revision(query: &str) -> Option<StoreRevision> {
    let (era, number) = query.split_once('-')?;
    Some(StoreRevision { era: era.parse().ok()?, number: number.parse().ok()? })
}

fn json_response<T: Serialize>(value: &T) -> Response<ResponseBody> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut response = Response::new(ResponseBody::whole(bytes));
            response.headers_mut().insert(header::CONTENT_TYPE, JSON);
            response
        }
        Err(cause) => encoding_failed(&cause),
    }
}

fn postcard_response(encoded: Result<Vec<u8>, postcard::Error>) -> Response<ResponseBody> {
    match encoded {
        Ok(bytes) => Response::new(ResponseBody::whole(bytes)),
        Err(cause) => encoding_failed(&cause),
    }
}

fn encoding_failed(cause: &impl std::fmt::Display) -> Response<ResponseBody> {
    log::error!(cause:% = cause; "failed to encode what another node asks for");
    responses::empty(StatusCode::INTERNAL_SERVER_ERROR)
}
