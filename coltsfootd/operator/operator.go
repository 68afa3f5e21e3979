package operator

import (
	"encoding/json"
	"expvar"
	"net/http"

	"coltsfootusher.example/coltsfootd/decision"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/config"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/warmup"
)

// Status is the state of a node as operators see it.
type Status struct {
	Node          string `json:"node"`
	Incarnation   uint64 `json:"incarnation,string"`
	FailureDomain string `json:"failureDomain"`
	Service       string `json:"service"`
	Leaving       bool   `json:"leaving"`
	// LeavingReasons are the reasons for which the gate refuses new work.
	LeavingReasons []string `json:"leavingReasons,omitempty"`
	Ready          bool     `json:"ready"`
	// LimitsReady is false until this node's seats hold tokens after its start.
	LimitsReady bool `json:"limitsReady"`
	// Held is true while requests wait because the process was paused and has not yet confirmed its versions.
	Held bool `json:"held"`
	// Pauses is the number of pauses since the start.
	Pauses int64 `json:"pauses"`
	// WatcherRank is the rank among the nodes of the failure domain that watch the platform, or -1.
	WatcherRank  int    `json:"watcherRank"`
	ActivePreset string `json:"activePreset"`
	// Versions are the versions of the sections in force.
	Versions map[fleet.SectionName]int64 `json:"versions"`
	// AgesMs are the times since each section was last confirmed as current.
	AgesMs map[fleet.SectionName]clock.Millis `json:"agesMs,omitempty"`
	Load   call.Load                          `json:"load"`
	// InFlight is the number of requests that the local target runs.
	InFlight int `json:"inFlight"`
	// TargetWarmup is the state of the local target, on the users' platform.
	TargetWarmup *warmup.State `json:"targetWarmup,omitempty"`
	// LastContactMs are the times since the platform and each peer last answered.
	LastContactMs map[string]clock.Millis `json:"lastContactMs,omitempty"`
	// LeavingPeers are the nodes that announced that they take no new work.
	LeavingPeers []string `json:"leavingPeers,omitempty"`
	// EvacuatedDomains are the failure domains to whose targets this node sends no requests.
	EvacuatedDomains []string `json:"evacuatedDomains,omitempty"`
	// Sections describe the published values in force and those that were not applied.
	Sections []config.Status `json:"sections,omitempty"`
	// ControlError is set if the control loop did not answer; the fields that come from it are then empty.
	ControlError string `json:"controlError,omitempty"`
}

// Handler returns the handler for the operator address.
func Handler(status func() Status, recorder *decision.Recorder) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	mux.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, status())
	})
	mux.HandleFunc("/explain", func(w http.ResponseWriter, r *http.Request) {
		id := r.URL.Query().Get("request")
		if id == "" {
			http.Error(w, "the parameter request is missing", http.StatusBadRequest)
			return
		}
		writeJSON(w, recorder.Explain(id))
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
