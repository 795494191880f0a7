//! A simulated plain HTTP service. It counts how often each booking ran, so that tests detect a
//! booking that ran twice. Other requests are answered with an echo of what arrived.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use actix_web::{
    App, HttpRequest, HttpResponse, http::StatusCode, middleware::DefaultHeaders, web,
};
use carobvane_proto::headers;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::util::{self, RunningServer, aborted_response, lock, millis};

/// Settings of a simulated plain service.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    /// Address to listen on. Port 0 selects an ephemeral port.
    pub addr: SocketAddr,
    /// Duration of each call, in milliseconds.
    pub answer_ms: f64,
    /// Incarnation number sent in the header of each response.
    pub incarnation: u64,
}

impl Default for ServiceSettings {
    fn default() -> ServiceSettings {
        ServiceSettings { addr: util::ephemeral_addr(), answer_ms: 5.0, incarnation: 1 }
    }
}

/// A change of faults (`POST /faults`); absent fields stay as they are.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Number of upcoming bookings that run and then lose their connection before the response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub die_mid_call: Option<u32>,
    /// Number of upcoming calls that are refused with status 503 and do not run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse: Option<u32>,
    /// Additional duration of each call, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<f64>,
}

/// Counters of a plain service since its start (`GET /counters`).
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceCounters {
    /// Number of runs by booking name.
    pub bookings: BTreeMap<String, u64>,
    /// Bookings and echo calls, including refused ones.
    pub calls: u64,
    /// Bookings that ran and whose connection was then closed by the `die_mid_call` fault.
    pub died: u64,
}

#[derive(Debug)]
struct ServiceCore {
    settings: ServiceSettings,
    faults: ServiceFaults,
    counters: ServiceCounters,
}

type Shared = web::Data<Mutex<ServiceCore>>;

/// Handle of a running plain service. Clones refer to the same service.
#[derive(Debug, Clone)]
pub struct ServiceHandle {
    core: Arc<Mutex<ServiceCore>>,
    server: RunningServer,
}

/// Starts a plain service inside the caller's actix system.
pub async fn start(settings: ServiceSettings) -> io::Result<ServiceHandle> {
    let listener = util::listen(settings.addr)?;
    let incarnation = settings.incarnation.to_string();
    let core = ServiceCore {
        settings,
        faults: ServiceFaults::default(),
        counters: ServiceCounters::default(),
    };
    let core = Arc::new(Mutex::new(core));
    let data = web::Data::from(core.clone());
    let app = move || {
        App::new()
            .app_data(data.clone())
            .app_data(web::PayloadConfig::new(util::MAX_BODY_BYTES))
            .wrap(DefaultHeaders::new().add((headers::INCARNATION, incarnation.clone())))
            .route("/bookings", web::post().to(create_booking))
            .route("/bookings", web::get().to(list_bookings))
            .route("/faults", web::post().to(faults))
            .route("/counters", web::get().to(counters))
            .default_service(web::to(echo))
    };
    Ok(ServiceHandle { core, server: crate::serve!(listener, app) })
}

impl ServiceHandle {
    /// Returns the address on which the service listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets the faults that `update` names.
    pub fn update_faults(&self, update: &ServiceFaults) {
        lock(&self.core).change_faults(update);
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> ServiceCounters {
        lock(&self.core).counters.clone()
    }

    /// Stops the service at once and closes its open connections.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}

impl ServiceCore {
    fn change_faults(&mut self, update: &ServiceFaults) {
        let faults = &mut self.faults;
        faults.die_mid_call = update.die_mid_call.or(faults.die_mid_call);
        faults.refuse = update.refuse.or(faults.refuse);
        faults.slow_ms = update.slow_ms.or(faults.slow_ms);
    }

    /// Counts a call. Returns whether the `refuse` fault applies to it.
    fn begin_call(&mut self) -> bool {
        self.counters.calls += 1;
        consume_fault(&mut self.faults.refuse)
    }
}

fn consume_fault(remaining: &mut Option<u32>) -> bool {
    match remaining {
        Some(count) if *count > 0 => {
            *count -= 1;
            true
        }
        _ => false,
    }
}

async fn delay_response(shared: &Shared) {
    let wait = {
        let core = lock(shared);
        millis(core.settings.answer_ms + core.faults.slow_ms.unwrap_or(0.0))
    };
    tokio::time::sleep(wait).await;
}

fn unavailable_response() -> HttpResponse {
    HttpResponse::build(StatusCode::SERVICE_UNAVAILABLE)
        .insert_header((headers::OUTCOME, "not_run"))
        .json(json!({"error": "service takes no calls"}))
}

async fn create_booking(shared: Shared, request: HttpRequest, body: web::Bytes) -> HttpResponse {
    if lock(&shared).begin_call() {
        return unavailable_response();
    }
    let header = request.headers().get(headers::IDEMPOTENCY_KEY);
    let header = header.and_then(|value| value.to_str().ok()).map(str::to_string);
    let field = || {
        let value = serde_json::from_slice::<Value>(&body).ok()?;
        value.get("booking")?.as_str().map(str::to_string)
    };
    let booking = header.or_else(field).unwrap_or_else(|| "unnamed".to_string());
    let (runs, died) = {
        let mut core = lock(&shared);
        let runs = core.counters.bookings.entry(booking.clone()).or_default();
        *runs += 1;
        let runs = *runs;
        let died = consume_fault(&mut core.faults.die_mid_call);
        core.counters.died += u64::from(died);
        (runs, died)
    };
    delay_response(&shared).await;
    if died {
        return aborted_response();
    }
    HttpResponse::Created().json(json!({"booking": booking, "runs": runs}))
}

async fn list_bookings(shared: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&lock(&shared).counters.bookings)
}

async fn echo(shared: Shared, request: HttpRequest, body: web::Bytes) -> HttpResponse {
    if lock(&shared).begin_call() {
        return unavailable_response();
    }
    delay_response(&shared).await;
    let headers: BTreeMap<String, String> = request
        .headers()
        .iter()
        .map(|(name, value)| (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into()))
        .collect();
    HttpResponse::Ok().json(json!({
        "method": request.method().as_str(),
        "path": request.path(),
        "query": request.query_string(),
        "headers": headers,
        "body": String::from_utf8_lossy(&body),
    }))
}

async fn faults(shared: Shared, update: web::Json<ServiceFaults>) -> HttpResponse {
    lock(&shared).change_faults(&update);
    HttpResponse::Ok().json(json!({}))
}

async fn counters(shared: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&lock(&shared).counters)
}
