package server

import (
	"encoding/json"
	"expvar"
	"net/http"
	"strings"

	"lacewingramp.example/lacewingramp/internal/entry/instance"
	"lacewingramp.example/lacewingramp/internal/report/page"
)

// operatorMux returns the HTTP handler for operators. It serves the report of the
// instance, its audit trail, which lists the Tables that came into force, the metrics,
// and the liveness and readiness checks of the platform.
func operatorMux(i *instance.Instance) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, r *http.Request) { report(w, r, i) })
	mux.HandleFunc("GET /audit", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, i.Audit()) })
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { ready(w, i) })
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, r *http.Request) { metrics(w, r, i) })
	return mux
}

func report(w http.ResponseWriter, r *http.Request, i *instance.Instance) {
	rep := page.Of(i)
	if strings.Contains(r.Header.Get("Accept"), "text/plain") {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_ = rep.WriteText(w)
		return
	}
	writeJSON(w, rep)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func ready(w http.ResponseWriter, i *instance.Instance) {
	if l := i.LifecycleState(); l != "serving" {
		http.Error(w, string(l), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// metrics writes the process's expvar variables and the report of this instance.
// The report is not published as an expvar variable, because several instances
// can run in one process.
func metrics(w http.ResponseWriter, _ *http.Request, i *instance.Instance) {
	all := make(map[string]json.RawMessage)
	expvar.Do(func(k expvar.KeyValue) { all[k.Key] = json.RawMessage(k.Value.String()) })
	raw, err := json.Marshal(page.Of(i))
	if err == nil {
		all["lacewingramp"] = raw
	}
	writeJSON(w, all)
}
