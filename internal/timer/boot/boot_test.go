package boot_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/timer/boot"
)

func TestBoot(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "boot")
}

// Guards against windows that are numbered by a clock that stands still or is not true.
var _ = ginkgo.It("continues from the wall clock", func() {
	c := boot.New()
	first := c.Now()
	gomega.Expect(first).To(gomega.BeTemporally("~", time.Now(), time.Second))
	time.Sleep(20 * time.Millisecond)
	gomega.Expect(c.Now().Sub(first)).To(gomega.BeNumerically(">=", 20*time.Millisecond))
	gomega.Expect(first).To(gomega.Equal(first.Round(0)))
})
