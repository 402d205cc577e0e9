package quota

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestQuota(t *testing.T) {
	// The same cases in every run; others are given on the command line.
	preset("rapid.seed", "0", "1")
	preset("rapid.checks", "100", "2000")
	preset("rapid.steps", "30", "60")
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "quota")
}

// preset changes a flag that has its default value.
func preset(name, usual, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == usual {
		_ = f.Value.Set(value)
	}
}
