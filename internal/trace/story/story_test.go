package story_test

import (
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/trace/story"
)

var _ = ginkgo.Describe("the story of a request", func() {
	const one = `  2.5 host {"level":"info","instance":"one","id":"a1","status":502,"tried":["t1"],"service":"s","time":2000,"message":"ended"}
no json at all
{"level":"info","instance":"one","target":"t1","time":1500,"message":"target gone"}
{"level":"info","instance":"one","target":"t9","time":1500,"message":"target gone"}
{"level":"warn","instance":"one","time":1400,"message":"lost the store"}
{"level":"info","instance":"one","id":"other","time":1400,"message":"ended"}
{"level":"warn","instance":"one","time":90000,"message":"lost the store"}
{"level":`
	const two = `{"level":"info","instance":"two","id":"a1","status":503,"time":1000,"message":"ended"}
{"level":"warn","instance":"three","time":1400,"message":"lost the store"}`

	ginkgo.It("is in order over all instances, with what bears on it", func() {
		s, err := story.Read("a1", strings.NewReader(one), strings.NewReader(two))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Lines).To(gomega.HaveLen(2))
		gomega.Expect(s.Lines[0].Instance).To(gomega.Equal("two"))
		gomega.Expect(s.Lines[1].String()).To(gomega.Equal("00:00:02.000 one: ended service=s status=502 tried=[t1]"))
		var around []string
		for _, l := range s.Around {
			around = append(around, l.String())
		}
		gomega.Expect(around).To(gomega.Equal([]string{
			"00:00:01.400 one: lost the store", "00:00:01.500 one: target gone target=t1",
		}))
	})

	ginkgo.It("is empty for a request that no log names", func() {
		s, err := story.Read("zz", strings.NewReader(one))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Lines).To(gomega.BeEmpty())
		gomega.Expect(s.Around).To(gomega.BeEmpty())
	})
})
