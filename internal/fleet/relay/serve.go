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

// InfoPath is the URL path at which a relay serves its Info.
const InfoPath = "/v1/relay"

// Info is the state of a relay.
type Info struct {
	Region  string                `json:"region"`
	Zone    string                `json:"zone"`
	Name    string                `json:"name"`
	Version configuration.Version `json:"version"`
	// Ready reports whether the relay has ever been in contact with the cluster. AgeMS is the
	// time since the last contact, in milliseconds.
	Ready             bool   `json:"ready"`
	AgeMS             int64  `json:"age_ms"`
	Draining          bool   `json:"draining"`
	Subscribers       int    `json:"subscribers"`    // subscribers that polled within the last 15 minutes
	Connections       int64  `json:"connections"`    // open connections
	SnapshotsInFlight int    `json:"snapshots_now"`  // snapshots that are sent but not yet acknowledged
	SnapshotsPeak     int    `json:"snapshots_peak"` // highest number of snapshots in flight so far
	Counts            Counts `json:"counts"`
}

func (r *Relay) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+configuration.PollPath, r.servePoll)
	mux.HandleFunc("GET "+configuration.StatusPath, r.serveStatus)
	mux.HandleFunc("GET "+InfoPath, r.serveInfo)
	return mux
}

// serveStatus serves the status of the subscribers of a service.
func (r *Relay) serveStatus(w http.ResponseWriter, req *http.Request) {
	service := req.URL.Query().Get(configuration.StatusParameter)
	if err := configuration.ValidateName(configuration.StatusParameter, service); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, last := r.feed.state()
	now := bootclock.Now()
	r.mu.Lock()
	subscribers := r.registry.Status(now, service)
	r.mu.Unlock()
	r.writeJSON(w, http.StatusOK, &configuration.StatusResponse{
		Region: r.config.Region, Version: version, AgeMS: last.age(now).Milliseconds(), Subscribers: subscribers,
	})
}

// serveInfo serves the state of the relay.
func (r *Relay) serveInfo(w http.ResponseWriter, _ *http.Request) {
	version, last := r.feed.state()
	now := bootclock.Now()
	info := &Info{
		Region: r.config.Region, Zone: r.config.Zone, Name: r.config.Name,
		Version: version, Ready: last.known, AgeMS: last.age(now).Milliseconds(), Draining: r.isDraining(),
		Connections: r.listener.open.Load(), Counts: r.counters.read(),
	}
	info.Counts.ConnectionsRejected = r.listener.rejected.Load()
	r.mu.Lock()
	r.registry.ExpireInactive(now)
	info.Subscribers = r.registry.Len()
	info.SnapshotsInFlight, info.SnapshotsPeak = r.admission.limiter.InFlight(now), r.admission.limiter.PeakInFlight()
	r.mu.Unlock()
	r.writeJSON(w, http.StatusOK, info)
}

// pollResponse is the response to a poll. contact is the last contact at the time at which the
// relay read the version for the response; the age of the response is computed from it.
type pollResponse struct {
	configuration.PollResponse
	contact contact
}

// writeResponse sets the age of a response to its current value and writes it.
func (r *Relay) writeResponse(w http.ResponseWriter, status int, response *pollResponse) {
	if response.ErrorCode == configuration.CodeDraining {
		w.Header().Set("Connection", "close")
	}
	text := bufferPool.Get().(*bytes.Buffer)
	defer releaseBuffer(text)
	response.AgeMS = response.contact.age(bootclock.Now()).Milliseconds()
	if err := encodeResponse(text, &response.PollResponse); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	r.write(w, status, text.Bytes())
}

// writeJSON writes a value as a JSON response.
func (r *Relay) writeJSON(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	r.write(w, status, text)
}

// write writes a complete response within the configured WriteTimeout.
func (r *Relay) write(w http.ResponseWriter, status int, text []byte) {
	controller := http.NewResponseController(w)
	if err := controller.SetWriteDeadline(time.Now().Add(r.config.WriteTimeout)); err != nil {
		r.log.Debug("setting the write deadline failed", "error", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, err := w.Write(text)
	if err == nil {
		err = controller.Flush()
	}
	if err != nil {
		r.counters.update(func(counts *Counts) { counts.WriteTimeouts++ })
	}
}
