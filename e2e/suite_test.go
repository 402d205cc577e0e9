// Package e2e builds the programs of this module, runs them as separate processes on
// the loopback interface, and tests how they work together, also under faults.
package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// programDir is the directory that the programs are built in.
var programDir string

func TestPrograms(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "programs")
}

var _ = ginkgo.BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "lacewingramp")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	programDir = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../cmd/...")
	out, err := build.CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
})

var _ = ginkgo.AfterSuite(func() {
	gomega.Expect(os.RemoveAll(programDir)).To(gomega.Succeed())
})

// skipKnownRed skips a test that KNOWN-RED.txt lists, unless LACEWINGRAMP_RED is set.
func skipKnownRed() {
	if os.Getenv("LACEWINGRAMP_RED") == "" {
		ginkgo.Skip("listed in KNOWN-RED.txt")
	}
}
