package edge

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

// Guards against an instance that sends more bytes than its share, as counts of customers that
// are no longer in the table are sent with their names.
var _ = ginkgo.It("the size of a usage window includes the customers that are no longer in the table", func() {
	w := lacewingramp.UsageWindow{ID: 353445120, Settled: true, Counts: make([]byte, 20), Others: make(map[string]uint64)}
	for n := range 100 {
		w.Others[fmt.Sprint("customer-", n)] = lacewingramp.MaxUsageCount
	}
	encoded, err := cbor.Marshal(w)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(windowSize(&w)).To(gomega.BeNumerically(">=", len(encoded)))
})
