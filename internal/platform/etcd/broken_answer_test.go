package etcd_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/platform/etcd"
	"lacewingramp.example/lacewingramp/internal/proof/rawtarget"
)

var _ = ginkgo.Describe("an answer of the store that is cut short", func() {
	client := func(s rawtarget.Script) *etcd.Client {
		s.ReadBody = true
		t, err := rawtarget.Start(s)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(t.Close)
		return &etcd.Client{Address: "http://" + t.Address}
	}
	marshal := func(v any) string {
		raw, err := json.Marshal(v)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return string(raw)
	}
	// cuts returns the scripts that send a part of a body, with a length and without.
	cuts := func(body string) (scripts []rawtarget.Script) {
		for end := range len(body) {
			for _, head := range []string{"\r\n", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))} {
				for _, how := range []rawtarget.End{rawtarget.EndClose, rawtarget.EndReset} {
					scripts = append(scripts, rawtarget.Script{Answer: "HTTP/1.1 200 OK\r\n" + head + body[:end], End: how})
				}
			}
		}
		return scripts
	}
	pair := etcd.Pair{Key: []byte("a"), Value: []byte("1"), ModRevision: 4}

	// Guards against a key that seems to be absent, and a write that seems to have been made.
	ginkgo.It("is an error, and leaves the outcome of a write unknown", func(ctx context.Context) {
		for _, s := range cuts(marshal(etcd.RangeResponse{Pairs: []etcd.Pair{pair}})) {
			_, err := client(s).Get(ctx, "a")
			gomega.Expect(err).To(gomega.MatchError(lacewingramp.ErrUnreachable), "%q", s.Answer)
		}
		for _, s := range cuts(marshal(etcd.TxnResponse{Succeeded: true})) {
			_, err := client(s).CompareAndSwap(ctx, "a", nil, 0, 0)
			gomega.Expect(err).To(gomega.MatchError(lacewingramp.ErrUnknownOutcome), "%q", s.Answer)
		}
		for _, s := range cuts(marshal(etcd.LeaseResponse{ID: 5, TTL: 3})) {
			_, err := client(s).GrantLease(ctx, 3)
			gomega.Expect(err).To(gomega.MatchError(lacewingramp.ErrUnknownOutcome), "%q", s.Answer)
		}
		for _, s := range cuts("{}") {
			gomega.Expect(client(s).Delete(ctx, "a")).To(gomega.MatchError(lacewingramp.ErrUnknownOutcome), "%q", s.Answer)
		}
	})

	ginkgo.It("ends a watch with an error, and only whole events are reported", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
		defer cancel()
		var message etcd.WatchMessage
		message.Result.Events = []etcd.Event{{Pair: pair}}
		event := marshal(message)
		for _, s := range cuts(event + event) {
			_, body, _ := strings.Cut(s.Answer, "\r\n\r\n")
			seen := 0
			err := client(s).Watch(ctx, "a", 0, func(lacewingramp.Change) { seen++ })
			gomega.Expect(err).To(gomega.MatchError(lacewingramp.ErrUnreachable), "%q", s.Answer)
			gomega.Expect(seen).To(gomega.BeNumerically("<=", len(body)/len(event)), "%q", s.Answer)
		}
	})
})
