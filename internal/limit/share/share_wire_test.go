package share_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/limit/share"
)

// newLimiter returns a RateLimiter with a limit for each of n customers.
func newLimiter(n int) *share.RateLimiter {
	limits := make(map[string]lacewingramp.Limit)
	for i := range n {
		limits[fmt.Sprintf("customer%02d", i)] = lacewingramp.Limit{Rate: 100, Burst: 100}
	}
	limiter := &share.RateLimiter{}
	limiter.Configure(start, limits)
	return limiter
}

var _ = ginkgo.Describe("demand in a heartbeat", func() {
	const customers = 83

	ginkgo.It("is decoded within half a percent for any set of customers", func() {
		limiter := newLimiter(customers)
		r := rand.New(rand.NewPCG(1, 1))
		for range 500 {
			d := make(share.Demand)
			for i := range customers {
				if r.IntN(3) > 0 {
					d[fmt.Sprintf("customer%02d", i)] = r.ExpFloat64() * 100
				}
			}
			got, ok := limiter.Decode(limiter.Encode(d))
			gomega.Expect(ok).To(gomega.BeTrue())
			for name, v := range d {
				gomega.Expect(got[name]).To(gomega.BeNumerically("~", v, v/200))
			}
			gomega.Expect(len(got)).To(gomega.BeNumerically("<=", len(d)))
		}
	})

	ginkgo.It("of a whole region takes at most four bytes for each customer", func() {
		limiter := newLimiter(customers)
		d := make(share.Demand)
		for i := range customers {
			d[fmt.Sprintf("customer%02d", i)] = float64(i + 1)
		}
		raw, err := cbor.Marshal(lacewingramp.Heartbeat{Demand: limiter.Encode(d)})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(len(raw)).To(gomega.BeNumerically("<=", 4*customers))
	})

	ginkgo.It("is rejected if the sender's table has other customers", func() {
		d := share.Demand{"customer01": 5}
		_, ok := newLimiter(customers + 1).Decode(newLimiter(customers).Encode(d))
		gomega.Expect(ok).To(gomega.BeFalse())
	})

	ginkgo.It("is rejected if it is malformed", func() {
		limiter := newLimiter(customers)
		checksum := limiter.Encode(nil).NamesChecksum
		r := rand.New(rand.NewPCG(2, 2))
		for range 5000 {
			entries := make([]byte, r.IntN(40))
			for i := range entries {
				entries[i] = byte(r.Uint32())
			}
			got, ok := limiter.Decode(lacewingramp.Demand{NamesChecksum: checksum, EncodedRates: entries})
			if !ok {
				continue
			}
			for name, v := range got {
				gomega.Expect(name).To(gomega.HavePrefix("customer"))
				gomega.Expect(v).To(gomega.BeNumerically(">=", 0))
			}
		}
		_, ok := limiter.Decode(lacewingramp.Demand{NamesChecksum: checksum, EncodedRates: []byte{1, 0x40}})
		gomega.Expect(ok).To(gomega.BeFalse())
		_, ok = limiter.Decode(lacewingramp.Demand{NamesChecksum: checksum, EncodedRates: []byte{customers + 1, 0x40, 0}})
		gomega.Expect(ok).To(gomega.BeFalse())
	})
})
