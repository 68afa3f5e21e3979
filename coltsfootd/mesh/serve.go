package mesh

import (
	"cmp"
	"encoding/json"
	"expvar"
	"net/http"
	"strconv"

	"coltsfootusher.example/coltsfootd/forward"
	"coltsfootusher.example/coltsfootd/operator"
	"coltsfootusher.example/coltsfootd/peers"
	"coltsfootusher.example/coltsfootd/preview"
	"coltsfootusher.example/core/dispatch"
)

// isDispatch reports whether a request on the peer address is to be run at the local target.
func isDispatch(r *http.Request) bool {
	return r.Header.Get(dispatch.ContextHeader) != ""
}

// servePing returns the node's incarnation and whether it is leaving.
func (n *Node) servePing(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, peers.Pong{Incarnation: n.incarnation, Leaving: n.leaving.Load()})
}

// serveReadiness returns status 200 on every path while the node is ready, and 503 otherwise.
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
	mux.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.status()) })
	mux.HandleFunc("/explain", func(w http.ResponseWriter, r *http.Request) {
		id := r.URL.Query().Get("request")
		if id == "" {
			http.Error(w, "the parameter request is missing", http.StatusBadRequest)
			return
		}
		writeJSON(w, n.recorder.Explain(id))
	})
	mux.HandleFunc("GET "+preview.Path, n.servePreview)
	return mux
}

// status returns the state of the node as operators see it.
func (n *Node) status() operator.Status {
	targetWarmup := n.runner.Warmup()
	s := operator.Status{
		Node: n.settings.NodeName, Incarnation: n.incarnation, FailureDomain: n.settings.FailureDomain, Service: n.settings.Service,
		Leaving: n.leaving.Load(), Ready: n.ready(), WatcherRank: -1, Load: n.admission.Load(), TargetWarmup: &targetWarmup,
	}
	if v := n.directory.View(); v != nil {
		s.EvacuatedDomains = v.Evacuated
	}
	return s
}

// servePreview tells where a request would be sent now, without sending it.
func (n *Node) servePreview(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	p := forward.PreviewRequest{
		Method: cmp.Or(query.Get("method"), http.MethodGet), Host: query.Get("host"), Path: query.Get("path"),
		Key: r.Header.Get(preview.KeyHeader),
	}
	if p.Path == "" {
		http.Error(w, "the parameter path is missing", http.StatusBadRequest)
		return
	}
	if text := query.Get("body"); text != "" {
		size, err := strconv.Atoi(text)
		if err != nil || size < 0 {
			http.Error(w, "the parameter body must be a number of bytes", http.StatusBadRequest)
			return
		}
		p.BodyBytes = size
	}
	a := n.handler.Preview(p)
	a.Node = n.settings.NodeName
	writeJSON(w, a)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // Fails only if the client has disconnected.
}
