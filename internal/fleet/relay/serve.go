package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

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
	if err := configuration.CheckName(configuration.StatusParameter, service); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	now := bootTime()
	version, _ := r.feed.version()
	r.mu.Lock()
	subscribers := r.registry.Status(now, service)
	r.mu.Unlock()
	r.writeJSON(w, http.StatusOK, &configuration.StatusAnswer{
		Region: r.file.Region, Version: version, AgeMS: r.feed.age(now).Milliseconds(), Subscribers: subscribers,
	})
}

// serveInfo tells how the relay is.
func (r *Relay) serveInfo(w http.ResponseWriter, _ *http.Request) {
	now := bootTime()
	info := &Info{
		Region: r.file.Region, Zone: r.file.Zone, Name: r.file.Name,
		AgeMS: r.feed.age(now).Milliseconds(), Draining: r.isDraining(),
		Connections: r.listener.open.Load(), Counts: r.counts.read(),
	}
	info.Counts.ConnectionsRefused = r.listener.refused.Load()
	info.Version, info.Ready = r.feed.version()
	r.mu.Lock()
	r.registry.Forget(now)
	info.Subscribers = r.registry.Len()
	info.SnapshotsNow, info.SnapshotsPeak = r.admission.decide.UnderWay(now), r.admission.decide.Peak()
	r.mu.Unlock()
	r.writeJSON(w, http.StatusOK, info)
}

// writeAnswer writes an answer with the age that the relay's knowledge has now.
func (r *Relay) writeAnswer(w http.ResponseWriter, status int, answer *configuration.PollAnswer) {
	if answer.Refusal == configuration.RefusalDraining {
		w.Header().Set("Connection", "close")
	}
	answer.AgeMS = r.feed.age(bootTime()).Milliseconds()
	r.writeJSON(w, status, answer)
}

// writeJSON writes a whole answer, within the time that a subscriber has to read it.
func (r *Relay) writeJSON(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	controller := http.NewResponseController(w)
	controller.SetWriteDeadline(time.Now().Add(r.file.WriteTimeout))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	if _, err = w.Write(text); err == nil {
		err = controller.Flush()
	}
	if err != nil {
		r.counts.cut.Add(1)
	}
}
