package heartbeat_test

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

// Guards against heartbeats that take a noticeable part of the links between regions: a
// fleet of 82 sends some 1,300 a second there.
var _ = ginkgo.It("a heartbeat grows by at most 32 bytes with a confirmation", func() {
	const maxConfirmationBytes = 32
	h := newHeartbeat("edge-kochi-c-9", 1_800_000_000_000, 5_000)
	before, err := cbor.Marshal(lacewingramp.Datagram{Heartbeat: h})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	h.Confirmation = &lacewingramp.Confirmation{Origin: 4_000_000_000, Count: 60_000, Revision: 60_000, Epoch: 2, AgeMillis: 1_399}
	after, err := cbor.Marshal(lacewingramp.Datagram{Heartbeat: h})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(len(after) - len(before)).To(gomega.BeNumerically("<=", maxConfirmationBytes))
})
