//! The requests that are owed a response: who waits for each, which attempt is out and when the client gives up.
//! Knows no protocol and no sockets: owners and connections are whatever the caller names them by.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Micros, RequestId};

/// A request that is owed a response.
#[derive(Debug)]
pub struct InFlightRequest<C, S, O = C> {
    /// Who waits for the response.
    pub owner: O,
    /// What is forwarded to a host.
    pub statement: S,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// The id that the client gave it, which no other request may have while it is in flight.
    client_id: String,
    attempt: Option<C>,
    is_streaming: bool,
}

impl<C: Copy, S, O> InFlightRequest<C, S, O> {
    /// The connection that carries the attempt now out.
    pub fn attempt(&self) -> Option<C> {
        self.attempt
    }

    /// Whether its response has begun to stream to the client: from then on it has no deadline and no retry.
    pub fn is_streaming(&self) -> bool {
        self.is_streaming
    }
}

/// All requests that are owed a response. Each leaves exactly once, through [`InFlightRequests::finish`].
#[derive(Debug)]
pub struct InFlightRequests<C, S, O = C> {
    requests: BTreeMap<RequestId, InFlightRequest<C, S, O>>,
    client_ids: BTreeSet<String>,
    /// Client ids of requests that another process answers, and when each ends at the latest.
    elsewhere: BTreeMap<String, Micros>,
}

impl<C, S, O> Default for InFlightRequests<C, S, O> {
    fn default() -> Self {
        InFlightRequests {
            requests: BTreeMap::new(),
            client_ids: BTreeSet::new(),
            elsewhere: BTreeMap::new(),
        }
    }
}

impl<C: Copy, S, O> InFlightRequests<C, S, O> {
    /// Adds a request.
    pub fn insert(&mut self, id: RequestId, client_id: &str, owner: O, statement: S, deadline: Micros) {
        let client_id = client_id.to_string();
        self.client_ids.insert(client_id.clone());
        let request =
            InFlightRequest { owner, statement, deadline, client_id, attempt: None, is_streaming: false };
        self.requests.insert(id, request);
    }

    /// Whether a request to which a client gave this id is in flight, here or at another process.
    pub fn has_client_id(&self, client_id: &str) -> bool {
        self.client_ids.contains(client_id) || self.elsewhere.contains_key(client_id)
    }

    /// The client ids of the requests, and when each request ends at the latest.
    pub fn client_ids(&self) -> impl Iterator<Item = (&str, Micros)> {
        self.requests.values().map(|request| (request.client_id.as_str(), request.deadline))
    }

    /// The requests whose responses do not stream yet.
    pub fn waiting(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.requests.iter().filter(|(_, request)| !request.is_streaming).map(|(id, _)| *id)
    }

    /// Adds requests that another process answers, by their client ids and deadlines.
    pub fn add_at_other_process(&mut self, requests: impl IntoIterator<Item = (String, Micros)>) {
        self.elsewhere.extend(requests);
    }

    /// Forgets the requests of another process whose deadlines have passed.
    pub fn expire_at_other_process(&mut self, now: Micros) {
        self.elsewhere.retain(|_, deadline| *deadline > now);
    }

    /// The request, while it is owed a response.
    pub fn get(&self, id: RequestId) -> Option<&InFlightRequest<C, S, O>> {
        self.requests.get(&id)
    }

    /// Records an attempt. False, and nothing is recorded, if the request has finished or an attempt is out already.
    #[must_use]
    pub fn start_attempt(&mut self, id: RequestId, connection: C) -> bool {
        let free = self.requests.get_mut(&id).filter(|request| request.attempt.is_none());
        free.map(|request| request.attempt = Some(connection)).is_some()
    }

    /// Records that the response of the attempt that is out streams to the client from now on.
    pub fn start_streaming(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_streaming = request.attempt.is_some();
        }
    }

    /// Records the end of the attempt that is out, and returns its connection.
    pub fn end_attempt(&mut self, id: RequestId) -> Option<C> {
        self.requests.get_mut(&id)?.attempt.take()
    }

    /// Removes a request: whoever gets it must answer it, nobody else may.
    pub fn finish(&mut self, id: RequestId) -> Option<InFlightRequest<C, S, O>> {
        let request = self.requests.remove(&id)?;
        self.client_ids.remove(&request.client_id);
        Some(request)
    }

    /// Number of requests that are owed a response.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is owed a response.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
