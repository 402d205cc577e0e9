package assignment

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/proof/seed"
)

func TestAssignment(t *testing.T) {
	seed.SetDefaults("2000", "40")
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "assignment")
}
