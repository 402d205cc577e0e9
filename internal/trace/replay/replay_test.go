package replay

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/quota"
)

func TestReplay(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "replay")
}

var _ = ginkgo.Describe("a trace", func() {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) == 0 {
		panic("no traces in testdata")
	}
	for _, name := range files {
		ginkgo.It("gives the expected outcomes: "+filepath.Base(name), func() {
			f, err := os.Open(name)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = f.Close() }()
			r, err := Run(f)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(r.Differences).To(gomega.BeEmpty())
			gomega.Expect(r.Calls).To(gomega.BeNumerically(">", 3))
		})
	}

	ginkgo.It("gives a difference if it expects another outcome", func() {
		raw, err := os.ReadFile("testdata/doubled.jsonl")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		wrong := strings.Replace(string(raw), `{"cause": "rate"}`, `{"done": true}`, 1)
		r, err := Run(strings.NewReader(wrong))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.Differences).To(gomega.HaveLen(1))
	})

	ginkgo.It("gives an error with the line number if it is not valid", func() {
		for _, text := range []string{"{", `{"call":"take"}`, `{"name":"a"}` + "\n" + `{"call":"dance"}`, `{"name":"a"}` + "\n" + `{"call":"hold","args":{"shard":99,"load":{}}}`} {
			_, err := Run(strings.NewReader(text))
			gomega.Expect(err).To(gomega.MatchError(gomega.HavePrefix("line ")))
		}
	})

	ginkgo.It("gives the same outcomes when it is replayed after it was recorded", func() {
		var out bytes.Buffer
		b := quota.NewLedger("a")
		StartRecording(&out, "a", b)
		now := time.Now()
		s := lacewingramp.Subject{Name: "andes"}
		b.Configure(now, quota.Config{
			Limits:       map[lacewingramp.Subject]lacewingramp.Limit{s: {Rate: 33, Burst: 7}},
			DomainShares: quota.DomainShares{Customers: lacewingramp.WholeLimit},
		})
		for n := range quota.Shards {
			b.Hold(now, n, quota.ShardState{})
		}
		for i := range 2000 {
			now = now.Add(7_123_457 * time.Nanosecond)
			b.Tick(now)
			_ = b.Take(now, s)
			if i%50 == 0 {
				l := b.Lend(now, lacewingramp.LoanRequest{ID: lacewingramp.LoanID{Borrower: "b", Serial: uint64(i)}, Subject: s, Rate: 5, Tokens: 2})
				b.TakeBack(now.Add(time.Millisecond), lacewingramp.LoanReturn{ID: l.ID, Subject: s, UnusedTokens: 0.5})
			}
		}
		b.Drop(now, 3)
		r, err := Run(&out)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.Differences).To(gomega.BeEmpty())
		gomega.Expect(r.AdmittedTokens["customer/andes"]).To(gomega.BeNumerically(">", 100))
	})
})
