package slot

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"lacewingramp.example/lacewingramp/internal/proof/seed"
)

func TestSlot(t *testing.T) {
	seed.SetDefaults("2000", "60")
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "slot")
}
