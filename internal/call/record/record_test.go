package record

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

var domains = []lacewingramp.Domain{{Name: "uy1"}, {Name: "uy2"}, {Name: "cu1"}}

var startTime = time.Unix(1_800_000_000, 0)

func stampedKey(now time.Time, text string) Key {
	return Parse("andes", Stamp("uy1", now)+"."+text, domains)
}

func newResponse(id string) *lacewingramp.Response {
	return &lacewingramp.Response{ID: id, Status: 201}
}

var _ = ginkgo.Describe("idempotency records", func() {
	var l *Ledger
	ginkgo.BeforeEach(func() {
		l = &Ledger{}
		for n := range l.shards {
			l.Hold(n, time.Time{}, nil)
		}
	})

	ginkgo.It("let a request run once and give its retries the first response", func() {
		k := stampedKey(startTime, "1")
		gomega.Expect(k.Domain).To(gomega.Equal("uy1"))
		gomega.Expect(l.Begin(startTime, k, 7).Action).To(gomega.Equal(ActionRun))
		gomega.Expect(l.Begin(startTime, k, 7).Action).To(gomega.Equal(ActionWait))
		l.Finish(k, newResponse("first"))
		d := l.Begin(startTime.Add(time.Minute), k, 7)
		gomega.Expect(d.Action).To(gomega.Equal(ActionRespond))
		gomega.Expect(d.Response.ID).To(gomega.Equal("first"))
	})

	ginkgo.It("allow a retry of a request that did not run, and refuse one that may have run", func() {
		k := stampedKey(startTime, "1")
		l.Begin(startTime, k, 7)
		l.Finish(k, &lacewingramp.Response{Refusal: lacewingramp.NewRefusal(lacewingramp.CauseSlots, "")})
		gomega.Expect(l.Begin(startTime, k, 7).Action).To(gomega.Equal(ActionRun))
		l.Finish(k, &lacewingramp.Response{Refusal: &lacewingramp.Refusal{Verdict: lacewingramp.MayHaveRun}})
		d := l.Begin(startTime, k, 7)
		gomega.Expect(d.Action).To(gomega.Equal(ActionRefuse))
		gomega.Expect(d.Refusal.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
	})

	ginkgo.It("refuse a key that the customer used for another request, and allow it for another customer", func() {
		l.Begin(startTime, stampedKey(startTime, "1"), 7)
		gomega.Expect(l.Begin(startTime, stampedKey(startTime, "1"), 8).Refusal.Verdict).To(gomega.Equal(lacewingramp.NotRun))
		other := Parse("valle", Stamp("uy1", startTime)+".1", domains)
		gomega.Expect(l.Begin(startTime, other, 8).Action).To(gomega.Equal(ActionRun))
	})

	ginkgo.It("are handed over with their shard", func() {
		k := stampedKey(startTime, "1")
		l.Begin(startTime, k, 7)
		l.Finish(k, newResponse("first"))
		completeSince, records := l.Drop(k.Shard())
		nextLedger := &Ledger{}
		nextLedger.Hold(k.Shard(), completeSince, records)
		gomega.Expect(nextLedger.Begin(startTime, k, 7).Action).To(gomega.Equal(ActionRespond))
		gomega.Expect(l.Begin(startTime, k, 7).Refusal.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
	})

	ginkgo.It("refuse old keys and allow new ones after the holder of their shard crashed", func() {
		takenOver := startTime.Add(time.Minute)
		l = &Ledger{}
		for n := range l.shards {
			l.Hold(n, takenOver, nil)
		}
		now := takenOver.Add(10 * time.Second)
		gomega.Expect(l.Begin(now, stampedKey(startTime, "1"), 7).Refusal.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
		gomega.Expect(l.Begin(now, stampedKey(takenOver.Add(time.Second), "2"), 7).Refusal.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
		gomega.Expect(l.Begin(now, stampedKey(takenOver.Add(5*time.Second), "3"), 7).Action).To(gomega.Equal(ActionRun))
		gomega.Expect(l.Begin(now, Parse("andes", "plain", domains), 7).Action).To(gomega.Equal(ActionRefuse))
		gomega.Expect(l.Begin(takenOver.Add(Retention+time.Second), Parse("andes", "plain", domains), 7).Action).To(gomega.Equal(ActionRun))
	})

	ginkgo.It("refuse a stamp that is too old or in the future", func() {
		gomega.Expect(l.Begin(startTime.Add(Retention), stampedKey(startTime, "1"), 7).Action).To(gomega.Equal(ActionRefuse))
		gomega.Expect(l.Begin(startTime, stampedKey(startTime.Add(time.Minute), "1"), 7).Action).To(gomega.Equal(ActionRefuse))
	})

	ginkgo.It("do not let a request run twice after its record was evicted", func() {
		k := stampedKey(startTime, "first")
		l.Begin(startTime, k, 7)
		l.Finish(k, newResponse("first"))
		s := l.shards[k.Shard()]
		for i := range maxRecords {
			s.records[string(rune(i))+"x"] = &lacewingramp.IdempotencyRecord{Key: string(rune(i)) + "x", StartedAt: startTime.Add(time.Second), Response: newResponse("")}
		}
		l.Begin(startTime.Add(2*time.Second), otherKeyOfShard(k, startTime.Add(2*time.Second)), 7)
		gomega.Expect(s.records).NotTo(gomega.HaveKey(k.Text))
		gomega.Expect(l.Begin(startTime.Add(2*time.Second), k, 7).Refusal.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
	})
})

// otherKeyOfShard returns another key of the shard of k.
func otherKeyOfShard(k Key, now time.Time) Key {
	for i := 0; ; i++ {
		o := stampedKey(now, time.Duration(i).String())
		if o.Shard() == k.Shard() {
			return o
		}
	}
}
