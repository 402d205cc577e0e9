package front

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/record"
	"lacewingramp.example/lacewingramp/internal/steer/region"
)

// Steered is the answer of a look-up. Lifetime is in seconds. A caller tries
// the addresses in order, and may put Stamp and a dot before an idempotency
// key of its own.
type Steered struct {
	Service   string      `json:"service"`
	Domain    string      `json:"domain"`
	Instances []Addressed `json:"instances"`
	Lifetime  int         `json:"lifetime"`
	Stamp     string      `json:"stamp"`
	Revision  int64       `json:"revision"`
}

// Addressed is an entry instance that a caller may use.
type Addressed struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

// steer answers GET /steer?service=S. A caller may state its domain or its
// block's address; without either its own address counts.
func (h *Handler) steer(w http.ResponseWriter, r *http.Request) {
	x := h.State.Index()
	if x == nil {
		http.Error(w, "no table in force yet", http.StatusServiceUnavailable)
		return
	}
	q := query(r)
	if !isService(q.Service, x.Table.Services) {
		http.Error(w, "unknown service", http.StatusNotFound)
		return
	}
	h.State.Lock()
	a := h.State.Guide.Answer(q)
	h.State.Unlock()
	out := Steered{
		Service: q.Service, Domain: a.Home, Revision: x.Table.Revision,
		Lifetime: int(a.Lifetime / time.Second), Instances: make([]Addressed, 0, len(a.Instances())),
	}
	for _, e := range a.Instances() {
		out.Instances = append(out.Instances, Addressed{Address: e.Caller, Domain: e.Domain})
	}
	out.Stamp = record.Stamp(h.stampDomain(out.Instances), h.Timer.Now())
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(out.Lifetime))
	h.sign(w.Header())
	_ = json.NewEncoder(w).Encode(out)
}

// stampDomain is where an order of the caller should have its record: in the
// domain of the first instance that it is sent to all of whose shards have a
// live holder.
func (h *Handler) stampDomain(all []Addressed) string {
	now := h.Timer.Now()
	h.State.Lock()
	defer h.State.Unlock()
	for _, a := range all {
		if h.State.Covered(now, a.Domain) {
			return a.Domain
		}
	}
	if len(all) > 0 {
		return all[0].Domain
	}
	return h.State.Self.Domain
}

func query(r *http.Request) region.Query {
	v := r.URL.Query()
	q := region.Query{Service: v.Get("service"), Domain: v.Get("domain"), Address: callerAddress(r)}
	if a, err := netip.ParseAddr(v.Get("block")); err == nil {
		q.Address = a.Unmap()
	}
	q.Customer = v.Get("customer")
	q.Caller = q.Customer + "/" + q.Address.String()
	return q
}

func isService(name string, all []lacewingramp.Service) bool {
	for _, s := range all {
		if s.Name == name {
			return true
		}
	}
	return false
}
