package e2e

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// runCommand runs the program lacewingramp and returns its standard output and
// standard error.
func runCommand(args ...string) (string, error) {
	out, err := exec.Command(filepath.Join(programDir, "lacewingramp"), args...).CombinedOutput()
	return string(out), err
}

// writeFile writes a file to a temporary directory of the test and returns its path.
func writeFile(name, text string) string {
	path := filepath.Join(ginkgo.GinkgoT().TempDir(), name)
	gomega.Expect(os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed())
	return path
}

var _ = ginkgo.Describe("the commands", func() {
	ginkgo.It("report every fault of the settings file and start nothing", func() {
		path := writeFile("boot.toml", "nodeName = \"edge-1\"\nip = \"nowhere\"\n")
		for _, command := range []string{"serve", "settings"} {
			out, err := runCommand(command, "--settings", path)
			gomega.Expect(err).To(gomega.HaveOccurred())
			for _, want := range []string{"zone", "region", "nowhere", "listen.front", "platform.address", "portRange"} {
				gomega.Expect(out).To(gomega.ContainSubstring(want))
			}
		}
	})

	ginkgo.It("explain a request from logs, or report that the logs have no line of it", func() {
		log := writeFile("one.log", `{"level":"info","instance":"one","id":"a1","status":429,"time":1000,"message":"ended"}`)
		out, err := runCommand("explain", "a1", log)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(out).To(gomega.Equal("00:00:01.000 one: ended status=429\n"))
		out, err = runCommand("explain", "b2", log)
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(out).To(gomega.ContainSubstring("no line of request b2"))
	})

	ginkgo.It("simulate a load, with equal results for equal seeds", func() {
		one, err := runCommand("experiment", "--load", "bank-calm", "--seed", "3")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(one).To(gomega.ContainSubstring("lacewingramp"))
		again, err := runCommand("experiment", "--load", "bank-calm", "--seed", "3")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(again).To(gomega.Equal(one))
		_, err = runCommand("experiment", "--load", "none")
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})
