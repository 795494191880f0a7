//! Issues permits with `POST /v1/permits` and redeems them.

use std::sync::{Mutex, PoisonError};

use actix_web::{HttpRequest, HttpResponse, web};
use carobvane_core::{
    claims::{Permit, PermitError, PermitRegistry, RedeemOutcome},
    ids::NodeIncarnation,
};
use carobvane_proto::{headers, openai::PermitResponse};

use super::{
    active_lists::ActiveLists,
    error::{ApiError, ErrorCode},
    shared::EntryShared,
};
use crate::{clock, peer::FleetKey};

/// Most permits that one request may ask for.
const MAX_PERMITS_PER_REQUEST: u32 = 100;

/// Registers the endpoint.
pub fn configure(config: &mut web::ServiceConfig) {
    config.route("/v1/permits", web::post().to(issue_permits));
}

/// The permit registry of this incarnation, shared by its threads.
pub struct SharedPermits {
    registry: Mutex<PermitRegistry>,
}

impl SharedPermits {
    /// Creates the registry of an incarnation. Permits are authenticated with a key derived from
    /// `fleet_key`.
    pub fn new(own: NodeIncarnation, fleet_key: &FleetKey) -> SharedPermits {
        SharedPermits {
            registry: Mutex::new(PermitRegistry::new(own, fleet_key.derive("permits"))),
        }
    }

    /// Issues one permit to a workspace.
    ///
    /// # Errors
    ///
    /// Fails if the registry is full.
    pub fn issue(&self, workspace: &str) -> Result<Permit, PermitError> {
        self.registry().issue(workspace, clock::now())
    }

    /// Redeems the permit of a request, after which it cannot be used again.
    ///
    /// # Errors
    ///
    /// Returns the error for the client if the permit is invalid, used, or not from this
    /// incarnation.
    pub fn redeem(
        &self,
        text: &str,
        workspace: &str,
        lists: &ActiveLists,
    ) -> Result<Permit, ApiError> {
        let invalid = || {
            ApiError::not_run(
                ErrorCode::PermitInvalid,
                "the permit is invalid or was issued to another workspace",
            )
        };
        let permit: Permit = text.parse().map_err(|_| invalid())?;
        let outcome = self.registry().redeem(&permit, workspace);
        let unknown = |message: &str| ApiError::unknown(ErrorCode::ResultUnknown, message);
        match outcome {
            RedeemOutcome::Run => Ok(permit),
            RedeemOutcome::Invalid => Err(invalid()),
            RedeemOutcome::AlreadyRedeemed => {
                Err(unknown("the permit has been used or is too old"))
            }
            RedeemOutcome::IssuerRestarted => {
                Err(unknown("the entry that issued the permit has restarted"))
            }
            RedeemOutcome::IssuedElsewhere(node) => {
                let entries = &mut lists.document.entries.values();
                let issuer = entries.find(|entry| entry.node == node);
                let mut error = unknown("another entry issued the permit");
                error.location = issuer.map(|entry| format!("http://{}", entry.http_address));
                Err(error)
            }
        }
    }

    /// Makes a redeemed permit valid again, because its request was not sent.
    pub fn restore(&self, permit: &Permit) {
        self.registry().restore(permit);
    }

    fn registry(&self) -> std::sync::MutexGuard<'_, PermitRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn issue_permits(
    request: HttpRequest,
    shared: web::Data<EntryShared>,
) -> Result<HttpResponse, ApiError> {
    let (lists, workspace) = shared.authenticate(&request)?;
    if shared.is_draining() {
        // Permits are lost when this process ends.
        return Err(shared.draining_error());
    }
    let count = parse_permit_count(request.query_string())?;
    let mut permits = Vec::new();
    for _ in 0..count {
        let permit = shared.permits.issue(&workspace.name).map_err(|error| {
            ApiError::not_run(ErrorCode::Overloaded, error.to_string())
                .with_retry_after(std::time::Duration::from_secs(1))
        })?;
        permits.push(permit.to_string());
    }
    let own = lists.document.entries.values().find(|entry| entry.node == shared.own.node);
    let entry = own.map(|entry| format!("http://{}", entry.http_address));
    Ok(HttpResponse::Ok()
        .insert_header((headers::INCARNATION, shared.own.incarnation.0.to_string()))
        .json(PermitResponse { permits, entry }))
}

/// Returns the number in `?count=`, or 1 if it is absent.
fn parse_permit_count(query: &str) -> Result<u32, ApiError> {
    let Some(text) = query.split('&').find_map(|pair| pair.strip_prefix("count=")) else {
        return Ok(1);
    };
    let count = text.parse().ok().filter(|count| (1..=MAX_PERMITS_PER_REQUEST).contains(count));
    count.ok_or_else(|| {
        let message = format!("count must be from 1 to {MAX_PERMITS_PER_REQUEST}");
        ApiError::not_run(ErrorCode::InvalidBody, message).with_param("count")
    })
}
