package heartbeat_test

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
)

// earlierHeartbeat is what earlier programs know of a heartbeat.
type earlierHeartbeat struct {
	Heartbeat *struct {
		Endpoint lacewingramp.Endpoint `cbor:"1,keyasint"`
		Revision int64                 `cbor:"3,keyasint"`
	} `cbor:"1,keyasint"`
}

// Guards against heartbeats that earlier programs refuse, or that grow too large for a datagram.
var _ = ginkgo.It("a heartbeat with slow targets is understood by earlier programs and grows by at most 24 bytes for each", func() {
	const maxTargets, maxTargetBytes = 8, 24
	h := newHeartbeat("edge-kochi-c-9", 1_800_000_000_000, 5_000)
	before, err := cbor.Marshal(lacewingramp.Datagram{Heartbeat: h})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for i := range maxTargets {
		h.SlowTargets = append(h.SlowTargets, lacewingramp.SlowTarget{Target: fmt.Sprintf("i-%010x", i), RemainingMillis: 5_999})
	}
	after, err := cbor.Marshal(lacewingramp.Datagram{Heartbeat: h})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(len(after) - len(before)).To(gomega.BeNumerically("<=", maxTargets*maxTargetBytes))
	var earlier earlierHeartbeat
	gomega.Expect(cbor.Unmarshal(after, &earlier)).To(gomega.Succeed())
	gomega.Expect(earlier.Heartbeat.Endpoint).To(gomega.Equal(h.Endpoint))
	gomega.Expect(earlier.Heartbeat.Revision).To(gomega.Equal(h.Revision))
})

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

// Guards against more than 0.5 KB/s of usage counts for each instance: it sends 3 messages in 5 s
// to each of the holder and its stand-by, with two windows of 83 customers.
var _ = ginkgo.It("usage counts are understood by earlier programs and take at most 500 bytes a second", func() {
	const customers, messages, packetHeader = 83, 3 * 2, 28
	h := newHeartbeat("edge-kochi-c-9", 1_800_000_000_000, 5_000)
	before, err := cbor.Marshal(lacewingramp.Datagram{Heartbeat: h})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	u := &lacewingramp.UsageCounts{Sequence: 50_000, Fingerprint: 1 << 63}
	for n := range 2 {
		u.Windows = append(u.Windows, lacewingramp.UsageWindow{ID: 353_445_120 + int64(n), Settled: n == 0, Counts: make([]byte, customers)})
	}
	after, err := cbor.Marshal(lacewingramp.Datagram{Heartbeat: h, UsageCounts: u})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect((len(after) + packetHeader) * messages / 5).To(gomega.BeNumerically("<=", 500))
	gomega.Expect(len(after)).To(gomega.BeNumerically(">", len(before)))
	var earlier earlierHeartbeat
	gomega.Expect(cbor.Unmarshal(after, &earlier)).To(gomega.Succeed())
	gomega.Expect(earlier.Heartbeat.Endpoint).To(gomega.Equal(h.Endpoint))
})

// Guards against bytes in heartbeats of deployments that do not report usage, and against an
// announcement that earlier programs refuse.
var _ = ginkgo.It("a heartbeat grows by at most 48 bytes at the holder of the duty, and not elsewhere", func() {
	const maxDutyBytes = 48
	h := newHeartbeat("edge-kochi-c-9", 1_800_000_000_000, 5_000)
	before, err := cbor.Marshal(lacewingramp.Datagram{Heartbeat: h})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	const mapKey = 18
	var fields map[int]map[int]any
	gomega.Expect(cbor.Unmarshal(before, &fields)).To(gomega.Succeed())
	gomega.Expect(fields[1]).NotTo(gomega.HaveKey(mapKey))
	gomega.Expect(fields).To(gomega.HaveLen(1))
	h.UsageDuty = &lacewingramp.UsageDuty{Token: 2<<40 | 5_000, StandBy: "edge-kochi-c-10"}
	after, err := cbor.Marshal(lacewingramp.Datagram{Heartbeat: h})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(len(after) - len(before)).To(gomega.BeNumerically("<=", maxDutyBytes))
	var earlier earlierHeartbeat
	gomega.Expect(cbor.Unmarshal(after, &earlier)).To(gomega.Succeed())
	gomega.Expect(earlier.Heartbeat.Endpoint).To(gomega.Equal(h.Endpoint))
})
