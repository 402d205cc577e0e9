package loglimit_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/report/loglimit"
)

var _ = ginkgo.Describe("log lines", func() {
	ginkgo.It("are limited per kind and second, and counted when omitted", func() {
		var l loglimit.Limiter
		now := time.Unix(1_800_000_000, 0)
		written := 0
		for range 1000 {
			if l.Allow(now, "slots") {
				written++
			}
		}
		gomega.Expect(written).To(gomega.Equal(loglimit.MaxPerSecond))
		gomega.Expect(l.Allow(now, "rate")).To(gomega.BeTrue())
		gomega.Expect(l.Omitted()).To(gomega.Equal(map[string]int{"slots": 1000 - loglimit.MaxPerSecond}))
		gomega.Expect(l.Omitted()).To(gomega.BeEmpty())
		gomega.Expect(l.Allow(now.Add(time.Second), "slots")).To(gomega.BeTrue())
	})
})
