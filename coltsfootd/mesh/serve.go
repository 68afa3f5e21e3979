package mesh

import (
	"encoding/json"
	"expvar"
	"net/http"

	"coltsfootusher.example/coltsfootd/peers"
	"coltsfootusher.example/core/dispatch"
)

// isDispatch reports whether a request on the peer address is for the local target.
func isDispatch(r *http.Request) bool {
	return r.Header.Get(dispatch.ContextHeader) != ""
}

// servePing tells a peer which incarnation answers.
func (n *Node) servePing(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, peers.Pong{Incarnation: n.incarnation, Leaving: n.leaving.Load()})
}

// serveReadiness answers 200 while the node takes new work, on every path.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	mux.HandleFunc("/explain", func(w http.ResponseWriter, r *http.Request) {
		id := r.URL.Query().Get("request")
		if id == "" {
			http.Error(w, "the parameter request is missing", http.StatusBadRequest)
			return
		}
		writeJSON(w, n.recorder.Explain(id))
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // The other end has gone if this fails.
}
