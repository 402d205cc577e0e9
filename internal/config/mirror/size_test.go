package mirror_test

import (
	"runtime"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp"
	"lacewingramp.example/lacewingramp/internal/config/mirror"
)

// Guards against a mirror that grows with each change of a large table until its instance is
// killed for its memory.
var _ = ginkgo.It("a mirror's log of changes of a large key takes a bounded part of the memory, and followers that are not far behind can use it", func() {
	const (
		valueBytes = 1 << 20
		changes    = 200
		maxHeld    = 24 << 20
	)
	var m mirror.Mirror
	m.ApplySnapshot(nil, at(1))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for revision := int64(2); revision < 2+changes; revision++ {
		c := lacewingramp.Change{KeyValue: lacewingramp.KeyValue{Key: "table", Revision: revision, Value: make([]byte, valueBytes)}}
		m.Apply([]lacewingramp.Change{c}, at(revision))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := max(after.HeapAlloc, before.HeapAlloc) - before.HeapAlloc
	gomega.Expect(held).To(gomega.BeNumerically("<", maxHeld))
	_, _, ok := m.Since(at(changes - 2))
	gomega.Expect(ok).To(gomega.BeTrue())
	_, _, ok = m.Since(at(2))
	gomega.Expect(ok).To(gomega.BeFalse())
})
