//! The requests in flight: which client waits for each, which attempt is in flight and when the client gives up.
//! Independent of protocol and sockets: the caller chooses the types that identify owners and connections.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Micros, RequestId};

/// A request that has not been answered.
#[derive(Debug)]
pub struct InFlightRequest<C, S, O = C> {
    /// The client that waits for the response.
    pub owner: O,
    /// The statement to forward to a host.
    pub statement: S,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// The client's id for the request, unique among the requests in flight.
    client_id: String,
    attempt: Option<C>,
    /// An attempt has been started, so that the request may have run.
    has_attempt: bool,
    is_streaming: bool,
}

impl<C: Copy, S, O> InFlightRequest<C, S, O> {
    /// The connection that carries the attempt in flight.
    pub fn attempt(&self) -> Option<C> {
        self.attempt
    }

    /// Whether the response has begun to stream to the client: from then on there is no deadline and no retry.
    pub fn is_streaming(&self) -> bool {
        self.is_streaming
    }
}

/// All requests that have not been answered. Each is removed exactly once, by [`InFlightRequests::finish`].
#[derive(Debug)]
pub struct InFlightRequests<C, S, O = C> {
    requests: BTreeMap<RequestId, InFlightRequest<C, S, O>>,
    client_ids: BTreeSet<String>,
    /// Client ids of requests that are not in flight here and may be running: clients have left them, or another process
    /// of this gateway answers them during a hot restart.
    elsewhere: ReservedIds,
}

/// Largest number of client ids that are reserved for requests that are not in flight here.
const MAX_RESERVED_IDS: usize = 16 * 1024;

/// Client ids that no new request may have, each until the deadline of the request that had it.
#[derive(Debug, Default)]
struct ReservedIds {
    deadlines: BTreeMap<String, Micros>,
    by_deadline: BTreeSet<(Micros, String)>,
}

impl ReservedIds {
    /// Reserves an id. If there are too many, the one whose deadline is the earliest is released.
    fn insert(&mut self, client_id: String, deadline: Micros) {
        if let Some(earlier) = self.deadlines.insert(client_id.clone(), deadline) {
            self.by_deadline.remove(&(earlier, client_id.clone()));
        }
        self.by_deadline.insert((deadline, client_id));
        while self.by_deadline.len() > MAX_RESERVED_IDS {
            self.release_first();
        }
    }

    /// Releases the ids whose deadlines have passed.
    fn expire(&mut self, now: Micros) {
        while self.by_deadline.first().is_some_and(|(deadline, _)| *deadline <= now) {
            self.release_first();
        }
    }

    fn release_first(&mut self) {
        if let Some((_, client_id)) = self.by_deadline.pop_first() {
            self.deadlines.remove(&client_id);
        }
    }
}

impl<C, S, O> Default for InFlightRequests<C, S, O> {
    fn default() -> Self {
        InFlightRequests {
            requests: BTreeMap::new(),
            client_ids: BTreeSet::new(),
            elsewhere: ReservedIds::default(),
        }
    }
}

impl<C: Copy, S, O> InFlightRequests<C, S, O> {
    /// Adds a request.
    pub fn insert(&mut self, id: RequestId, client_id: &str, owner: O, statement: S, deadline: Micros) {
        let client_id = client_id.to_string();
        self.client_ids.insert(client_id.clone());
        let request = InFlightRequest {
            owner,
            statement,
            deadline,
            client_id,
            attempt: None,
            has_attempt: false,
            is_streaming: false,
        };
        self.requests.insert(id, request);
    }

    /// Whether a request with this client id is in flight, or may still be running.
    pub fn has_client_id(&self, client_id: &str) -> bool {
        self.client_ids.contains(client_id) || self.elsewhere.deadlines.contains_key(client_id)
    }

    /// The client id and the deadline of each request that is in flight or may still be running.
    pub fn client_ids(&self) -> impl Iterator<Item = (&str, Micros)> {
        let in_flight = self.requests.values().map(|request| (request.client_id.as_str(), request.deadline));
        let elsewhere = self.elsewhere.deadlines.iter();
        in_flight.chain(elsewhere.map(|(client_id, deadline)| (client_id.as_str(), *deadline)))
    }

    /// The requests whose responses have not begun to stream.
    pub fn waiting(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.requests.iter().filter(|(_, request)| !request.is_streaming).map(|(id, _)| *id)
    }

    /// Adds the client ids and deadlines of requests that another process answers.
    pub fn add_at_other_process(&mut self, requests: impl IntoIterator<Item = (String, Micros)>) {
        requests.into_iter().for_each(|(client_id, deadline)| self.elsewhere.insert(client_id, deadline));
    }

    /// Releases the client ids of requests that are not in flight here and whose deadlines have passed.
    pub fn expire_client_ids(&mut self, now: Micros) {
        self.elsewhere.expire(now);
    }

    /// The request, unless it has been answered.
    pub fn get(&self, id: RequestId) -> Option<&InFlightRequest<C, S, O>> {
        self.requests.get(&id)
    }

    /// Records an attempt. Returns false and records none if the request is finished or another attempt is in flight.
    #[must_use]
    pub fn start_attempt(&mut self, id: RequestId, connection: C) -> bool {
        let idle = self.requests.get_mut(&id).filter(|request| request.attempt.is_none());
        idle.map(|request| (request.attempt, request.has_attempt) = (Some(connection), true)).is_some()
    }

    /// Records that the response of the attempt in flight has begun to stream to the client.
    pub fn start_streaming(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_streaming = request.attempt.is_some();
        }
    }

    /// Records the end of the attempt in flight and returns its connection.
    pub fn end_attempt(&mut self, id: RequestId) -> Option<C> {
        self.requests.get_mut(&id)?.attempt.take()
    }

    /// Removes and returns a request. The caller must answer it; later calls return none.
    pub fn finish(&mut self, id: RequestId) -> Option<InFlightRequest<C, S, O>> {
        let request = self.requests.remove(&id)?;
        self.client_ids.remove(&request.client_id);
        Some(request)
    }

    /// Removes and returns a request whose client has left. Its id stays reserved until its deadline if it may have run:
    /// it must not run twice when it comes again.
    pub fn abandon(&mut self, id: RequestId) -> Option<InFlightRequest<C, S, O>> {
        let request = self.finish(id)?;
        if request.has_attempt {
            self.elsewhere.insert(request.client_id.clone(), request.deadline);
        }
        Some(request)
    }

    /// Number of requests that have not been answered.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether all requests have been answered.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
