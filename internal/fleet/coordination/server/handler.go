package server

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"otterspring/internal/faultinjection"
	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
)

// maxRequestBytes is the maximum size of a client's request body.
const maxRequestBytes = 64 << 10

// WrongClusterError is returned for a call that is addressed to another cluster.
type WrongClusterError struct{ Got, Want string }

// Error returns the message in one line.
func (e *WrongClusterError) Error() string {
	return fmt.Sprintf("found cluster %q, wanted %q", e.Got, e.Want)
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+messagesPath, s.serveMessages)
	mux.HandleFunc("GET "+acknowledgedPath, s.serveAcknowledged)
	mux.HandleFunc("POST "+client.Path, s.serveRequest)
	mux.HandleFunc("GET "+snapshotPath, s.serveSnapshot)
	return mux
}

// checkCluster reports whether a call is addressed to this cluster. It counts and rejects a
// call that is not. A client that does not know the cluster's ID yet may send the name alone,
// but another member must send the ID.
func (s *Server) checkCluster(w http.ResponseWriter, r *http.Request, fromMember bool) bool {
	got := r.Header.Get(client.ClusterHeader)
	if got == s.cluster || !fromMember && got == clusterName(s.cluster) {
		return true
	}
	s.execute(r.Context(), func() { s.wrongClusterCalls++ })
	err := &WrongClusterError{Got: got, Want: s.cluster}
	s.log.Warn("rejected a call for another cluster", "remote", r.RemoteAddr, "error", err)
	s.writeResponse(w, http.StatusConflict, &client.Response{Cluster: s.cluster, Member: s.number, Unavailable: err.Error()})
	return false
}

func (s *Server) writeResponse(w http.ResponseWriter, status int, response *client.Response) {
	data, err := json.Marshal(response)
	if err != nil {
		s.log.Error("response can't be encoded", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.WriteHeader(status)
	s.write(w, data)
}

func (s *Server) write(w io.Writer, data []byte) {
	if _, err := w.Write(data); err != nil {
		s.log.Debug("response not written", "error", err)
	}
}

// serveMessages receives a batch of raft messages from another member.
func (s *Server) serveMessages(w http.ResponseWriter, r *http.Request) {
	if !s.checkCluster(w, r, true) {
		return
	}
	batch, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBatchBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	messages, err := decodeMessages(batch, s.number)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	position, found := decodePosition(r.Header)
	status := http.StatusServiceUnavailable // returned until the member has started
	s.execute(r.Context(), func() {
		if found {
			s.recordPosition(position.Member, position.logPosition)
		}
		if s.member == nil {
			return
		}
		status = http.StatusNoContent
		for _, message := range messages {
			if !found {
				s.recordAcknowledgement(message)
			}
			if err := s.member.Step(message); err != nil {
				s.log.Debug("message not processed", "member", message.GetFrom(), "error", err)
			}
		}
	})
	w.WriteHeader(status)
}

// serveAcknowledged returns the newest position that another member has sent to this member.
func (s *Server) serveAcknowledged(w http.ResponseWriter, r *http.Request) {
	if !s.checkCluster(w, r, true) {
		return
	}
	number, err := strconv.ParseUint(r.URL.Query().Get("member"), 10, 64)
	if err != nil {
		number = 0 // not a member's number: the response is the zero position
	}
	var position logPosition
	if !s.execute(r.Context(), func() { position = s.acknowledged[number] }) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := json.NewEncoder(w).Encode(position); err != nil {
		s.log.Debug("response not written", "error", err)
	}
}

// serveSnapshot returns an encoded snapshot of the replicated state. Before that, a majority
// has to confirm that this member is the leader.
func (s *Server) serveSnapshot(w http.ResponseWriter, r *http.Request) {
	if !s.checkCluster(w, r, false) {
		return
	}
	type result struct {
		data []byte
		err  error
	}
	results := make(chan result, 1)
	s.execute(r.Context(), func() {
		if s.member == nil {
			results <- result{nil, coordination.NotLeaderError{}}
			return
		}
		s.member.Read(func(err error) {
			var data []byte
			if err == nil {
				data, err = coordination.EncodeSnapshot(s.member.State())
			}
			results <- result{data, err}
		})
	})
	select {
	case snapshot := <-results:
		if snapshot.err != nil {
			http.Error(w, snapshot.err.Error(), http.StatusServiceUnavailable)
			return
		}
		s.write(w, snapshot.data)
	case <-r.Context().Done():
	case <-s.stopped:
	}
}

// serveRequest responds to a client's request. It evaluates a long poll again after each
// change, until the response contains what the client waits for or the wait times out.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if !s.checkCluster(w, r, false) {
		return
	}
	var request client.Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&request); err != nil {
		s.writeResponse(w, http.StatusOK, &client.Response{Cluster: s.cluster, Member: s.number, Rejection: "request: " + err.Error()})
		return
	}
	deadline := time.Now().Add(min(client.MaxWait, time.Duration(request.WaitMS)*time.Millisecond))
	for {
		responses := make(chan *client.Response, 1)
		var changed <-chan struct{}
		if !s.execute(r.Context(), func() {
			changed = s.changeSignal(request.Kind)
			s.respond(&pendingCall{request: request, responses: responses})
		}) {
			return
		}
		var response *client.Response
		select {
		case response = <-responses:
		case <-r.Context().Done():
			return
		case <-s.stopped:
			return
		}
		wait := time.Until(deadline)
		if !shouldWait(request, response) || wait <= 0 {
			faultinjection.At("council-answers")
			w.Header().Set("Content-Type", "application/json")
			s.writeResponse(w, http.StatusOK, response)
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		case <-s.stopped:
		}
		timer.Stop()
	}
}

// changeSignal returns the channel that is closed when a long poll of the given kind has to
// be evaluated again. It must be called on the Run goroutine.
func (s *Server) changeSignal(kind client.RequestKind) <-chan struct{} {
	if kind == client.WatchConfiguration {
		return s.configurationWatch.changed
	}
	return s.stateChanged
}

// shouldWait reports whether a long poll keeps waiting because the response has nothing
// new for the client.
func shouldWait(request client.Request, response *client.Response) bool {
	switch request.Kind {
	case client.WatchLeases:
		return response.Index <= request.SeenIndex
	case client.WatchConfiguration:
		return response.Unavailable == "" && response.Update.Version <= request.Version
	default:
		return false
	}
}
