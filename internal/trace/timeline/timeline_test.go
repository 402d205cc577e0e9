package timeline_test

import (
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/trace/timeline"
)

var _ = ginkgo.Describe("the timeline of a request", func() {
	const one = `  2.5 host {"level":"info","instance":"one","id":"a1","status":502,"tried":["t1"],"service":"s","time":2000,"message":"ended"}
no json at all
{"level":"info","instance":"one","target":"t1","time":1500,"message":"target gone"}
{"level":"info","instance":"one","target":"t9","time":1500,"message":"target gone"}
{"level":"warn","instance":"one","time":1400,"message":"lost the store"}
{"level":"info","instance":"one","id":"other","time":1400,"message":"ended"}
{"level":"info","instance":"one","paused":"t7","request":"other","service":"s","time":1600,"message":"a target asked for a pause"}
{"level":"info","instance":"one","leaving":"t8","request":"other","service":"x","time":1600,"message":"a target is leaving by its own word"}
{"level":"warn","instance":"one","time":90000,"message":"lost the store"}
{"level":`
	const two = `{"level":"info","instance":"two","id":"a1","status":503,"time":1000,"message":"ended"}
{"level":"warn","instance":"three","time":1400,"message":"lost the store"}`

	ginkgo.It("has the lines of all instances sorted by time, and the related lines of instances that handled it", func() {
		t, err := timeline.Read("a1", strings.NewReader(one), strings.NewReader(two))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(t.Lines).To(gomega.HaveLen(2))
		gomega.Expect(t.Lines[0].Instance).To(gomega.Equal("two"))
		gomega.Expect(t.Lines[1].String()).To(gomega.Equal("00:00:02.000 one: ended service=s status=502 tried=[t1]"))
		var related []string
		for _, l := range t.Related {
			related = append(related, l.String())
		}
		gomega.Expect(related).To(gomega.Equal([]string{
			"00:00:01.400 one: lost the store", "00:00:01.500 one: target gone target=t1",
			"00:00:01.600 one: a target asked for a pause paused=t7 request=other service=s",
		}))
	})

	ginkgo.It("is empty for a request that is not in the logs", func() {
		t, err := timeline.Read("zz", strings.NewReader(one))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(t.Lines).To(gomega.BeEmpty())
		gomega.Expect(t.Related).To(gomega.BeEmpty())
	})
})
