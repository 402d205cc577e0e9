package front

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/call/record"
	"lacewingramp.example/lacewingramp/internal/steer/resolver"
)

// LookupResponse is the response to a lookup. Domain is the failure domain that the
// caller is assigned to. A caller tries the instances in order, and may reuse the
// response for Lifetime, which is in seconds. It may prefix its idempotency keys with
// Stamp and a dot; package record says why.
type LookupResponse struct {
	Service   string            `json:"service"`
	Domain    string            `json:"domain"`
	Instances []InstanceAddress `json:"instances"`
	Lifetime  int               `json:"lifetime"`
	Stamp     string            `json:"stamp"`
	Revision  int64             `json:"revision"`
}

// InstanceAddress is the address and the domain of an entry instance that a caller may use.
type InstanceAddress struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

// lookup handles GET /steer?service=S. A caller may state its domain in the parameter
// domain, or an address in its CIDR block in the parameter block. Without either, the
// source address of the request is used.
func (h *Handler) lookup(w http.ResponseWriter, r *http.Request) {
	tableIndex := h.State.Index()
	if tableIndex == nil {
		http.Error(w, "no table in force yet", http.StatusServiceUnavailable)
		return
	}
	q := query(r)
	if !isService(q.Service, tableIndex.Table.Services) {
		http.Error(w, "unknown service", http.StatusNotFound)
		return
	}
	h.State.Lock()
	a := h.State.Resolver.Answer(q)
	h.State.Unlock()
	out := LookupResponse{
		Service: q.Service, Domain: a.CallerDomain, Revision: tableIndex.Table.Revision,
		Lifetime: int(a.Lifetime / time.Second), Instances: make([]InstanceAddress, 0, len(a.Instances())),
	}
	for _, e := range a.Instances() {
		out.Instances = append(out.Instances, InstanceAddress{Address: e.Caller, Domain: e.Domain})
	}
	out.Stamp = record.Stamp(h.stampDomain(out.Instances), h.Timer.Now())
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(out.Lifetime))
	h.setCommonHeaders(w.Header())
	_ = json.NewEncoder(w).Encode(out)
}

// stampDomain returns the domain that should keep the idempotency records of the
// caller. It is the first of the domains of the instances in the response in which
// every shard has a live holder, so that every record can be kept. If there is none, it
// is the domain of the first instance, and for an empty response the domain of this
// instance.
func (h *Handler) stampDomain(instances []InstanceAddress) string {
	now := h.Timer.Now()
	h.State.Lock()
	defer h.State.Unlock()
	for _, a := range instances {
		if h.State.AllShardsHeld(now, a.Domain) {
			return a.Domain
		}
	}
	if len(instances) > 0 {
		return instances[0].Domain
	}
	return h.State.Self.Domain
}

func query(r *http.Request) resolver.Query {
	v := r.URL.Query()
	q := resolver.Query{Service: v.Get("service"), Domain: v.Get("domain"), Address: callerAddress(r)}
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
