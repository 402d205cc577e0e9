package record

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

var domains = []lacewingramp.Domain{{Name: "uy1"}, {Name: "uy2"}, {Name: "cu1"}}

var begun = time.Unix(1_800_000_000, 0)

func stamped(now time.Time, text string) Key {
	return Parse("andes", Stamp("uy1", now)+"."+text, domains)
}

func answer(id string) *lacewingramp.Answer {
	return &lacewingramp.Answer{ID: id, Status: 201}
}

var _ = ginkgo.Describe("idempotency records", func() {
	var b *Book
	ginkgo.BeforeEach(func() {
		b = &Book{}
		for n := range b.shards {
			b.Hold(n, time.Time{}, nil)
		}
	})

	ginkgo.It("let a request run once and give its repeats the first answer", func() {
		k := stamped(begun, "1")
		gomega.Expect(k.Domain).To(gomega.Equal("uy1"))
		gomega.Expect(b.Begin(begun, k, 7).Kind).To(gomega.Equal(KindRun))
		gomega.Expect(b.Begin(begun, k, 7).Kind).To(gomega.Equal(KindWait))
		b.Finish(k, answer("first"))
		d := b.Begin(begun.Add(time.Minute), k, 7)
		gomega.Expect(d.Kind).To(gomega.Equal(KindAnswer))
		gomega.Expect(d.Answer.ID).To(gomega.Equal("first"))
	})

	ginkgo.It("free a key whose request did not run, and keep one that may have", func() {
		k := stamped(begun, "1")
		b.Begin(begun, k, 7)
		b.Finish(k, &lacewingramp.Answer{Refusal: lacewingramp.NewRefusal(lacewingramp.CauseSlots, "")})
		gomega.Expect(b.Begin(begun, k, 7).Kind).To(gomega.Equal(KindRun))
		b.Finish(k, &lacewingramp.Answer{Refusal: &lacewingramp.Refusal{Verdict: lacewingramp.MayHaveRun}})
		d := b.Begin(begun, k, 7)
		gomega.Expect(d.Kind).To(gomega.Equal(KindRefuse))
		gomega.Expect(d.Refusal.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
	})

	ginkgo.It("refuse a key that was used for another request, or by another customer not", func() {
		b.Begin(begun, stamped(begun, "1"), 7)
		gomega.Expect(b.Begin(begun, stamped(begun, "1"), 8).Refusal.Verdict).To(gomega.Equal(lacewingramp.NotRun))
		other := Parse("valle", Stamp("uy1", begun)+".1", domains)
		gomega.Expect(b.Begin(begun, other, 8).Kind).To(gomega.Equal(KindRun))
	})

	ginkgo.It("go along when their shard is handed over", func() {
		k := stamped(begun, "1")
		b.Begin(begun, k, 7)
		b.Finish(k, answer("first"))
		since, notes := b.Drop(k.Shard())
		next := &Book{}
		next.Hold(k.Shard(), since, notes)
		gomega.Expect(next.Begin(begun, k, 7).Kind).To(gomega.Equal(KindAnswer))
		gomega.Expect(b.Begin(begun, k, 7).Refusal.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
	})

	ginkgo.It("never let an old key run after their holder died, and a new one at once", func() {
		taken := begun.Add(time.Minute)
		b = &Book{}
		for n := range b.shards {
			b.Hold(n, taken, nil)
		}
		now := taken.Add(10 * time.Second)
		gomega.Expect(b.Begin(now, stamped(begun, "1"), 7).Refusal.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
		gomega.Expect(b.Begin(now, stamped(taken.Add(time.Second), "2"), 7).Refusal.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
		gomega.Expect(b.Begin(now, stamped(taken.Add(5*time.Second), "3"), 7).Kind).To(gomega.Equal(KindRun))
		gomega.Expect(b.Begin(now, Parse("andes", "plain", domains), 7).Kind).To(gomega.Equal(KindRefuse))
		gomega.Expect(b.Begin(taken.Add(Window+time.Second), Parse("andes", "plain", domains), 7).Kind).To(gomega.Equal(KindRun))
	})

	ginkgo.It("refuse a stamp that is too old or from the future", func() {
		gomega.Expect(b.Begin(begun.Add(Window), stamped(begun, "1"), 7).Kind).To(gomega.Equal(KindRefuse))
		gomega.Expect(b.Begin(begun, stamped(begun.Add(time.Minute), "1"), 7).Kind).To(gomega.Equal(KindRefuse))
	})

	ginkgo.It("forget old records without letting their keys run again", func() {
		k := stamped(begun, "first")
		b.Begin(begun, k, 7)
		b.Finish(k, answer("first"))
		s := b.shards[k.Shard()]
		for i := range notesMost {
			s.notes[string(rune(i))+"x"] = &lacewingramp.IdempotencyRecord{Key: string(rune(i)) + "x", StartedAt: begun.Add(time.Second), Answer: answer("")}
		}
		b.Begin(begun.Add(2*time.Second), sameShard(k, begun.Add(2*time.Second)), 7)
		gomega.Expect(s.notes).NotTo(gomega.HaveKey(k.Text))
		gomega.Expect(b.Begin(begun.Add(2*time.Second), k, 7).Refusal.Verdict).To(gomega.Equal(lacewingramp.MayHaveRun))
	})
})

// sameShard finds another key of the same shard.
func sameShard(k Key, now time.Time) Key {
	for i := 0; ; i++ {
		o := stamped(now, time.Duration(i).String())
		if o.Shard() == k.Shard() {
			return o
		}
	}
}
