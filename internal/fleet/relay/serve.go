package relay

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"otterspring/internal/bootclock"
	"otterspring/internal/fleet/configuration"
)

// InfoPath is where a relay says how it is.
const InfoPath = "/v1/relay"

// Info is how a relay is.
type Info struct {
	Region  string                `json:"region"`
	Zone    string                `json:"zone"`
	Name    string                `json:"name"`
	Version configuration.Version `json:"version"`
	// Ready tells whether a council was ever heard; AgeMS is how long ago that was.
	Ready         bool   `json:"ready"`
	AgeMS         int64  `json:"age_ms"`
	Draining      bool   `json:"draining"`
	Subscribers   int    `json:"subscribers"`    // that were heard within the last quarter of an hour
	Connections   int64  `json:"connections"`    // that are open
	SnapshotsNow  int    `json:"snapshots_now"`  // sent and not acknowledged
	SnapshotsPeak int    `json:"snapshots_peak"` // the most at a time
	Counts        Counts `json:"counts"`
}

func (r *Relay) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+configuration.PollPath, r.servePoll)
	mux.HandleFunc("GET "+configuration.StatusPath, r.serveStatus)
	mux.HandleFunc("GET "+InfoPath, r.serveInfo)
	return mux
}

// serveStatus tells how the subscribers stand to a service.
func (r *Relay) serveStatus(w http.ResponseWriter, req *http.Request) {
	service := req.URL.Query().Get(configuration.StatusParameter)
	if err := configuration.ValidateName(configuration.StatusParameter, service); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, heard := r.feed.state()
	now := bootclock.Now()
	r.mu.Lock()
	subscribers := r.registry.Status(now, service)
	r.mu.Unlock()
	r.writeJSON(w, http.StatusOK, &configuration.StatusResponse{
		Region: r.file.Region, Version: version, AgeMS: heard.age(now).Milliseconds(), Subscribers: subscribers,
	})
}

// serveInfo tells how the relay is.
func (r *Relay) serveInfo(w http.ResponseWriter, _ *http.Request) {
	version, heard := r.feed.state()
	now := bootclock.Now()
	info := &Info{
		Region: r.file.Region, Zone: r.file.Zone, Name: r.file.Name,
		Version: version, Ready: heard.known, AgeMS: heard.age(now).Milliseconds(), Draining: r.isDraining(),
		Connections: r.listener.open.Load(), Counts: r.counts.read(),
	}
	info.Counts.ConnectionsRefused = r.listener.refused.Load()
	r.mu.Lock()
	r.registry.ExpireInactive(now)
	info.Subscribers = r.registry.Len()
	info.SnapshotsNow, info.SnapshotsPeak = r.admission.decide.InFlight(now), r.admission.decide.Peak()
	r.mu.Unlock()
	r.writeJSON(w, http.StatusOK, info)
}

// reply is the answer to a poll, with when what it tells was heard.
type reply struct {
	configuration.PollResponse
	heard hearing
}

// writeReply writes a reply with the age that it has now.
func (r *Relay) writeReply(w http.ResponseWriter, status int, answer *reply) {
	if answer.ErrorCode == configuration.CodeDraining {
		w.Header().Set("Connection", "close")
	}
	text := buffers.Get().(*bytes.Buffer)
	defer releaseBuffer(text)
	answer.AgeMS = answer.heard.age(bootclock.Now()).Milliseconds()
	if err := encodeAnswer(text, &answer.PollResponse); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	r.write(w, status, text.Bytes())
}

// writeJSON writes an answer of another kind.
func (r *Relay) writeJSON(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	r.write(w, status, text)
}

// write writes a whole answer, within the time that a subscriber has to read it.
func (r *Relay) write(w http.ResponseWriter, status int, text []byte) {
	controller := http.NewResponseController(w)
	controller.SetWriteDeadline(time.Now().Add(r.file.WriteTimeout))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, err := w.Write(text)
	if err == nil {
		err = controller.Flush()
	}
	if err != nil {
		r.counts.cut.Add(1)
	}
}
