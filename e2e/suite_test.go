// Package e2e tests the built programs, which run as separate processes on the
// loopback interface, including how they react to faults.
package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var programs string

func TestPrograms(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "programs")
}

var _ = ginkgo.BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "lacewingramp")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	programs = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../cmd/...")
	out, err := build.CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
})

var _ = ginkgo.AfterSuite(func() {
	gomega.Expect(os.RemoveAll(programs)).To(gomega.Succeed())
})
