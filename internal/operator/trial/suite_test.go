package trial

import (
	"bytes"
	"context"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestTrial(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "trial")
}

var _ = ginkgo.Describe("the demonstration", func() {
	ginkgo.It("serves requests, runs no order twice and rejects a revoked key", func() {
		var out bytes.Buffer
		gomega.Expect(Run(context.Background(), &out)).To(gomega.Succeed())
		gomega.Expect(out.String()).To(gomega.ContainSubstring("it ran 1 time"))
	})
})
