package index_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/index"
)

func TestMatchIgnoresRoutesByPrefix(t *testing.T) {
	second := lacewingramp.Duration(time.Second)
	x := index.New(&lacewingramp.Table{Routes: []lacewingramp.Route{
		{Name: "one", Service: "s", Host: "h", Prefix: "/a/", Deadline: second},
		{Name: "two", Service: "s", Host: "h", Prefix: "/b/", Deadline: second},
		{Name: "three", Service: "s", Method: http.MethodGet, Path: "/c/{id}", Deadline: second},
	}})
	for target, want := range map[string]string{"http://h/a/1": "", "http://h/b/1": "", "http://h/c/1": "three"} {
		got := ""
		if r, ok := x.Match(httptest.NewRequest(http.MethodGet, target, nil)); ok {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s matches route %q, want %q", target, got, want)
		}
	}
}
