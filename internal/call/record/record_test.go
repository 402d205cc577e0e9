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

func newAnswer(id string) *lacewingramp.Response {
	return &lacewingramp.Response{ID: id, Status: 201}
}

var _ = ginkgo.Describe("idempotency records", func() {
	var b *Ledger
	ginkgo.BeforeEach(func() {
		b = &Ledger{}
		for n := range b.shards {
			b.Hold(n, time.Time{}, nil)
		}
	})

	ginkgo.It("let a request run once and give its retries the first response", func() {
		k := stampedKey(startTime, "1")
		gomega.Expect(k.Domain).To(gomega.Equal("uy1"))
		gomega.Expect(b.Begin(startTime, k, 7).Action).To(gomega.Equal(ActionRun))
		gomega.Expect(b.Begin(startTime, k, 7).Action).To(gomega.Equal(ActionWait))
		b.Finish(k, newAnswer("first"))
		d := b.Begin(startTime.Add(time.Minute), k, 7)
		gomega.Expect(d.Action).To(gomega.Equal(ActionRespond))
		gomega.Expect(d.Response.ID).To(gomega.Equal("first"))
	})

	ginkgo.It("allow a retry of a request that did not run, and refuse one that may have run", func() {
		k := stampedKey(startTime, "1")
		b.Begin(startTime, k, 7)
		b.Finish(k, &lacewingramp.Response{Refusal: lacewingramp.NewRefusal(lacewingramp.CauseSlots, "")})
		gomega.Expect(b.Begin(startTime, k, 7).Action).To(gomega.Equal(ActionRun))
		b.Finish(k, &lacewingramp.Response{Refusal: &lacewingramp.Refusal{Verdict: lacewingramp.MayHaveRun}})
		d := b.Begin(startTime, k, 7)
		gomega.Expect(d.Action).To(gomega.Equal(ActionRefuse))
		gomega.Expect(d.Refusal.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
	})

	ginkgo.It("refuse a key that the customer used for another request, and allow it for another customer", func() {
		b.Begin(startTime, stampedKey(startTime, "1"), 7)
		gomega.Expect(b.Begin(startTime, stampedKey(startTime, "1"), 8).Refusal.Verdict).To(gomega.Equal(lacewingramp.NotRun))
		other := Parse("valle", Stamp("uy1", startTime)+".1", domains)
		gomega.Expect(b.Begin(startTime, other, 8).Action).To(gomega.Equal(ActionRun))
	})

	ginkgo.It("are handed over with their shard", func() {
		k := stampedKey(startTime, "1")
		b.Begin(startTime, k, 7)
		b.Finish(k, newAnswer("first"))
		completeSince, records := b.Drop(k.Shard())
		nextBook := &Ledger{}
		nextBook.Hold(k.Shard(), completeSince, records)
		gomega.Expect(nextBook.Begin(startTime, k, 7).Action).To(gomega.Equal(ActionRespond))
		gomega.Expect(b.Begin(startTime, k, 7).Refusal.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
	})

	ginkgo.It("refuse old keys and allow new ones after the holder of their shard crashed", func() {
		takenOver := startTime.Add(time.Minute)
		b = &Ledger{}
		for n := range b.shards {
			b.Hold(n, takenOver, nil)
		}
		now := takenOver.Add(10 * time.Second)
		gomega.Expect(b.Begin(now, stampedKey(startTime, "1"), 7).Refusal.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
		gomega.Expect(b.Begin(now, stampedKey(takenOver.Add(time.Second), "2"), 7).Refusal.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
		gomega.Expect(b.Begin(now, stampedKey(takenOver.Add(5*time.Second), "3"), 7).Action).To(gomega.Equal(ActionRun))
		gomega.Expect(b.Begin(now, Parse("andes", "plain", domains), 7).Action).To(gomega.Equal(ActionRefuse))
		gomega.Expect(b.Begin(takenOver.Add(Retention+time.Second), Parse("andes", "plain", domains), 7).Action).To(gomega.Equal(ActionRun))
	})

	ginkgo.It("refuse a stamp that is too old or in the future", func() {
		gomega.Expect(b.Begin(startTime.Add(Retention), stampedKey(startTime, "1"), 7).Action).To(gomega.Equal(ActionRefuse))
		gomega.Expect(b.Begin(startTime, stampedKey(startTime.Add(time.Minute), "1"), 7).Action).To(gomega.Equal(ActionRefuse))
	})

	ginkgo.It("are evicted without a second run of their requests", func() {
		k := stampedKey(startTime, "first")
		b.Begin(startTime, k, 7)
		b.Finish(k, newAnswer("first"))
		s := b.shards[k.Shard()]
		for i := range maxRecords {
			s.records[string(rune(i))+"x"] = &lacewingramp.IdempotencyRecord{Key: string(rune(i)) + "x", StartedAt: startTime.Add(time.Second), Response: newAnswer("")}
		}
		b.Begin(startTime.Add(2*time.Second), otherKeyOfShard(k, startTime.Add(2*time.Second)), 7)
		gomega.Expect(s.records).NotTo(gomega.HaveKey(k.Text))
		gomega.Expect(b.Begin(startTime.Add(2*time.Second), k, 7).Refusal.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
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
