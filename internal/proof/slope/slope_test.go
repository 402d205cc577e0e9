package slope

import (
	"os"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestSlope(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "slope")
}

var _ = ginkgo.Describe("docs/CAPACITY.md", func() {
	ginkgo.It("contains the tables that are generated from docs/slopes.json", func() {
		file, err := os.Open("../../../docs/slopes.json")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = file.Close() }()
		results, err := Read(file)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		page, err := os.ReadFile("../../../docs/CAPACITY.md")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(strings.Contains(string(page), Markdown(results))).To(gomega.BeTrue(), "run: go run ./cmd/slopes page")
		gomega.Expect(Markdown(results)).NotTo(gomega.ContainSubstring("NaN"))
	})

	ginkgo.It("is extrapolated with lines that reproduce collinear measurements exactly", func() {
		s := fit("x", "n", "ns", []float64{1, 2, 3, 4}, []float64{12, 14, 16, 18})
		gomega.Expect(s.At(10)).To(gomega.BeNumerically("~", 30, 1e-9))
		gomega.Expect(s.MaxResidual).To(gomega.BeNumerically("<", 1e-9))
	})
})
